import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** A store, machines with a daemon and a backend each, and a temporary folder. */
final class Deployment implements AutoCloseable {

	final Log log;

	final Path folder;

	final Store store;

	final List<Machine> machines = new ArrayList<>();

	final List<AutoCloseable> others = new ArrayList<>();

	Deployment(Log log) throws IOException {
		this.log = log;
		this.folder = Files.createTempDirectory("case-");
		this.store = new Store();
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	Machine machine(String name, String zone, String service) throws IOException {
		return machine(name, zone, service, "heartbeat");
	}

	Machine machine(String name, String zone, String service, String grants) throws IOException {
		Machine machine = new Machine(name, zone, service, this.store.address(), grants, this.folder, this.log);
		this.machines.add(machine);
		return machine;
	}

	void start() throws IOException, InterruptedException {
		for (Machine machine : this.machines) {
			machine.start();
		}
		for (Machine machine : this.machines) {
			if (!machine.awaitReady(30)) {
				throw new IOException("machine " + machine.name + " did not become ready");
			}
		}
		this.log.line("all machines are ready");
	}

	static String route(String name, String host, String prefix, String kind, int timeoutMillis, int targetMillis,
			String service, int attempts) {
		return """
				{"name":"%s","host":"%s","prefix":"%s","kind":"%s","timeout":"%dms","target_latency":"%dms",\
				"priority":1,"service":"%s","max_attempts":%d}""".formatted(name, host, prefix, kind, timeoutMillis,
				targetMillis, service, attempts);
	}

	static String service(String name, boolean sharded, String grants) {
		return """
				{"name":"%s","health_check_path":"/health","max_connections":530,"protocol":"h1","tls":false%s}"""
			.formatted(name, sharded ? ",\"sharded\":true,\"warmup\":\"2s\",\"grants\":\"" + grants + "\"" : "");
	}

	void config(int version, List<String> routes, List<String> services) {
		this.store.put("op", "config", """
				{"version":"r%d","routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,\
				"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}""".formatted(version,
				String.join(",", routes), String.join(",", services)));
		this.log.line("the store acknowledges configuration r%d", version);
	}

	@Override
	public void close() {
		for (AutoCloseable other : this.others) {
			try {
				other.close();
			}
			catch (Exception ex) {
				// It is closed already.
			}
		}
		this.machines.forEach(Machine::close);
		this.store.close();
		if (System.getenv("KEEP") != null) {
			System.out.println("kept " + this.folder);
			return;
		}
		try (Stream<Path> files = Files.list(this.folder)) {
			for (Path file : files.toList()) {
				Files.deleteIfExists(file);
			}
			Files.deleteIfExists(this.folder);
		}
		catch (IOException ex) {
			// It was deleted by the first call.
		}
	}

}
