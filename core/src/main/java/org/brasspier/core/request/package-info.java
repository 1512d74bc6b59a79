/**
 * A caller's request and its answer, and what daemons remember of them.
 */
@NullMarked
package org.brasspier.core.request;

import org.jspecify.annotations.NullMarked;
