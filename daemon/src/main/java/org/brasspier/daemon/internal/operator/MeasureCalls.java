package org.brasspier.daemon.internal.operator;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.time.temporal.ChronoUnit;
import java.time.temporal.IsoFields;
import java.util.Map;
import java.util.TreeMap;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.brasspier.core.document.Targets;
import org.brasspier.core.measure.MeasureSummary;
import org.brasspier.core.measure.MeasureSums;
import org.brasspier.daemon.internal.DaemonContext;
import org.brasspier.daemon.internal.measure.MeasureRecorder;
import org.brasspier.wire.operator.MeasuresAnswer;

/**
 * The measures over some time, beside the targets of the document. Belongs to the thread
 * of operators.
 */
final class MeasureCalls {

	/** A quarter and a bit: each day costs a read of the table. */
	private static final int MAX_DAYS = 100;

	private final DaemonContext context;

	private final MeasureRecorder keeper;

	MeasureCalls(DaemonContext context, MeasureRecorder keeper) {
		this.context = context;
		this.keeper = keeper;
	}

	Promise<HttpResponse> measures(HttpRequest request) {
		Query query = Query.of(request);
		long now = System.currentTimeMillis();
		long to = query.number("to").orElse(now);
		long from = wholeHour(query.number("from").orElse(quarterStart(to)));
		if (from >= to || ChronoUnit.DAYS.between(Instant.ofEpochMilli(from), Instant.ofEpochMilli(to)) > MAX_DAYS) {
			throw new IllegalArgumentException(
					"from %d must lie before to %d and at most %d days (see TROUBLESHOOTING.md#bad-operator-request)"
						.formatted(from, to, MAX_DAYS));
		}
		return this.keeper.read(from, to).map((kept) -> render(kept, from, Math.min(to, now)));
	}

	private static long wholeHour(long millis) {
		return Instant.ofEpochMilli(millis).truncatedTo(ChronoUnit.HOURS).toEpochMilli();
	}

	private static long quarterStart(long millis) {
		LocalDate day = LocalDate.ofInstant(Instant.ofEpochMilli(millis), ZoneOffset.UTC);
		return day.with(IsoFields.DAY_OF_QUARTER, 1).atStartOfDay(ZoneOffset.UTC).toInstant().toEpochMilli();
	}

	private HttpResponse render(MeasureRecorder.StoredMeasures kept, long from, long to) {
		Targets targets = this.context.documents().inForce().document().targets();
		Map<String, MeasureSums> services = new TreeMap<>(kept.services());
		return Answers.ok(new MeasuresAnswer(this.context.settings().cell(), from, to, kept.untilMillis(),
				services.entrySet()
					.stream()
					.map((entry) -> service(entry.getKey(), entry.getValue(),
							MeasureSummary.of(entry.getValue(), to - from, targets)))
					.toList()));
	}

	private static MeasuresAnswer.Service service(String name, MeasureSums sums, MeasureSummary measured) {
		Targets targets = measured.targets();
		return new MeasuresAnswer.Service(name, sums.requests(), sums.turnedAway(), measured.imbalanceRatio(),
				targets.imbalanceRatio(), measured.churnPercentADay(), targets.churnPercentADay(),
				measured.unavailableSecondsADay(), targets.unavailableSecondsADay(), measured.targetsMet());
	}

}
