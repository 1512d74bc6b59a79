package org.brasspier.standins;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Creates the instances of a deployment with their ports, their links through the proxy,
 * and the command lines of their processes. Serves one deployment; not thread-safe.
 */
final class InstanceBuilder {

	static final String PLATFORM_TOKEN = "platform-token-of-stand-ins";

	/** Used only for deployments on 127.0.0.1, like the other two secrets. */
	static final String SHARED_KEY = "a-shared-key-for-stand-ins-only";

	static final String OPERATOR_SECRET = "operator-secret-of-stand-ins";

	private static final String DAEMON_CLASS = "org.brasspier.daemon.Main";

	private final DeploymentShape shape;

	private final FaultProxy proxy;

	private final InetSocketAddress platform;

	private final Path folder;

	private final List<Plan> plans = new ArrayList<>();

	InstanceBuilder(DeploymentShape shape, FaultProxy proxy, InetSocketAddress platform, Path folder) {
		this.shape = shape;
		this.proxy = proxy;
		this.platform = platform;
		this.folder = folder;
	}

	void add(ServiceShape service, int index) {
		String domain = this.shape.domains().get(index % this.shape.domains().size());
		this.plans.add(new Plan(service.name() + "-" + index, domain, service, DaemonPorts.free(), Ports.free(),
				this.shape.twoPeerVersions() && index % 2 == 0));
	}

	List<StandInInstance> build() {
		return this.plans.stream().map(this::instance).toList();
	}

	private StandInInstance instance(Plan plan) {
		InetSocketAddress callers = this.proxy
			.link("callers>" + plan.name, plan.ports.callers(), this.shape.callerDelayMillis())
			.address();
		InstanceSecrets secrets = InstanceSecrets.write(this.folder, plan.name);
		return new StandInInstance(plan.name, plan.domain, plan.service, plan.ports, callers, daemon(plan, secrets),
				server(plan), secrets);
	}

	private ProgramProcess daemon(Plan plan, InstanceSecrets secrets) {
		String store = Ports.text(this.proxy.link(plan.name + ">store", this.platform, 1).address());
		List<String> arguments = List.of("--instance", plan.name, "--failure-domain", plan.domain, "--cell",
				this.shape.name(), "--caller-listen", Ports.text(plan.ports.callers()), "--forward-listen",
				Ports.text(plan.ports.forwards()), "--control-listen", Ports.text(plan.ports.control()),
				"--backend-listen", Ports.text(plan.ports.backend()), "--operator-listen",
				Ports.text(plan.ports.operators()), "--table", store, "--object-store", store, "--peer-ports",
				peerPorts(plan), "--shared-keys-file", secrets.sharedKeys().toString(), "--operator-secrets-file",
				secrets.operators().toString(), "--platform-token-file", secrets.platform().toString());
		Map<String, String> environment = (plan.earliestPeerVersion) ? Map.of("BRASSPIER_MAX_PEER_VERSION", "1")
				: Map.of();
		return new ProgramProcess(plan.name + ".daemon", DAEMON_CLASS, arguments, environment, this.folder);
	}

	private String peerPorts(Plan plan) {
		return this.plans.stream()
			.filter((peer) -> !peer.equals(plan))
			.map((peer) -> "%s=127.0.0.1:%d:%d".formatted(peer.name,
					peerLink(plan, peer, "control", peer.ports.control()),
					peerLink(plan, peer, "forward", peer.ports.forwards())))
			.collect(Collectors.joining(","));
	}

	private int peerLink(Plan from, Plan to, String port, InetSocketAddress target) {
		double delay = (from.domain.equals(to.domain)) ? 0 : this.shape.peerDelayMillis();
		return this.proxy.link("%s>%s:%s".formatted(from.name, to.name, port), target, delay).address().getPort();
	}

	private ProgramProcess server(Plan plan) {
		FaultLink link = this.proxy.targetFollowingLink(plan.name + ">server", plan.serverAddress);
		String advertised = Ports.text(link.address());
		ServiceShape service = plan.service;
		List<String> arguments = List.of("--name", plan.name, "--service", service.name(), "--listen",
				Ports.text(plan.serverAddress), "--advertise", advertised, "--daemon", Ports.text(plan.ports.backend()),
				"--callers", Ports.text(plan.ports.callers()), "--slots", Integer.toString(service.slots()),
				"--waiting", Integer.toString(service.slots()), "--connections",
				Integer.toString(service.connections()), "--checks-fences", Boolean.toString(service.checksFences()));
		ProgramProcess process = new ProgramProcess(plan.name + ".server", BackendStandIn.class.getName(), arguments,
				Map.of(), this.folder);
		process.onExit(link::onTargetExit);
		return process;
	}

	/**
	 * The plan of one instance.
	 *
	 * @param name its name
	 * @param domain its failure domain
	 * @param service its service
	 * @param ports addresses on which its daemon listens
	 * @param serverAddress address on which its backend server listens
	 * @param earliestPeerVersion whether its daemon speaks the earliest peer protocol
	 * only
	 */
	private record Plan(String name, String domain, ServiceShape service, DaemonPorts ports,
			InetSocketAddress serverAddress, boolean earliestPeerVersion) {

	}

}
