/**
 * Tests of the configuration document and the operator interface on deployments of real
 * processes.
 */
package org.brasspier.integration.document;
