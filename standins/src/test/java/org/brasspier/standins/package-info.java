/**
 * Tests of the stand-ins: what proves others must be proved itself.
 */
@NullMarked
package org.brasspier.standins;

import org.jspecify.annotations.NullMarked;
