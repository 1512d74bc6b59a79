/**
 * Tests of the stand-ins, on which the tests and trials of the other modules rely.
 */
@NullMarked
package org.brasspier.standins;

import org.jspecify.annotations.NullMarked;
