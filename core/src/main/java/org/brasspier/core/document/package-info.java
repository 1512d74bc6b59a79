/**
 * The configuration document: its fields, forms, drafts, validation and differences.
 */
@NullMarked
package org.brasspier.core.document;

import org.jspecify.annotations.NullMarked;
