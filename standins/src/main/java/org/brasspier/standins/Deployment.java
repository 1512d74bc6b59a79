package org.brasspier.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.brasspier.core.KeyHash;

/**
 * A deployment of real processes on this machine: the platform's stand-in, and a daemon
 * and a backend server for each instance, with every connection between them through the
 * proxy. Links are named {@code FROM>TO} for daemons, {@code FROM>store},
 * {@code callers>TO} and {@code NAME>server}. Thread-safe.
 */
public final class Deployment implements AutoCloseable {

	/** System property: if true, histories and logs of all deployments are kept. */
	private static final String KEEP_FILES = "brasspier.standins.keep-files";

	private final DeploymentShape shape;

	private final Path folder;

	private final FaultProxy proxy = new FaultProxy();

	private final PlatformStandIn platform = new PlatformStandIn(Ports.free(), InstanceBuilder.PLATFORM_TOKEN);

	private final List<StandInInstance> instances;

	private volatile boolean keepFiles = Boolean.getBoolean(KEEP_FILES);

	private Deployment(DeploymentShape shape, Path folder) {
		this.shape = shape;
		this.folder = folder;
		InstanceBuilder builder = new InstanceBuilder(shape, this.proxy, this.platform.address(), folder);
		shape.services()
			.forEach((service) -> IntStream.range(0, service.servers()).forEach((i) -> builder.add(service, i)));
		this.instances = builder.build();
	}

	/**
	 * Starts a deployment; its instances may not own anything yet.
	 * @param shape its shape
	 * @return the deployment, to be closed
	 */
	public static Deployment start(DeploymentShape shape) {
		Deployment deployment = prepare(shape);
		deployment.instances().forEach(StandInInstance::start);
		return deployment;
	}

	/**
	 * Creates a deployment without starting its instances.
	 * @param shape its shape
	 * @return the deployment, to be closed
	 */
	public static Deployment prepare(DeploymentShape shape) {
		try {
			return new Deployment(shape, Files.createTempDirectory("brasspier-" + shape.name() + "-"));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * The shape it was started with.
	 * @return the shape
	 */
	public DeploymentShape shape() {
		return this.shape;
	}

	/**
	 * Returns the folder of histories and logs.
	 * @return the folder
	 */
	public Path folder() {
		return this.folder;
	}

	/**
	 * The secret that its operator ports accept.
	 * @return the secret
	 */
	public String operatorSecret() {
		return InstanceBuilder.OPERATOR_SECRET;
	}

	/**
	 * Returns every secret that its processes start with, for tests that search for
	 * leaked secrets.
	 * @return the shared key, the operators' secret and the platform's token
	 */
	public List<String> secrets() {
		return List.of(InstanceBuilder.SHARED_KEY, InstanceBuilder.OPERATOR_SECRET, InstanceBuilder.PLATFORM_TOKEN);
	}

	/**
	 * All instances, also those that are not running.
	 * @return the instances, service by service
	 */
	public List<StandInInstance> instances() {
		return this.instances;
	}

	/**
	 * One instance.
	 * @param name its name
	 * @return the instance
	 */
	public StandInInstance instance(String name) {
		return this.instances.stream()
			.filter((instance) -> instance.name().equals(name))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("no instance is named " + name));
	}

	/**
	 * The platform.
	 * @return the stand-in
	 */
	public PlatformStandIn platform() {
		return this.platform;
	}

	/**
	 * The proxy.
	 * @return the proxy that all links pass
	 */
	public FaultProxy proxy() {
		return this.proxy;
	}

	/**
	 * Creates callers that use all daemons, with the deployment's caller delay and
	 * without the proxy.
	 * @return callers that send nothing yet, to be closed
	 */
	public CallerFleet newCallers() {
		return new CallerFleet(this.instances.stream().map((instance) -> instance.ports().callers()).toList(),
				this.shape.callerDelayMillis());
	}

	/**
	 * Returns the daemons' addresses for callers through the links {@code callers>NAME}.
	 * @return the proxied addresses, in the order of the instances
	 */
	public List<InetSocketAddress> callerAddresses() {
		return this.instances.stream().map(StandInInstance::callers).toList();
	}

	/**
	 * Changes the links between two daemons in both directions.
	 * @param one an instance
	 * @param other another
	 * @param state the new state of their links
	 */
	public void setLinksBetween(StandInInstance one, StandInInstance other, LinkState state) {
		setLinks((name) -> isLinkBetween(name, one.name(), other.name())
				|| isLinkBetween(name, other.name(), one.name()), state);
	}

	private static boolean isLinkBetween(String link, String from, String to) {
		return link.startsWith(from + ">" + to + ":");
	}

	/**
	 * Changes the link between a daemon and the platform's store.
	 * @param instance the daemon's instance
	 * @param state the new state of the link
	 */
	public void setStoreLink(StandInInstance instance, LinkState state) {
		setLinks((name) -> name.equals(instance.name() + ">store"), state);
	}

	/**
	 * Changes the links of a daemon to all other daemons.
	 * @param instance the daemon's instance
	 * @param state the new state of the links
	 */
	public void setPeerLinks(StandInInstance instance, LinkState state) {
		this.instances.stream()
			.filter((other) -> !other.equals(instance))
			.forEach((other) -> setLinksBetween(instance, other, state));
	}

	/**
	 * Changes all links that a filter selects.
	 * @param filter selects links by their name
	 * @param state the new state of the links
	 */
	public void setLinks(Predicate<String> filter, LinkState state) {
		this.proxy.links(filter).forEach((link) -> link.state(state));
	}

	/**
	 * Waits until each service answers requests for a number of keys through every
	 * running daemon.
	 */
	public void awaitServed() {
		this.instances.stream().filter((instance) -> instance.daemon().isAlive()).forEach(this::awaitServedThrough);
	}

	// Uses callers that know one daemon only: otherwise another daemon would answer in
	// place of one that does not listen yet.
	private void awaitServedThrough(StandInInstance entry) {
		try (CallerFleet probe = new CallerFleet(List.of(entry.ports().callers()))) {
			this.shape.services().forEach((service) -> ServiceProbe.awaitServed(probe, service));
		}
	}

	/**
	 * Reads what all backend servers have recorded so far.
	 * @return the records in the order of time
	 */
	public List<ServerRecord> serverRecords() {
		return ServerRecords.read(this.instances.stream().map((instance) -> instance.server().output()).toList());
	}

	/**
	 * Returns the instance that owns a key at present, according to the servers' records.
	 * @param service the service
	 * @param key the key
	 * @return the instance, empty if the key was never granted
	 */
	public Optional<StandInInstance> owner(String service, String key) {
		return ServerRecords.latestGrant(serverRecords(), service, KeyHash.of(key))
			.map(ServerRecord::server)
			.map(this::instance);
	}

	/**
	 * Returns the ranges that an instance's server holds.
	 * @param instance the instance
	 * @return the ranges, according to the servers' records
	 */
	public List<OwnedRange> ownedBy(StandInInstance instance) {
		return ServerRecords.ownedBy(serverRecords(), instance.name(), Long.MAX_VALUE);
	}

	/**
	 * The services that are divided by key.
	 * @return their names
	 */
	public Set<String> shardedServices() {
		return this.shape.services()
			.stream()
			.filter(ServiceShape::sharded)
			.map(ServiceShape::name)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Keeps histories and logs when the deployment is closed, for analysis.
	 * @return the folder
	 */
	public Path keepFiles() {
		this.keepFiles = true;
		return this.folder;
	}

	@Override
	public void close() {
		this.instances.stream()
			.flatMap((instance) -> Stream.of(instance.daemon(), instance.server()))
			.filter(ProgramProcess::isAlive)
			.forEach(ProgramProcess::kill);
		this.proxy.close();
		this.platform.close();
		if (!this.keepFiles) {
			deleteFolder();
		}
	}

	private void deleteFolder() {
		try (Stream<Path> files = Files.list(this.folder)) {
			for (Path file : files.toList()) {
				Files.delete(file);
			}
			Files.delete(this.folder);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
