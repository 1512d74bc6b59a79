/**
 * Command-line tool for operators.
 */
@NullMarked
package org.brasspier.cli;

import org.jspecify.annotations.NullMarked;
