package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, with the time since the start. Thread-safe. */
final class Record implements AutoCloseable {

	private final long start = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	synchronized void line(String format, Object... values) {
		String text = String.format(Locale.ROOT, "%8.3f %s", (System.nanoTime() - this.start) / 1e9,
				String.format(Locale.ROOT, format, values));
		this.out.println(text);
		this.out.flush();
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
