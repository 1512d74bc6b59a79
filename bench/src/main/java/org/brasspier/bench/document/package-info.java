/**
 * How long a change of the configuration document takes to be in force everywhere.
 */
@NullMarked
package org.brasspier.bench.document;

import org.jspecify.annotations.NullMarked;
