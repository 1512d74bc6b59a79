/**
 * The configuration document as it's kept in the platform's table and object store.
 */
@NullMarked
package org.brasspier.wire.document;

import org.jspecify.annotations.NullMarked;
