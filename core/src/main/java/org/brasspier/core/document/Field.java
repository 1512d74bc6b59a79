package org.brasspier.core.document;

/**
 * A field of a form, as shown in interactive forms and command line flags. Immutable and
 * thread-safe.
 *
 * @param name the name, also that of the flag
 * @param unit the unit of its value, empty if it has none
 * @param rule the rule that values must satisfy
 * @param defaultValue the value that applies if the document has none; empty if there is
 * no default
 * @param meaning a description for a human reader
 */
public record Field(String name, String unit, ValueRule rule, String defaultValue, String meaning) {

}
