package org.brasspier.daemon.internal.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.activej.promise.Promise;
import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyHash;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;
import org.brasspier.core.measure.MeasureSums;
import org.brasspier.core.measure.MinuteReport;
import org.brasspier.daemon.internal.document.FakePlatform;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.ownership.CellView;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that each minute and each move is stored exactly once.
 */
class MeasureRecorderTests {

	private static final ServiceName HULLBOOK = new ServiceName("hullbook");

	private static final long NOON = TimeUnit.DAYS.toMillis(20_000) + TimeUnit.HOURS.toMillis(12);

	private final FakePlatform platform = new FakePlatform();

	private final List<MinuteReport> reports = new ArrayList<>();

	private long millis = NOON;

	private long viewVersion;

	private final MeasureRecorder recorder = newRecorder();

	@Test
	void reportsAreAddedOnceHoweverOftenTheyAreCollected() {
		addMinuteReport(10);
		tickAfterPeriod(this.recorder, "a");
		tickAfterPeriod(this.recorder, "a");
		addMinuteReport(5);
		tickAfterPeriod(this.recorder, "a");
		assertThat(storedSums().requests()).isEqualTo(15);
	}

	/**
	 * Guards against gaps and double counts when the primary lease manager is lost
	 * between two writes: its successor must collect from the daemons exactly the reports
	 * that the lost one had not stored yet.
	 */
	@Test
	void aNewPrimaryContinuesWhereItsPredecessorStopped() {
		addMinuteReport(10);
		tickAfterPeriod(this.recorder, "a");
		addMinuteReport(5);
		tickAfterPeriod(newRecorder(), "a");
		assertThat(storedSums().requests()).isEqualTo(15);
	}

	/**
	 * Guards against lost or doubled moves when the write of the measures takes effect
	 * but its answer is lost.
	 */
	@Test
	void movesAreCountedOnceThoughAnAnswerIsLost() {
		tickAfterPeriod(this.recorder, "a");
		this.platform.writeFaults.add(FakePlatform.WriteFault.ANSWER_LOST);
		tickAfterPeriod(this.recorder, "b");
		tickAfterPeriod(this.recorder, "b");
		assertThat(storedSums().movedPoints()).isEqualTo(KeyHash.SPACE);
	}

	@Test
	void movesAreStoredThoughAWriteIsLost() {
		tickAfterPeriod(this.recorder, "a");
		this.platform.writeFaults.add(FakePlatform.WriteFault.WRITE_LOST);
		tickAfterPeriod(this.recorder, "b");
		tickAfterPeriod(this.recorder, "b");
		assertThat(storedSums().movedPoints()).isEqualTo(KeyHash.SPACE);
	}

	@Test
	void measuresCountedDuringAnOutageAreStoredAfterIt() {
		this.platform.down = true;
		addMinuteReport(10);
		tickAfterPeriod(this.recorder, "a");
		tickAfterPeriod(this.recorder, "b");
		this.platform.down = false;
		tickAfterPeriod(this.recorder, "b");
		assertThat(storedSums().requests()).isEqualTo(10);
		assertThat(storedSums().movedPoints()).isEqualTo(KeyHash.SPACE);
	}

	@Test
	void theLastMinutesOfADayAreStoredAfterMidnight() {
		this.millis = TimeUnit.DAYS.toMillis(20_001) - TimeUnit.MINUTES.toMillis(2);
		addMinuteReport(10);
		tickAfterPeriod(this.recorder, "a");
		assertThat(this.platform.rows.keySet().stream().filter((key) -> key.startsWith("measures/2024-10-04")).count())
			.isEqualTo(1);
		assertThat(storedSums().requests()).isEqualTo(10);
	}

	@Test
	void onlyThePrimaryWrites() {
		addMinuteReport(10);
		this.millis += MeasureRecorder.WRITE_PERIOD.toMillis();
		this.recorder.tick(view("a"), false);
		assertThat(this.platform.rows).isEmpty();
	}

	private MeasureRecorder newRecorder() {
		return new MeasureRecorder(this.platform, "main",
				(after) -> Promise.of(this.reports.stream().filter((report) -> report.minute() > after).toList()),
				new EventLog(100), () -> this.millis);
	}

	private void addMinuteReport(long requests) {
		this.reports.add(new MinuteReport(new InstanceId("a"), HULLBOOK, TimeUnit.MILLISECONDS.toMinutes(this.millis),
				requests, 0, 0, 0, 1));
		this.millis += Duration.ofMinutes(1).toMillis();
	}

	private void tickAfterPeriod(MeasureRecorder recorder, String owner) {
		this.millis += MeasureRecorder.WRITE_PERIOD.toMillis();
		recorder.tick(view(owner), true);
	}

	private CellView view(String owner) {
		CellView.Range range = new CellView.Range(HULLBOOK, KeyRange.ALL, Optional.of(new InstanceId(owner)),
				Fence.NONE);
		return new CellView(++this.viewVersion, 1, Optional.empty(), Optional.empty(), List.of(), List.of(range),
				List.of());
	}

	private MeasureSums storedSums() {
		return this.recorder.read(0L + NOON - TimeUnit.HOURS.toMillis(1), this.millis)
			.getResult()
			.services()
			.getOrDefault(HULLBOOK.value(), MeasureSums.ZERO);
	}

}
