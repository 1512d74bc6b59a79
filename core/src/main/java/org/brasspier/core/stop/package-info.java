/**
 * Planned stops: which requests a daemon still takes after it was told to stop. No input,
 * output, clock or thread.
 */
@NullMarked
package org.brasspier.core.stop;

import org.jspecify.annotations.NullMarked;
