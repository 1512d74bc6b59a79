import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the time since the start. */
final class Log implements AutoCloseable {

	private final PrintWriter out;

	private final long startNanos = System.nanoTime();

	private final String part;

	Log(Path path) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(path), true);
		this.part = "";
	}

	private Log(PrintWriter out, String part) {
		this.out = out;
		this.part = part;
	}

	/** The part of the record that belongs to one of several deployments. */
	Log part(String name) {
		return new Log(this.out, name + "  ");
	}

	long millis() {
		return (System.nanoTime() - this.startNanos) / 1_000_000;
	}

	synchronized void line(String format, Object... values) {
		this.out.println("%7d ms  %s%s".formatted(millis(), this.part, format.formatted(values)));
	}

	/** Also to the terminal. */
	void say(String format, Object... values) {
		line(format, values);
		System.out.println(this.part + format.formatted(values));
	}

	@Override
	public void close() {
		this.out.close();
	}

}
