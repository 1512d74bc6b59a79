/**
 * The configuration document over real processes.
 */
package org.brasspier.integration.document;
