/**
 * Failures and bad input, tried on deployments of real processes.
 */
@NullMarked
package org.brasspier.integration;

import org.jspecify.annotations.NullMarked;
