package org.brasspier.daemon.internal.backend;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.activej.eventloop.Eventloop;
import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;
import org.brasspier.core.document.ServiceCatalog;
import org.brasspier.core.ownership.HeldRange;
import org.brasspier.core.routing.Assignment;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.core.routing.PeerAddresses;
import org.brasspier.core.routing.RouteTable;
import org.brasspier.daemon.internal.ownership.RequestsReport.BackendState;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class GrantRenewalTests {

	private static final ServiceName HULLBOOK = new ServiceName("hullbook");

	private static final InstanceId SELF = new InstanceId("a");

	private static final Fence FENCE = new Fence(7);

	// Guards against the release of a part of a range while its frozen server may still
	// hold a grant of the whole: the range was split after the grant was sent.
	@Test
	void anUnansweredGrantCountsForEachPartOfItsRange() throws IOException {
		Eventloop loop = Eventloop.builder().withCurrentThread().build();
		long now = System.nanoTime();
		try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			String address = "127.0.0.1:" + silent.getLocalPort();
			BackendCalls calls = new BackendCalls(loop);
			calls.setAddress(address);
			OwnershipSnapshot snapshot = holding(KeyRange.ALL, now + TimeUnit.MINUTES.toNanos(1));
			GrantRenewal grants = new GrantRenewal(calls, () -> snapshot, () -> ServiceCatalog.OPEN);
			loop.post(() -> grants.renew(announced(address), now));
			loop.run();
			KeyRange half = new KeyRange(0, KeyRange.ALL.high() / 2);
			assertThat(grants.remainingNanos(new HeldRange(HULLBOOK, half, FENCE), now)).isGreaterThan(0L);
			assertThat(grants.remainingNanos(new HeldRange(HULLBOOK, half, new Fence(8)), now)).isEqualTo(0L);
		}
	}

	private static OwnershipSnapshot holding(KeyRange range, long leaseEndNanos) {
		RouteTable held = RouteTable.of(1, Map.of(HULLBOOK, List.of(new Assignment(range, SELF, FENCE))));
		return new OwnershipSnapshot(SELF, held, held, leaseEndNanos, new PeerAddresses(Map.of()));
	}

	private static BackendAnnouncement announced(String address) {
		return new BackendAnnouncement(HULLBOOK, address, BackendState.READY, 4, 20, true, 0);
	}

}
