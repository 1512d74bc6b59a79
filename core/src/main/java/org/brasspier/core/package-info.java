/**
 * Names, identifiers and the closed lists (errors, events, request classes) that every
 * other package speaks in. Nothing here performs input or output.
 */
@NullMarked
package org.brasspier.core;

import org.jspecify.annotations.NullMarked;
