/**
 * Submission of the configuration document, and distribution of the version in force to
 * this process.
 */
@NullMarked
package org.brasspier.daemon.internal.document;

import org.jspecify.annotations.NullMarked;
