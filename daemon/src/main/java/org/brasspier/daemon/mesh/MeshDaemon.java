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
 * A daemon of a mesh. Starting and stopping is thread-safe; each may be called once.
 */
public final class MeshDaemon {

	/**
	 * Time that {@link #stop()} waits beyond the stop timeout, so that the daemon ends by
	 * itself.
	 */
	private static final long STOP_MARGIN_MILLIS = 300;

	private final MeshSettings settings;

	private final Function<NioReactor, MeshAdapter> adapter;

	private final Duty duty = new Duty("requests");

	private @Nullable MeshNode node;

	/**
	 * Creates a daemon without starting it.
	 * @param settings the settings
	 * @param adapter builds the adapter on the daemon's event loop
	 */
	public MeshDaemon(MeshSettings settings, Function<NioReactor, MeshAdapter> adapter) {
		this.settings = settings;
		this.adapter = adapter;
	}

	/**
	 * Starts the event loop and opens all ports.
	 * @throws IOException if a port can't be opened
	 */
	public void start() throws IOException {
		this.duty.start(() -> {
			MeshNode current = new MeshNode(this.duty.reactor(), this.settings,
					this.adapter.apply(this.duty.reactor()));
			this.node = current;
			current.start();
		});
	}

	/**
	 * Logs that the settings file was read again.
	 * @param outcome the outcome
	 */
	public void onSettingsReloaded(String outcome) {
		this.duty.execute(() -> {
			MeshNode current = this.node;
			if (current != null) {
				current.onSettingsReloaded(outcome);
			}
		});
	}

	/**
	 * Shuts down gracefully: waits for requests in flight until the stop timeout, then
	 * stops the event loop. Nothing is read or written afterwards.
	 */
	public void stop() {
		CompletableFuture<Void> stopped = new CompletableFuture<>();
		this.duty.execute(() -> {
			MeshNode current = this.node;
			if (current == null) {
				stopped.complete(null);
			}
			else {
				current.stop(() -> stopped.complete(null));
			}
		});
		try {
			stopped.get(this.settings.bounds().stopTimeout().toMillis() + STOP_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
			this.duty.stop();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException | TimeoutException ex) {
			// The platform kills the process shortly; requests that are still in flight
			// are cut off.
		}
	}

}
