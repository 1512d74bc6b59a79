package org.brasspier.daemon.internal;

import com.codahale.metrics.MetricRegistry;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.settings.Settings;

/**
 * What every duty needs. Immutable; its parts are thread-safe.
 *
 * @param settings the checked settings
 * @param events the time line
 * @param metrics the metrics
 */
public record DaemonContext(Settings settings, EventLog events, MetricRegistry metrics) {

}
