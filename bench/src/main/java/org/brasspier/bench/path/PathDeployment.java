package org.brasspier.bench.path;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.brasspier.daemon.Main;
import org.brasspier.standins.Await;
import org.brasspier.standins.BackendStandIn;
import org.brasspier.standins.PlatformStandIn;
import org.brasspier.standins.Ports;
import org.brasspier.standins.ProgramProcess;

/**
 * Two instances that run as processes and communicate over the loopback interface without
 * any fault-injecting proxy.
 */
final class PathDeployment implements AutoCloseable {

	private static final String TOKEN = "bench-platform-token";

	private final Path folder;

	private final PlatformStandIn platform;

	private final Instance entry;

	private final Instance owner;

	private PathDeployment(Path folder, PlatformStandIn platform, Instance entry, Instance owner) {
		this.folder = folder;
		this.platform = platform;
		this.entry = entry;
		this.owner = owner;
	}

	static PathDeployment start() throws IOException {
		Path folder = Files.createTempDirectory("brasspier-path-");
		PlatformStandIn platform = new PlatformStandIn(Ports.free(), TOKEN);
		Instance entry = Instance.start("one", "duluth", platform.address(), folder);
		Instance owner = Instance.start("two", "kingston", platform.address(), folder);
		return new PathDeployment(folder, platform, entry, owner);
	}

	PathLoad.RequestPath direct() {
		return new PathLoad.RequestPath("http://" + Ports.text(this.entry.serverAt) + "/x?work=0", "any");
	}

	// A key that the entry daemon owns.
	PathLoad.RequestPath local(PathLoad load) {
		return findPath(load, this.entry);
	}

	// A key that the other daemon owns, one hop away from the entry daemon.
	PathLoad.RequestPath hop(PathLoad load) {
		return findPath(load, this.owner);
	}

	private PathLoad.RequestPath findPath(PathLoad load, Instance keyOwner) {
		String url = "http://" + Ports.text(this.entry.callers) + "/v1/hullbook/x?work=0";
		String ownerAddress = Ports.text(keyOwner.callers);
		PathLoad.RequestPath[] found = new PathLoad.RequestPath[1];
		Await.until("a key of %s is served".formatted(ownerAddress),
				() -> Stream.iterate(0, (i) -> i < 32, (i) -> i + 1)
					.map((i) -> new PathLoad.RequestPath(url, "hull-" + i))
					.filter((path) -> load.responseHeader(path, "Brasspier-Owner").join().equals(ownerAddress)
							&& load.responseHeader(path, "Brasspier-Ran").join().equals("ran"))
					.peek((path) -> found[0] = path)
					.findFirst()
					.isPresent());
		return found[0];
	}

	Duration entryCpu() {
		return cpu(this.entry.daemon);
	}

	Duration ownerCpu() {
		return cpu(this.owner.daemon);
	}

	private static Duration cpu(ProgramProcess process) {
		return ProcessHandle.of(process.pid())
			.flatMap((handle) -> handle.info().totalCpuDuration())
			.orElse(Duration.ZERO);
	}

	long entryResidentKilobytes() throws IOException {
		try (Stream<String> lines = Files.lines(Path.of("/proc", Long.toString(this.entry.daemon.pid()), "status"))) {
			return lines.filter((line) -> line.startsWith("VmRSS:"))
				.map((line) -> line.replaceAll("[^0-9]", ""))
				.mapToLong(Long::parseLong)
				.findFirst()
				.orElse(0);
		}
	}

	@Override
	public void close() {
		Stream.of(this.entry, this.owner).forEach(Instance::kill);
		this.platform.close();
		try (Stream<Path> files = Files.list(this.folder)) {
			for (Path file : files.toList()) {
				Files.delete(file);
			}
			Files.delete(this.folder);
		}
		catch (IOException ex) {
			System.err.println("could not delete temporary folder " + this.folder + ": " + ex.getMessage());
		}
	}

	/**
	 * A daemon and its backend server.
	 *
	 * @param callers address of the daemon's caller port
	 * @param serverAt address of the backend server
	 * @param daemon process of the daemon
	 * @param server process of the backend server
	 */
	private record Instance(InetSocketAddress callers, InetSocketAddress serverAt, ProgramProcess daemon,
			ProgramProcess server) {

		static Instance start(String name, String domain, InetSocketAddress platform, Path folder) {
			InetSocketAddress callers = Ports.free();
			InetSocketAddress backend = Ports.free();
			InetSocketAddress serverAt = Ports.free();
			String store = Ports.text(platform);
			List<String> flags = List.of("--instance", name, "--failure-domain", domain, "--caller-listen",
					Ports.text(callers), "--forward-listen", Ports.text(Ports.free()), "--control-listen",
					Ports.text(Ports.free()), "--backend-listen", Ports.text(backend), "--operator-listen",
					Ports.text(Ports.free()), "--table", store, "--object-store", store);
			Map<String, String> secrets = Map.of("BRASSPIER_SHARED_KEYS", "bench-shared-key-0001",
					"BRASSPIER_OPERATOR_SECRETS", "bench-operator-secret-01", "BRASSPIER_PLATFORM_TOKEN", TOKEN);
			ProgramProcess daemon = new ProgramProcess(name + ".daemon", Main.class.getName(), flags, secrets, folder)
				.start();
			List<String> serverFlags = List.of("--name", name, "--service", "hullbook", "--listen",
					Ports.text(serverAt), "--daemon", Ports.text(backend), "--slots", "64", "--waiting", "64",
					"--connections", "200", "--checks-fences", "false", "--spread", "0");
			ProgramProcess server = new ProgramProcess(name + ".server", BackendStandIn.class.getName(), serverFlags,
					Map.of(), folder)
				.start();
			return new Instance(callers, serverAt, daemon, server);
		}

		void kill() {
			this.daemon.kill();
			this.server.kill();
		}

	}

}
