/**
 * A caller's request and its answer, as they travel through the daemons.
 */
@NullMarked
package org.brasspier.core.request;

import org.jspecify.annotations.NullMarked;
