/**
 * The numbered events that make up the time line. docs/EVENTS.md is the catalogue.
 */
@NullMarked
package org.brasspier.core.event;

import org.jspecify.annotations.NullMarked;
