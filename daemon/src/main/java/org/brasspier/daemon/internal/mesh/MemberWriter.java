package org.brasspier.daemon.internal.mesh;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalDouble;

import io.activej.reactor.nio.NioReactor;
import org.brasspier.core.limit.AnnouncedLimit;
import org.brasspier.daemon.mesh.MeshSettings;
import org.brasspier.daemon.mesh.MetadataStore;

/**
 * Keeps this instance's member row in the platform's store up to date. Not thread-safe;
 * confined to the request thread.
 */
final class MemberWriter {

	/** A change of the limit by less is not written. */
	private static final double WRITTEN_CHANGE = 0.25;

	private final NioReactor reactor;

	private final MeshSettings settings;

	private final InetSocketAddress address;

	private final BackendRegistration registration;

	private final AnnouncedLimit limit;

	private final Directory directory;

	private final OwnRowWriter writer;

	MemberWriter(NioReactor reactor, MeshSettings settings, BackendRegistration registration, AnnouncedLimit limit,
			Directory directory, MetadataStore store, StoreHealth health) {
		this.reactor = reactor;
		this.settings = settings;
		this.address = settings.listen().peers();
		this.registration = registration;
		this.limit = limit;
		this.directory = directory;
		this.writer = new OwnRowWriter(StoredRows.MEMBER_PREFIX + settings.instance().value(), directory, store,
				health);
		registration.addListener(this::writeIfChanged);
	}

	void start() {
		this.reactor.delayBackground(OwnRowWriter.CHECK_INTERVAL, () -> {
			start();
			writeIfChanged();
		});
	}

	private Member ownMember() {
		return new Member(this.settings.instance(), this.address, this.settings.failureDomain(),
				this.settings.backend().service(), this.registration.incarnation(), this.registration.slots(),
				this.registration.ready(), true, this.settings.linkMegabits(), writtenLimit());
	}

	// The row follows a limit roughly, so that it is not written with each answer.
	private OptionalDouble writtenLimit() {
		OptionalDouble current = this.limit.lastingPerSecond(System.nanoTime());
		OptionalDouble written = this.directory.member(this.settings.instance())
			.map(Member::perSecond)
			.orElse(OptionalDouble.empty());
		boolean similar = current.isPresent() && written.isPresent()
				&& Math.abs(current.getAsDouble() - written.getAsDouble()) <= WRITTEN_CHANGE * written.getAsDouble();
		return similar ? written : current;
	}

	void writeIfChanged() {
		if (!this.writer.canWrite() || this.registration.incarnation().isEmpty()) {
			return;
		}
		Member own = ownMember();
		if (!this.directory.member(own.instance()).equals(Optional.of(own))) {
			this.writer.write(this.directory.memberVersion(own.instance()), StoredRows.member(own),
					this::writeIfChanged);
		}
	}

}
