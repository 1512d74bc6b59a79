package org.brasspier.daemon.internal.mesh;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/**
 * A network on loopback that carries few bytes a second in each direction and keeps few
 * of them on the way, so that a sender soon waits for its receiver.
 */
public final class LowBandwidthNetwork implements AutoCloseable {

	private static final int STEP_MILLIS = 5;

	private static final int BUFFER_BYTES = 16 << 10;

	private final ServerSocket listening;

	private final InetSocketAddress target;

	private final int bytesInStep;

	/**
	 * Begins to carry connections.
	 * @param target where they lead
	 * @param megabits what each direction of one carries, in megabits a second
	 * @throws IOException if it can't listen
	 */
	public LowBandwidthNetwork(InetSocketAddress target, int megabits) throws IOException {
		this.target = target;
		this.bytesInStep = megabits * 1_000 / 8 * STEP_MILLIS;
		this.listening = new ServerSocket();
		this.listening.setReceiveBufferSize(BUFFER_BYTES);
		this.listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 8);
		Thread.ofPlatform().daemon().start(this::accept);
	}

	/**
	 * Where it takes connections.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.listening.getLocalSocketAddress();
	}

	private void accept() {
		try {
			while (true) {
				Socket near = this.listening.accept();
				Socket far = new Socket();
				far.setReceiveBufferSize(BUFFER_BYTES);
				far.connect(this.target);
				Thread.ofPlatform().daemon().start(() -> carry(near, far));
				Thread.ofPlatform().daemon().start(() -> carry(far, near));
			}
		}
		catch (IOException ex) {
			// It was closed.
		}
	}

	private void carry(Socket from, Socket to) {
		try (from; to) {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			byte[] step = new byte[this.bytesInStep];
			for (int read = in.read(step); read >= 0; read = in.read(step)) {
				out.write(step, 0, read);
				TimeUnit.MICROSECONDS.sleep(STEP_MILLIS * 1000L * read / this.bytesInStep);
			}
		}
		catch (IOException | InterruptedException ex) {
			// One side is gone.
		}
	}

	@Override
	public void close() throws IOException {
		this.listening.close();
	}

}
