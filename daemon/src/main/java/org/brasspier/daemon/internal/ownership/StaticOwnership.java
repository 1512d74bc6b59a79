package org.brasspier.daemon.internal.ownership;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.brasspier.core.KeyRange;
import org.brasspier.core.ServiceName;
import org.brasspier.core.routing.Assignment;
import org.brasspier.core.routing.OwnershipSnapshot;
import org.brasspier.core.routing.PeerAddress;
import org.brasspier.core.routing.PeerAddresses;
import org.brasspier.core.routing.RouteTable;

/**
 * Ownership that never changes, for the thin path: each service's hash space is split
 * evenly over the instances named in the settings.
 */
public final class StaticOwnership {

	private static final long FOREVER_NANOS = Long.MAX_VALUE / 4;

	private StaticOwnership() {
	}

	/**
	 * Computes the one snapshot.
	 * @param self this instance
	 * @param members all instances
	 * @return the snapshot
	 */
	public static OwnershipSnapshot snapshot(InstanceId self, List<Member> members) {
		RouteTable routes = RouteTable.of(1,
				members.stream()
					.collect(Collectors.groupingBy(Member::service,
							Collectors.collectingAndThen(Collectors.toList(), StaticOwnership::spread))));
		Map<InstanceId, PeerAddress> addresses = members.stream()
			.collect(Collectors.toMap(Member::instance, Member::address));
		return new OwnershipSnapshot(self, routes, routes, System.nanoTime() + FOREVER_NANOS,
				new PeerAddresses(addresses));
	}

	private static List<Assignment> spread(List<Member> members) {
		List<KeyRange> ranges = KeyRange.split(members.size());
		return IntStream.range(0, members.size())
			.mapToObj((i) -> new Assignment(ranges.get(i), members.get(i).instance(), new Fence(1)))
			.toList();
	}

	/**
	 * One instance of the settings.
	 *
	 * @param instance its identity
	 * @param service the service of its backend server
	 * @param address its ports
	 */
	public record Member(InstanceId instance, ServiceName service, PeerAddress address) {

	}

}
