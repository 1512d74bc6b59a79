package org.brasspier.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.google.gson.Gson;
import io.activej.bytebuf.ByteBuf;
import io.activej.dns.DnsClient;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;

/**
 * A backend server that answers each request after a set time and announces itself to the
 * daemon beside it.
 */
public final class BackendStandIn {

	private static final long ANNOUNCE_EVERY_MILLIS = 1000;

	private final Flags flags;

	private final Eventloop loop = Eventloop.builder().withCurrentThread().build();

	private final HttpClient http = HttpClient
		.builder(this.loop, DnsClient.create(this.loop, new InetSocketAddress("127.0.0.1", 53)))
		.build();

	private BackendStandIn(Flags flags) {
		this.flags = flags;
	}

	/**
	 * Runs a backend server until the process is told to end.
	 * @param arguments the flags
	 */
	public static void main(String[] arguments) {
		Flags flags = new Flags();
		JCommander.newBuilder().addObject(flags).programName("backend-standin").build().parse(arguments);
		new BackendStandIn(flags).run();
	}

	private void run() {
		try {
			HttpServer.builder(this.loop, this::serve).withListenAddress(address(this.flags.listen)).build().listen();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		announce();
		this.loop.keepAlive(true);
		this.loop.run();
	}

	private Promise<HttpResponse> serve(HttpRequest request) {
		String key = String.valueOf(request.getHeader(HttpHeaders.of("Brasspier-Key")));
		return request.loadBody()
			.then((body) -> Promises.delay(this.flags.latencyMillis))
			.then(() -> HttpResponse.ok200().withPlainText("answer for " + key).toPromise());
	}

	private void announce() {
		String body = new Gson().toJson(new Announcement(this.flags.service, this.flags.listen, this.flags.slots,
				this.flags.connections, true));
		this.http.request(HttpRequest.post("http://" + this.flags.daemon + "/announce").withBody(body).build())
			.then((response) -> response.loadBody())
			.map(ByteBuf::getArray)
			.whenComplete(() -> this.loop.delay(ANNOUNCE_EVERY_MILLIS, this::announce));
	}

	private static InetSocketAddress address(String text) {
		int colon = text.lastIndexOf(':');
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	/**
	 * What the server says of itself.
	 *
	 * @param service its service
	 * @param address where it listens
	 * @param slots how many requests it runs at once
	 * @param connections how many connections it accepts
	 * @param checksFences whether it refuses old fences
	 */
	private record Announcement(String service, String address, int slots, int connections, boolean checksFences) {

	}

	/**
	 * The flags.
	 */
	private static final class Flags {

		@Parameter(names = "--service", required = true)
		private String service = "";

		@Parameter(names = "--listen", required = true)
		private String listen = "";

		@Parameter(names = "--daemon", required = true, description = "IP:PORT of the daemon's backend port")
		private String daemon = "";

		@Parameter(names = "--slots")
		private int slots = 17;

		@Parameter(names = "--connections")
		private int connections = 120;

		@Parameter(names = "--latency-millis")
		private int latencyMillis = 2;

	}

}
