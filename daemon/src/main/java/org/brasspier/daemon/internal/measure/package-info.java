/**
 * Counting what the measures are made from, and keeping them in the platform's store.
 */
@NullMarked
package org.brasspier.daemon.internal.measure;

import org.jspecify.annotations.NullMarked;
