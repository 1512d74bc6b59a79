package org.brasspier.daemon.internal.measure;

import java.util.List;

import io.activej.promise.Promise;
import org.brasspier.core.measure.MinuteReport;

/**
 * Collects the counts of the daemons of the cell. Confined to the operators thread.
 */
public interface MemberReports {

	/**
	 * Collects the reports of all members.
	 * @param afterMinute the minute since 1970 after which reports are collected
	 * @return the reports of the members that answered; members that didn't are left out
	 */
	Promise<List<MinuteReport>> reportsAfter(long afterMinute);

}
