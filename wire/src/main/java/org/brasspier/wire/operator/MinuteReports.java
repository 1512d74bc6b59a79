package org.brasspier.wire.operator;

import java.util.List;

import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.measure.MinuteReport;

/**
 * What one daemon counted, for the lease manager that keeps the measures. Immutable and
 * thread-safe.
 *
 * @param reports one entry for each minute and service
 */
public record MinuteReports(List<MinuteReports.Entry> reports) {

	/**
	 * Checks and copies.
	 */
	public MinuteReports {
		reports = List.copyOf(OperatorJson.present(reports, "reports"));
	}

	/**
	 * Renders reports.
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
	 * Reads the reports.
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
	 * @param requests how many requests
	 * @param turnedAway how many were turned away
	 * @param turnedAwaySeconds the seconds in which one was
	 * @param busyMillis how long requests ran
	 * @param slots the server's slots
	 */
	public record Entry(String instance, String service, long minute, long requests, long turnedAway,
			long turnedAwaySeconds, long busyMillis, int slots) {

	}

}
