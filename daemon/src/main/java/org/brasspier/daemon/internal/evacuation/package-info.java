/**
 * The operators' requests to evacuate failure domains, as rows of the platform's store.
 */
@NullMarked
package org.brasspier.daemon.internal.evacuation;

import org.jspecify.annotations.NullMarked;
