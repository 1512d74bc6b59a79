/**
 * Compares the product's policy with a naive strategy under load, in virtual time. Only
 * queues and servers are simulated: no network, and no failures but those that a load
 * defines.
 */
@NullMarked
package org.brasspier.bench.policy;

import org.jspecify.annotations.NullMarked;
