package org.brasspier.daemon.internal.mesh;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.activej.reactor.nio.NioReactor;
import org.brasspier.daemon.mesh.MeshSettings;
import org.brasspier.daemon.mesh.MetadataStore;
import org.brasspier.daemon.mesh.MetadataStore.Commit;
import org.brasspier.daemon.mesh.MetadataStore.CommitResult;
import org.brasspier.daemon.mesh.MetadataStore.Expected;
import org.brasspier.daemon.mesh.MetadataStore.Put;

/**
 * Keeps this instance's row in the platform's store as things are. Each write names the
 * version it replaces, so that one whose answer was lost can't come later and undo a
 * newer one. Belongs to the thread of requests.
 */
final class MemberWriter {

	private static final Duration LOOK_EVERY = Duration.ofMillis(250);

	private final NioReactor reactor;

	private final MeshSettings settings;

	private final InetSocketAddress address;

	private final BackendRegistration registration;

	private final Directory directory;

	private final MetadataStore store;

	private final StoreHealth health;

	private boolean writing;

	private long lookNotBeforeNanos = System.nanoTime();

	MemberWriter(NioReactor reactor, MeshSettings settings, BackendRegistration registration, Directory directory,
			MetadataStore store, StoreHealth health) {
		this.reactor = reactor;
		this.settings = settings;
		this.address = settings.listen().peers();
		this.registration = registration;
		this.directory = directory;
		this.store = store;
		this.health = health;
		registration.listen(this::look);
	}

	void start() {
		this.reactor.delayBackground(LOOK_EVERY, () -> {
			look();
			start();
		});
	}

	private Member own() {
		return new Member(this.settings.instance(), this.address, this.settings.failureDomain(),
				this.settings.backend().service(), this.registration.life(), this.registration.slots(),
				this.registration.ready(), true, this.settings.linkMegabits());
	}

	void look() {
		boolean early = System.nanoTime() - this.lookNotBeforeNanos < 0;
		if (this.writing || early || !this.directory.known() || this.registration.life().isEmpty()) {
			return;
		}
		Member own = own();
		if (this.directory.member(own.instance()).equals(Optional.of(own))) {
			return;
		}
		write(own);
	}

	private void write(Member own) {
		this.writing = true;
		String key = StoredRows.MEMBER_PREFIX + own.instance().value();
		long version = this.directory.memberVersion(own.instance());
		byte[] value = StoredRows.member(own);
		Commit commit = new Commit(List.of(new Expected(StoredRows.MESH, key, version)),
				List.of(new Put(StoredRows.MESH, key, value)));
		this.store.commit(commit).whenResult((result) -> {
			this.writing = false;
			written(own, key, value, result);
		});
	}

	private void written(Member own, String key, byte[] value, CommitResult result) {
		switch (result) {
			case CommitResult.Done(long version) -> {
				this.directory.written(new MetadataStore.Row(key, Optional.of(value), version));
				look();
			}
			// The feed tells what is there; the next look goes on from that.
			case CommitResult.Conflict ignored -> pause();
			case CommitResult.Refused(String reason) -> lost(reason);
			case CommitResult.Unknown(String reason) -> lost(reason);
		}
	}

	private void lost(String reason) {
		this.health.answered(StoredRows.MESH, new MetadataStore.StoreFailedException(reason));
		pause();
	}

	private void pause() {
		this.lookNotBeforeNanos = System.nanoTime() + LOOK_EVERY.toNanos() * 2;
	}

}
