/**
 * The kinds of events on the time line, and the clock that orders them. docs/EVENTS.md is
 * the catalogue.
 */
@NullMarked
package org.brasspier.core.event;

import org.jspecify.annotations.NullMarked;
