package org.brasspier.daemon.mesh;

/**
 * The platform-specific parts of a daemon.
 *
 * @param callers protocol of callers
 * @param backends protocol for requests to backend servers
 * @param grants protocol for calls that grant keys to backend servers or release them
 * @param heartbeats protocol of the heartbeats of backend servers
 * @param config source of the operators' configuration
 * @param store the platform's transactional store
 * @param readinessPath path of the platform's readiness check
 */
public record MeshAdapter(CallerProtocol callers, BackendProtocol backends, GrantProtocol grants,
		HeartbeatProtocol heartbeats, ConfigSource config, MetadataStore store, String readinessPath) {
}
