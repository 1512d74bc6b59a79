/**
 * Settings from flags and environment variables, checked whole.
 */
@NullMarked
package org.brasspier.daemon.internal.settings;

import org.jspecify.annotations.NullMarked;
