/**
 * What the command line tool is made of. Nothing here is meant for use from outside.
 */
@NullMarked
package org.brasspier.cli.internal;

import org.jspecify.annotations.NullMarked;
