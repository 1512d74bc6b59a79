package org.brasspier.daemon.internal.measure;

import java.util.List;

import org.brasspier.core.ErrorKind;
import org.brasspier.core.InstanceId;
import org.brasspier.core.ServiceName;
import org.brasspier.core.measure.MinuteReport;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests the counts per minute from which the measures are computed.
 */
class OutcomeMeterTests {

	private static final ServiceName HULLBOOK = new ServiceName("hullbook");

	private long millis = 60_000L * 100;

	private final OutcomeMeter meter = new OutcomeMeter(new InstanceId("duluth-1"), () -> this.millis);

	@Test
	void aMinuteIsReportedOnceItIsComplete() {
		this.meter.countAnswered(HULLBOOK);
		assertThat(this.meter.reportsAfter(0)).isEmpty();
		this.millis += 60_000;
		assertThat(this.meter.reportsAfter(0)).hasSize(1);
		assertThat(this.meter.reportsAfter(100)).isEmpty();
	}

	@Test
	void theSecondsInWhichCallersWereRefusedAreMarked() {
		this.millis += 3_500;
		this.meter.countFailed(HULLBOOK, ErrorKind.NO_OWNER);
		this.meter.countFailed(HULLBOOK, ErrorKind.TICKET_REQUIRED);
		MinuteReport report = reports().getFirst();
		assertThat(report.turnedAwaySeconds()).isEqualTo(0b1000);
		assertThat(report.requests()).isEqualTo(1);
	}

	@Test
	void runTimeIsReportedWithTheServersSlots() {
		this.meter.updateSlots(HULLBOOK, 17);
		this.meter.addRunTime(HULLBOOK, 2_500_000);
		assertThat(reports().getFirst().busyMillis()).isEqualTo(2);
		assertThat(reports().getFirst().slots()).isEqualTo(17);
	}

	@Test
	void theNumberOfCountedServicesIsBounded() {
		for (int i = 0; i < 1000; i++) {
			this.meter.countFailed(new ServiceName("s" + i), ErrorKind.NO_OWNER);
		}
		assertThat(reports().size()).isAtMost(65);
	}

	private List<MinuteReport> reports() {
		this.millis += 60_000;
		return this.meter.reportsAfter(0);
	}

}
