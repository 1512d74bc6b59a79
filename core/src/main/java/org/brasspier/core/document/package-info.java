/**
 * The configuration document: its fields, forms, drafts, checks and differences.
 */
@NullMarked
package org.brasspier.core.document;

import org.jspecify.annotations.NullMarked;
