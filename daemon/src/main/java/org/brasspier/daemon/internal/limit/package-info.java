/**
 * What the local backend server states about itself in its answers.
 */
@NullMarked
package org.brasspier.daemon.internal.limit;

import org.jspecify.annotations.NullMarked;
