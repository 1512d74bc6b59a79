/**
 * Flow control of the network link that an instance uses for all its connections to other
 * daemons.
 */
@NullMarked
package org.brasspier.core.link;

import org.jspecify.annotations.NullMarked;
