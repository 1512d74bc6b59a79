package org.brasspier.daemon.mesh;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

import io.activej.reactor.nio.NioReactor;
import org.brasspier.daemon.internal.loop.Duty;
import org.brasspier.daemon.internal.mesh.MeshNode;
import org.jspecify.annotations.Nullable;

/**
 * A daemon of a mesh. Starting and stopping is thread-safe; each is done once.
 */
public final class MeshDaemon {

	/** Kept back from the time for a stop, so that the process ends by itself. */
	private static final long END_MARGIN_MILLIS = 300;

	private final MeshSettings settings;

	private final Function<NioReactor, MeshAdapter> adapter;

	private final Duty duty = new Duty("requests");

	private @Nullable MeshNode node;

	/**
	 * Creates a daemon that is not started.
	 * @param settings what it knows before it starts
	 * @param adapter builds the adapter on the daemon's event loop
	 */
	public MeshDaemon(MeshSettings settings, Function<NioReactor, MeshAdapter> adapter) {
		this.settings = settings;
		this.adapter = adapter;
	}

	/**
	 * Opens all ports.
	 * @throws IOException if one can't be opened
	 */
	public void start() throws IOException {
		this.duty.start(() -> {
			MeshNode joined = new MeshNode(this.duty.reactor(), this.settings, this.adapter.apply(this.duty.reactor()));
			this.node = joined;
			joined.start();
		});
	}

	/**
	 * Logs that the settings were read again.
	 * @param outcome what came of it
	 */
	public void onSettingsReloaded(String outcome) {
		this.duty.execute(() -> {
			MeshNode joined = this.node;
			if (joined != null) {
				joined.onSettingsReloaded(outcome);
			}
		});
	}

	/**
	 * Ends it without cutting off what is in flight, as far as the time allows. Nothing
	 * is read or written by it afterwards.
	 */
	public void stop() {
		CompletableFuture<Void> ended = new CompletableFuture<>();
		this.duty.execute(() -> {
			MeshNode joined = this.node;
			if (joined == null) {
				ended.complete(null);
			}
			else {
				joined.stop(() -> ended.complete(null));
			}
		});
		try {
			ended.get(this.settings.bounds().stopTimeout().toMillis() + END_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
			this.duty.stop();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException | TimeoutException ex) {
			// The platform ends the process in a moment; what is still in flight is cut.
		}
	}

}
