import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the time since the start. */
final class Log implements AutoCloseable {

	private final PrintWriter out;

	private final long startNanos = System.nanoTime();

	Log(Path path) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(path), true);
	}

	long millis() {
		return (System.nanoTime() - this.startNanos) / 1_000_000;
	}

	synchronized void line(String format, Object... values) {
		this.out.println("%7d ms  %s".formatted(millis(), format.formatted(values)));
	}

	/** Also to the terminal. */
	void say(String format, Object... values) {
		line(format, values);
		System.out.println(format.formatted(values));
	}

	@Override
	public void close() {
		this.out.close();
	}

}
