package org.brasspier.standins;

/**
 * Which version of the configuration document a daemon said is in force. Immutable and
 * thread-safe.
 *
 * @param atMicros when it was asked, in microseconds since 1970
 * @param daemon the daemon's instance
 * @param version the version, 0 if it knew none yet
 */
public record DocumentVersionReport(long atMicros, String daemon, long version) {

}
