/**
 * The decisions under load against a naive version, in virtual time: queues and servers
 * only, no network and no failures beyond those that a load names.
 */
@NullMarked
package org.brasspier.bench.policy;

import org.jspecify.annotations.NullMarked;
