/**
 * Protection of backend servers that are cold: they tolerate few requests per second and
 * crash at a rate well above that.
 */
@NullMarked
package org.brasspier.core.coldstart;

import org.jspecify.annotations.NullMarked;
