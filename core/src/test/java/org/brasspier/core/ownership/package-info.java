/**
 * Tests of ownership against a model of a cell: processes, their clocks, the network
 * between them and the table.
 */
@NullMarked
package org.brasspier.core.ownership;

import org.jspecify.annotations.NullMarked;
