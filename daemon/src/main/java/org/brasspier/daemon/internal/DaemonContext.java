package org.brasspier.daemon.internal;

import com.codahale.metrics.MetricRegistry;
import org.brasspier.daemon.internal.document.DocumentHolder;
import org.brasspier.daemon.internal.event.EventLog;
import org.brasspier.daemon.internal.measure.OutcomeMeter;
import org.brasspier.daemon.internal.settings.CurrentSecrets;
import org.brasspier.daemon.internal.settings.Settings;

/**
 * What every duty needs. Immutable; its parts are thread-safe.
 *
 * @param settings the checked settings
 * @param events the time line
 * @param metrics the metrics
 * @param documents the configuration document in force
 * @param outcomes counts what the measures are made from
 * @param secrets the secrets as they are now
 */
public record DaemonContext(Settings settings, EventLog events, MetricRegistry metrics, DocumentHolder documents,
		OutcomeMeter outcomes, CurrentSecrets secrets) {

	/**
	 * A context in which no document was read yet and nothing was counted.
	 * @param settings the checked settings
	 * @param events the time line
	 * @param metrics the metrics
	 */
	public DaemonContext(Settings settings, EventLog events, MetricRegistry metrics) {
		this(settings, events, metrics, new DocumentHolder(events),
				new OutcomeMeter(settings.instance(), System::currentTimeMillis),
				new CurrentSecrets(settings.secrets()));
	}

}
