package org.brasspier.standins;

/**
 * The version of the configuration document that a daemon reported as in force. Immutable
 * and thread-safe.
 *
 * @param atMicros time of the query, in microseconds since 1970
 * @param daemon name of the daemon's instance
 * @param version the version, 0 if it had none yet
 */
public record DocumentVersionReport(long atMicros, String daemon, long version) {

}
