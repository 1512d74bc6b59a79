package org.brasspier.core.measure;

import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;

/**
 * Counters of one daemon for one service and one minute. Requests are counted by the
 * daemon that received them from the caller, run time by the daemon of the instance whose
 * backend server ran them. Immutable and thread-safe.
 *
 * @param instance the instance
 * @param service the service
 * @param minute the minute, as the number of minutes since 1970
 * @param requests the number of requests that were answered or refused
 * @param turnedAway the number of these that were refused through no fault of the caller
 * @param turnedAwaySeconds a bit set with one bit for each second of the minute in which
 * at least one was so refused
 * @param busyMillis the total run time of requests on the backend server, in milliseconds
 * @param slots the number of requests that the backend server runs concurrently; 0 if
 * there is no backend server
 */
public record MinuteReport(InstanceId instance, ServiceName service, long minute, long requests, long turnedAway,
		long turnedAwaySeconds, long busyMillis, int slots) {

}
