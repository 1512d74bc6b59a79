package org.brasspier.daemon.internal.measure;

import java.util.List;

import io.activej.promise.Promise;
import org.brasspier.core.measure.MinuteReport;

/**
 * Collects what the daemons of the cell counted. Belongs to the thread of operators.
 */
public interface MemberReports {

	/**
	 * Collects reports.
	 * @param afterMinute only minutes after this one, counted since 1970
	 * @return the reports of all members that answered; members that didn't are left out
	 */
	Promise<List<MinuteReport>> reportsAfter(long afterMinute);

}
