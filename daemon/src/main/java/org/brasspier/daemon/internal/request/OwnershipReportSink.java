package org.brasspier.daemon.internal.request;

import org.brasspier.daemon.internal.ownership.RequestsReport;

/**
 * The way of reports to the thread of ownership. Thread-safe.
 */
interface OwnershipReportSink {

	/**
	 * Passes a report on.
	 * @param report the report
	 * @return false if the ring is full and the report was not taken
	 */
	boolean offer(RequestsReport report);

}
