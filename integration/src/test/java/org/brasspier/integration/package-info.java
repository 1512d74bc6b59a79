/**
 * Tests of failures and invalid input on deployments of real processes.
 */
@NullMarked
package org.brasspier.integration;

import org.jspecify.annotations.NullMarked;
