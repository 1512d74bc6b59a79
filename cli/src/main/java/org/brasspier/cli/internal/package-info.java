/**
 * Implementation of the command-line tool. Not a public API.
 */
@NullMarked
package org.brasspier.cli.internal;

import org.jspecify.annotations.NullMarked;
