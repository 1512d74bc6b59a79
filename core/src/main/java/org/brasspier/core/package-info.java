/**
 * Names, identifiers, errors and request classes that all other packages use. Nothing
 * here performs input or output.
 */
@NullMarked
package org.brasspier.core;

import org.jspecify.annotations.NullMarked;
