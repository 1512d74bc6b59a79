package org.brasspier.daemon.internal.request;

import org.brasspier.daemon.internal.ownership.RequestsReport;

/**
 * Takes reports for the ownership thread. Thread-safe.
 */
interface OwnershipReportSink {

	/**
	 * Offers a report.
	 * @param report the report
	 * @return false if the ring is full and the report was dropped
	 */
	boolean offer(RequestsReport report);

}
