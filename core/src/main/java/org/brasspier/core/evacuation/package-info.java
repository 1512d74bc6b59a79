/**
 * Evacuation of failure domains: which domains receive no requests, and for how long the
 * servers of an evacuated domain still serve the keys that they hold.
 */
@NullMarked
package org.brasspier.core.evacuation;

import org.jspecify.annotations.NullMarked;
