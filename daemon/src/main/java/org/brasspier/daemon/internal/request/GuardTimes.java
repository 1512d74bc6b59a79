package org.brasspier.daemon.internal.request;

import java.util.function.Supplier;

import org.brasspier.core.ServiceName;
import org.brasspier.core.document.ServiceCatalog;
import org.brasspier.core.document.ServicePolicy;

/**
 * The guard time of each service: how long after the end of its owner's lease an order
 * may still take effect on a backend server that does not check fences. A range is not
 * given to another owner before this time has passed. Thread-safe.
 */
final class GuardTimes {

	/** See docs/DESIGN.md, rule 8. */
	private static final int DEFAULT_MILLIS = 200;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Supplier<ServiceCatalog> catalog;

	GuardTimes(Supplier<ServiceCatalog> catalog) {
		this.catalog = catalog;
	}

	long nanos(ServiceName service) {
		int millis = this.catalog.get().find(service).map(ServicePolicy::guardMillis).orElse(DEFAULT_MILLIS);
		return millis * NANOS_PER_MILLI;
	}

}
