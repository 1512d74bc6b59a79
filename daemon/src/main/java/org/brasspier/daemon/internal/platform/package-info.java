/**
 * Interfaces of the platform's table service and object store, and their HTTP client.
 */
@NullMarked
package org.brasspier.daemon.internal.platform;

import org.jspecify.annotations.NullMarked;
