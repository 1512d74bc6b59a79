/**
 * The daemon that runs beside each backend server.
 */
@NullMarked
package org.brasspier.daemon;

import org.jspecify.annotations.NullMarked;
