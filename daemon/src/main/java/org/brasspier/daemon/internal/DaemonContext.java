package org.brasspier.daemon.internal;

import com.codahale.metrics.MetricRegistry;
import org.brasspier.daemon.internal.document.DocumentHolder;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.measure.OutcomeMeter;
import org.brasspier.daemon.internal.settings.CurrentSecrets;
import org.brasspier.daemon.internal.settings.Settings;

/**
 * The objects that all duties share. Immutable; its components are thread-safe.
 *
 * @param settings the validated settings
 * @param events the event log
 * @param metrics the metrics
 * @param documents holds the configuration document in force
 * @param outcomes counts the request outcomes from which the measures are computed
 * @param secrets holds the current secrets
 */
public record DaemonContext(Settings settings, EventLog events, MetricRegistry metrics, DocumentHolder documents,
		OutcomeMeter outcomes, CurrentSecrets secrets) {

	/**
	 * Creates a context without a document and with all counts at zero.
	 * @param settings the validated settings
	 * @param events the event log
	 * @param metrics the metrics
	 */
	public DaemonContext(Settings settings, EventLog events, MetricRegistry metrics) {
		this(settings, events, metrics, new DocumentHolder(events),
				new OutcomeMeter(settings.instance(), System::currentTimeMillis),
				new CurrentSecrets(settings.secrets()));
	}

}
