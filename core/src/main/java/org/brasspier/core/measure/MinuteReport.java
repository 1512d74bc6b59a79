package org.brasspier.core.measure;

import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;

/**
 * What one daemon counted of one service in one minute. Requests are counted by the
 * daemon that the caller reached, work by the daemon beside the backend server that did
 * it. Immutable and thread-safe.
 *
 * @param instance the instance
 * @param service the service
 * @param minute the minute, counted since 1970
 * @param requests how many requests were answered or turned away
 * @param turnedAway how many of them were turned away through no fault of the caller
 * @param turnedAwaySeconds one bit for each second of the minute in which one was
 * @param busyMillis how long requests ran on the backend server, summed up, in
 * milliseconds
 * @param slots how many requests the backend server runs at once; 0 if there is none
 */
public record MinuteReport(InstanceId instance, ServiceName service, long minute, long requests, long turnedAway,
		long turnedAwaySeconds, long busyMillis, int slots) {

}
