package org.brasspier.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.beust.jcommander.JCommander;
import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.annotations.SerializedName;
import io.activej.bytebuf.ByteBuf;
import io.activej.dns.DnsClient;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;

/**
 * A backend server as docs/API.md describes it. Its history goes to the standard output.
 * On SIGTERM it drains and exits once its daemon reports it as drained.
 */
public final class BackendStandIn {

	private static final long ANNOUNCE_PERIOD_MILLIS = 1000;

	/**
	 * A draining server announces itself more often, so that it learns soon that it is
	 * drained.
	 */
	private static final long DRAINING_ANNOUNCE_PERIOD_MILLIS = 50;

	private static final long MAX_DRAIN_SECONDS = 30;

	private static final int MAX_BODY_BYTES = 4 << 20;

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);

	private static final Gson GSON = new Gson();

	private final BackendFlags flags;

	private final Eventloop loop = Eventloop.builder().withCurrentThread().build();

	private final HttpClient http = HttpClient
		.builder(this.loop, DnsClient.create(this.loop, new InetSocketAddress("127.0.0.1", 53)))
		.withKeepAliveTimeout(Duration.ofSeconds(30))
		.withConnectTimeout(CALL_TIMEOUT)
		.withReadWriteTimeout(CALL_TIMEOUT)
		.build();

	private final CountDownLatch drained = new CountDownLatch(1);

	private final GrantTable grants;

	private final OrderRunner orders;

	private final ServerHistory history;

	private volatile boolean draining;

	private BackendStandIn(BackendFlags flags) {
		this.flags = flags;
		this.history = new ServerHistory(System.out, flags.name, flags.service);
		this.grants = new GrantTable(this.history, flags.service);
		this.orders = new OrderRunner(flags, this.history, this.grants, new InternalCalls(this.http, flags.callerPort));
	}

	/**
	 * Runs a backend server until the process is terminated.
	 * @param arguments the flags
	 */
	public static void main(String[] arguments) {
		BackendFlags flags = new BackendFlags();
		JCommander.newBuilder().addObject(flags).programName("backend-standin").build().parse(arguments);
		new BackendStandIn(flags).run();
	}

	private void run() {
		try {
			HttpServer.builder(this.loop, this::serve)
				.withListenAddress(Ports.parse(this.flags.listen))
				.build()
				.listen();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.history.recordStart();
		Runtime.getRuntime().addShutdownHook(new Thread(this::drain, "drain"));
		announce();
		this.loop.keepAlive(true);
		this.loop.run();
	}

	private Promise<HttpResponse> serve(HttpRequest request) {
		return request.loadBody(MAX_BODY_BYTES).then((body) -> switch (request.getPath()) {
			case "/brasspier/grants" -> grant(body);
			case "/brasspier/cancel" -> cancel(body);
			case "/brasspier/health" -> health();
			default -> this.orders.run(request);
		});
	}

	private Promise<HttpResponse> grant(ByteBuf body) {
		try {
			this.grants.replace(GSON.fromJson(body.getString(StandardCharsets.UTF_8), GrantTable.Message.class));
			return HttpResponse.ok200().withJson("{}").toPromise();
		}
		catch (JsonParseException | IllegalArgumentException ex) {
			return HttpResponse.ofCode(400).withPlainText(String.valueOf(ex.getMessage())).toPromise();
		}
	}

	private Promise<HttpResponse> cancel(ByteBuf body) {
		JsonObject message = JsonParser.parseString(body.getString(StandardCharsets.UTF_8)).getAsJsonObject();
		this.orders.cancel(message.get("request_id").getAsString());
		return HttpResponse.ok200().withJson("{}").toPromise();
	}

	private Promise<HttpResponse> health() {
		int running = (this.flags.reportsIdle) ? 0 : this.orders.usedSlots();
		Health health = new Health((this.flags.reportsIdle) ? "ready" : state(), running,
				running / (double) this.flags.slots);
		return HttpResponse.ok200().withJson(GSON.toJson(health)).toPromise();
	}

	private String state() {
		return (this.draining) ? "draining" : "ready";
	}

	private void announce() {
		String address = (this.flags.advertise.isEmpty()) ? this.flags.listen : this.flags.advertise;
		String body = GSON.toJson(new Announcement(this.flags.service, address, state(), this.flags.slots,
				this.flags.connections, this.flags.checksFences, this.flags.coldStartMillis));
		this.http.request(HttpRequest.post("http://" + this.flags.backendPort + "/v1/announce").withBody(body).build())
			.then((response) -> response.loadBody())
			.whenResult((answer) -> onAnnounceAnswer(answer.getString(StandardCharsets.UTF_8)))
			.whenComplete(() -> this.loop
				.delay((this.draining) ? DRAINING_ANNOUNCE_PERIOD_MILLIS : ANNOUNCE_PERIOD_MILLIS, this::announce));
	}

	private void onAnnounceAnswer(String answer) {
		if (this.draining && answer.replace(" ", "").contains("\"drained\":true")) {
			this.drained.countDown();
		}
	}

	private void drain() {
		this.draining = true;
		this.loop.execute(this::announce);
		try {
			this.drained.await(MAX_DRAIN_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * The server's announcement to its daemon.
	 *
	 * @param service its service
	 * @param address address on which it listens
	 * @param state ready or draining
	 * @param slots number of requests that it runs concurrently
	 * @param connections number of connections that it accepts
	 * @param checksFences whether it refuses old fences
	 * @param coldStartMillis how long it is slow after its start, in milliseconds
	 */
	private record Announcement(String service, String address, String state, int slots, int connections,
			@SerializedName("checks_fences") boolean checksFences,
			@SerializedName("cold_start_millis") int coldStartMillis) {

	}

	/**
	 * The answer of the health path.
	 *
	 * @param state ready or draining
	 * @param running number of running orders
	 * @param load share of the slots in use
	 */
	private record Health(String state, int running, double load) {

	}

}
