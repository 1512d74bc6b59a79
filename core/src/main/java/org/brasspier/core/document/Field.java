package org.brasspier.core.document;

/**
 * One field of a form, as forms and flags show it. Immutable and thread-safe.
 *
 * @param name its name, also that of the flag
 * @param unit the unit of its value, empty if it has none
 * @param rule which values it allows
 * @param defaultValue the value that holds where the document says nothing; empty if none
 * @param meaning what it does, for a person
 */
public record Field(String name, String unit, ValueRule rule, String defaultValue, String meaning) {

}
