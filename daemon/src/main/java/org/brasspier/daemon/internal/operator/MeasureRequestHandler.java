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
 * Handles requests for the measures over an interval, which are shown beside the targets
 * of the configuration document. Not thread-safe; confined to the operators thread.
 */
final class MeasureRequestHandler {

	/** A quarter of a year and some days; each day costs one read of the table. */
	private static final int MAX_DAYS = 100;

	private final DaemonContext context;

	private final MeasureRecorder recorder;

	MeasureRequestHandler(DaemonContext context, MeasureRecorder recorder) {
		this.context = context;
		this.recorder = recorder;
	}

	Promise<HttpResponse> measures(HttpRequest request) {
		QueryParameters query = QueryParameters.of(request);
		long nowMillis = System.currentTimeMillis();
		long toMillis = query.number("to").orElse(nowMillis);
		long fromMillis = truncateToHour(query.number("from").orElse(startOfQuarter(toMillis)));
		if (fromMillis >= toMillis || ChronoUnit.DAYS.between(Instant.ofEpochMilli(fromMillis),
				Instant.ofEpochMilli(toMillis)) > MAX_DAYS) {
			throw new IllegalArgumentException(
					"from %d must be before to %d, by at most %d days (see TROUBLESHOOTING.md#bad-operator-request)"
						.formatted(fromMillis, toMillis, MAX_DAYS));
		}
		return this.recorder.read(fromMillis, toMillis)
			.map((recorded) -> render(recorded, fromMillis, Math.min(toMillis, nowMillis)));
	}

	private static long truncateToHour(long millis) {
		return Instant.ofEpochMilli(millis).truncatedTo(ChronoUnit.HOURS).toEpochMilli();
	}

	private static long startOfQuarter(long millis) {
		LocalDate day = LocalDate.ofInstant(Instant.ofEpochMilli(millis), ZoneOffset.UTC);
		return day.with(IsoFields.DAY_OF_QUARTER, 1).atStartOfDay(ZoneOffset.UTC).toInstant().toEpochMilli();
	}

	private HttpResponse render(MeasureRecorder.StoredMeasures recorded, long fromMillis, long toMillis) {
		Targets targets = this.context.documents().inForce().document().targets();
		Map<String, MeasureSums> services = new TreeMap<>(recorded.services());
		return JsonResponses
			.ok(new MeasuresAnswer(this.context.settings().cell(), fromMillis, toMillis, recorded.untilMillis(),
					services.entrySet()
						.stream()
						.map((entry) -> renderService(entry.getKey(), entry.getValue(),
								MeasureSummary.of(entry.getValue(), toMillis - fromMillis, targets)))
						.toList()));
	}

	private static MeasuresAnswer.Service renderService(String name, MeasureSums sums, MeasureSummary summary) {
		Targets targets = summary.targets();
		return new MeasuresAnswer.Service(name, sums.requests(), sums.turnedAway(), summary.imbalanceRatio(),
				targets.imbalanceRatio(), summary.churnPercentADay(), targets.churnPercentADay(),
				summary.unavailableSecondsADay(), targets.unavailableSecondsADay(), summary.targetsMet());
	}

}
