/**
 * The load of backend servers, as their gates report it to other daemons.
 */
@NullMarked
package org.brasspier.core.load;

import org.jspecify.annotations.NullMarked;
