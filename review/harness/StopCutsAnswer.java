package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Case: a machine's daemon gets SIGTERM while a client on that machine slowly reads a large
 * answer. The daemon must deliver the whole answer before it ends.
 */
final class StopCutsAnswer {

	private static final int ANSWER_BYTES = 12 << 20;

	private static final int SLOW_BYTES_PER_SECOND = 1 << 20;

	/** When the SIGTERM comes, after the request. */
	private static final int STOP_AFTER_MILLIS = 400;

	/** How long the client reads slowly; then it reads as fast as it can. */
	private static final int SLOW_MILLIS = 3700;

	private static final int DEADLINE_MILLIS = 10_000;

	/** More than the time after which machines are in touch. */
	private static final int SETTLE_MILLIS = 3500;

	private final Record record;

	private StopCutsAnswer(Record record) {
		this.record = record;
	}

	private static byte[] work(Http.Message request) {
		byte[] body = new byte[request.target().startsWith("/packs/") ? ANSWER_BYTES : 2];
		Arrays.fill(body, (byte) 'y');
		return Backend.success(request, body);
	}

	// Returns whether the whole answer came.
	private boolean download(Machine machine, String id) {
		long start = System.nanoTime();
		long received = 0;
		try (Socket socket = new Socket()) {
			socket.setReceiveBufferSize(64 << 10);
			socket.connect(machine.outbound(), 1000);
			socket.setSoTimeout(DEADLINE_MILLIS);
			this.record.line("client   sends %s GET /packs/1, deadline %d ms", id, DEADLINE_MILLIS);
			socket.getOutputStream().write(Client.request("GET", "/packs/1", id, DEADLINE_MILLIS, new byte[0]));
			InputStream in = new BufferedInputStream(socket.getInputStream(), 16 << 10);
			String head = head(in);
			this.record.line("client   gets the head of %s: %s", id, head.lines().findFirst().orElse(""));
			byte[] piece = new byte[SLOW_BYTES_PER_SECOND / 20];
			while (received < ANSWER_BYTES) {
				int count = in.readNBytes(piece, 0, (int) Math.min(piece.length, ANSWER_BYTES - received));
				received += count;
				if (count == 0) {
					break;
				}
				if (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(SLOW_MILLIS)) {
					Thread.sleep(50);
				}
			}
		}
		catch (IOException ex) {
			this.record.line("client   %s: %s", id, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.record.line("client   got %d of %d bytes of the body of %s after %d ms", received, ANSWER_BYTES, id,
				TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
		return received == ANSWER_BYTES;
	}

	private static String head(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				throw new IOException("the connection was closed without an answer");
			}
			head.append((char) next);
		}
		return head.toString();
	}

	private boolean run(Machine machine, boolean trouble) throws Exception {
		try (ExecutorService clients = Executors.newCachedThreadPool()) {
			Callable<Boolean> download = () -> download(machine, "pack");
			Future<Boolean> whole = clients.submit(download);
			Thread.sleep(STOP_AFTER_MILLIS);
			if (trouble) {
				machine.signal("TERM");
			}
			this.record.line("result   the answer came whole: %s", whole.get());
			return whole.get();
		}
	}

	private static boolean play(Record record, Store store, Path temporary, boolean trouble) throws Exception {
		StopCutsAnswer test = new StopCutsAnswer(record);
		store.put("op", "config", Config.document(7, DEADLINE_MILLIS));
		try (Machine machine = new Machine("m1", "a", "plain", 1, temporary, store.address(), record)) {
			machine.start();
			try (Backend backend = new Backend(machine, false, (request, out) -> work(request), record)) {
				machine.awaitReady();
				Client.awaitServed(machine, "/plain/first");
				Thread.sleep(SETTLE_MILLIS);
				return test.run(machine, trouble);
			}
		}
	}

	public static void main(String[] arguments) {
		Case.main(arguments, StopCutsAnswer::play);
	}

}
