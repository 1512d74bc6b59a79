/**
 * The configuration document in this process: submitting it, and keeping up with the
 * version in force.
 */
@NullMarked
package org.brasspier.daemon.internal.document;

import org.jspecify.annotations.NullMarked;
