/**
 * Settings of the daemon, read from flags, environment variables and files, and validated
 * together.
 */
@NullMarked
package org.brasspier.daemon.internal.settings;

import org.jspecify.annotations.NullMarked;
