package org.brasspier.daemon.internal.backend;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;
import org.brasspier.core.ServiceName;
import org.brasspier.daemon.internal.ownership.RequestsReport.BackendState;
import org.jspecify.annotations.Nullable;

/**
 * The state and limits that a backend server announces to its daemon. Immutable and
 * thread-safe.
 *
 * @param service the service it belongs to
 * @param address its IP number and port
 * @param state whether it is starting, ready or draining
 * @param slots how many requests it runs concurrently
 * @param connections how many connections it accepts
 * @param checksFences whether it rejects requests with an outdated fence
 * @param coldStartMillis warm-up time after a start, in milliseconds
 */
public record BackendAnnouncement(ServiceName service, String address, BackendState state, int slots, int connections,
		boolean checksFences, int coldStartMillis) {

	private static final String HELP = " (see TROUBLESHOOTING.md#bad-announcement)";

	private static final Gson GSON = new GsonBuilder()
		.setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES)
		.create();

	/**
	 * Validates the limits and the address.
	 * @throws IllegalArgumentException if a limit is not positive or the address is not
	 * an IP number with a port
	 */
	public BackendAnnouncement {
		if (slots < 1 || connections < 1 || coldStartMillis < 0) {
			throw new IllegalArgumentException(
					"slots %d and connections %d must be at least 1, cold_start_millis %d at least 0".formatted(slots,
							connections, coldStartMillis) + HELP);
		}
		HostAndPort parsed = HostAndPort.fromString(address);
		if (!InetAddresses.isInetAddress(parsed.getHost()) || !parsed.hasPort()) {
			throw new IllegalArgumentException("address \"%s\" must read IP:PORT".formatted(address) + HELP);
		}
	}

	/**
	 * Parses an announcement.
	 * @param json the JSON body
	 * @return the announcement
	 * @throws IllegalArgumentException if it is malformed
	 */
	static BackendAnnouncement parse(String json) {
		try {
			Fields fields = GSON.fromJson(json, Fields.class);
			if (fields == null || fields.service == null || fields.address == null) {
				throw new IllegalArgumentException("service and address are needed" + HELP);
			}
			return new BackendAnnouncement(new ServiceName(fields.service), fields.address, state(fields.state),
					fields.slots, fields.connections, fields.checksFences, fields.coldStartMillis);
		}
		catch (JsonParseException ex) {
			throw new IllegalArgumentException("the announcement is not JSON of the form in docs/API.md" + HELP, ex);
		}
	}

	private static BackendState state(@Nullable String text) {
		return switch ((text != null) ? text : "") {
			case "starting" -> BackendState.STARTING;
			case "ready" -> BackendState.READY;
			case "draining" -> BackendState.DRAINING;
			default -> throw new IllegalArgumentException("state must be starting, ready or draining" + HELP);
		};
	}

	private static final class Fields {

		private @Nullable String service;

		private @Nullable String address;

		private @Nullable String state;

		private int slots;

		private int connections;

		private boolean checksFences;

		private int coldStartMillis;

	}

}
