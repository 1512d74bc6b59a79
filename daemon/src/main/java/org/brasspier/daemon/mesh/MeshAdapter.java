package org.brasspier.daemon.mesh;

/**
 * Everything that an adapter supplies.
 *
 * @param callers how callers speak
 * @param backends how backend servers take requests
 * @param grants how they are called to grant and to release keys
 * @param heartbeats how they announce themselves
 * @param config where the configuration is
 * @param store the platform's store
 * @param readinessPath the path that the platform asks for readiness
 */
public record MeshAdapter(CallerProtocol callers, BackendProtocol backends, GrantProtocol grants,
		HeartbeatProtocol heartbeats, ConfigSource config, MetadataStore store, String readinessPath) {
}
