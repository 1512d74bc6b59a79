package review;

/** The operator's configuration of a small deployment. */
final class Config {

	private Config() {
	}

	/**
	 * Returns a configuration with the service "plain", for /plain/ (safe), /posts/ (unsafe)
	 * and /packs/ (download), and the service "keyed", for /keys/ (safe, divided by key).
	 */
	static String document(int version, int timeoutMillis) {
		return """
				{"version":"r%d","routes":[%s,%s,%s,%s],"services":[%s,%s],"limits":{"max_header_bytes":16384,\
				"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"""
			.formatted(version, route("one", "/plain/", "safe", "plain", timeoutMillis),
					route("two", "/posts/", "unsafe", "plain", timeoutMillis),
					route("three", "/packs/", "download", "plain", timeoutMillis),
					route("four", "/keys/", "safe", "keyed", timeoutMillis), service("plain", false),
					service("keyed", true));
	}

	private static String route(String name, String prefix, String kind, String service, int timeoutMillis) {
		return """
				{"name":"%s","host":"host.example","prefix":"%s","kind":"%s","timeout":"%dms","target_latency":"500ms",\
				"priority":1,"service":"%s","max_attempts":2}"""
			.formatted(name, prefix, kind, timeoutMillis, service);
	}

	private static String service(String name, boolean sharded) {
		return """
				{"name":"%s","health_check_path":"/health","max_connections":120,"protocol":"h1","tls":false,"sharded":%s,\
				"warmup":"2s","grants":"heartbeat"}"""
			.formatted(name, sharded);
	}

}
