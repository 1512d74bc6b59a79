package org.brasspier.wire.operator;

import java.util.List;

import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.measure.MinuteReport;

/**
 * The counts of one daemon, sent to the lease manager that stores the measures. Immutable
 * and thread-safe.
 *
 * @param reports one entry for each minute and service
 */
public record MinuteReports(List<MinuteReports.Entry> reports) {

	/**
	 * Checks the fields and copies collections.
	 */
	public MinuteReports {
		reports = List.copyOf(OperatorJson.present(reports, "reports"));
	}

	/**
	 * Creates the message for reports.
	 * @param reports the reports
	 * @return the message
	 */
	public static MinuteReports of(List<MinuteReport> reports) {
		return new MinuteReports(reports.stream()
			.map((report) -> new Entry(report.instance().value(), report.service().value(), report.minute(),
					report.requests(), report.turnedAway(), report.turnedAwaySeconds(), report.busyMillis(),
					report.slots()))
			.toList());
	}

	/**
	 * Converts the entries to reports.
	 * @return the reports
	 */
	public List<MinuteReport> read() {
		return this.reports.stream()
			.map((entry) -> new MinuteReport(new InstanceId(entry.instance()), new ServiceName(entry.service()),
					entry.minute(), entry.requests(), entry.turnedAway(), entry.turnedAwaySeconds(), entry.busyMillis(),
					entry.slots()))
			.toList();
	}

	/**
	 * One report; see {@link MinuteReport}.
	 *
	 * @param instance the instance
	 * @param service the service
	 * @param minute the minute, counted since 1970
	 * @param requests the number of requests
	 * @param turnedAway the number of requests turned away
	 * @param turnedAwaySeconds the number of seconds in which a request was turned away
	 * @param busyMillis the total running time of requests, in milliseconds
	 * @param slots the server's slots
	 */
	public record Entry(String instance, String service, long minute, long requests, long turnedAway,
			long turnedAwaySeconds, long busyMillis, int slots) {

	}

}
