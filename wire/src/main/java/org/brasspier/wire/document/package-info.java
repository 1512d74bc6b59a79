/**
 * The stored form of the configuration document in the platform's table and object store.
 */
@NullMarked
package org.brasspier.wire.document;

import org.jspecify.annotations.NullMarked;
