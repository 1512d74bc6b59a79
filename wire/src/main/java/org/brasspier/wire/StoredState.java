package org.brasspier.wire;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

import io.vavr.control.Either;
import org.brasspier.core.ErrorKind;
import org.brasspier.core.Failure;

/**
 * The envelope of all data in the platform's table and object store: one header line with
 * the format version and the SHA-256 of the contents, then the contents. A damaged or
 * newer envelope is rejected with an error. It is never overwritten, since each write is
 * conditional on a version that was read successfully. Stateless and thread-safe.
 */
public final class StoredState {

	/** The newest format version that this build reads, and the one that it writes. */
	public static final int FORMAT = 1;

	private static final String MAGIC = "brasspier";

	private static final int MAX_HEADER_BYTES = 128;

	private StoredState() {
	}

	/**
	 * Wraps contents in an envelope.
	 * @param contents the contents
	 * @return the bytes to store
	 */
	public static byte[] wrap(byte[] contents) {
		byte[] line = "%s %d %s\n".formatted(MAGIC, FORMAT, checksum(contents)).getBytes(StandardCharsets.US_ASCII);
		byte[] stored = Arrays.copyOf(line, line.length + contents.length);
		System.arraycopy(contents, 0, stored, line.length, contents.length);
		return stored;
	}

	/**
	 * Checks an envelope and returns its contents.
	 * @param stored the stored bytes
	 * @return the contents, or why the envelope is rejected
	 */
	public static Either<Failure, byte[]> unwrap(byte[] stored) {
		int end = headerEnd(stored);
		String[] fields = new String(stored, 0, Math.max(end, 0), StandardCharsets.US_ASCII).split(" ");
		if (fields.length != 3 || !fields[0].equals(MAGIC) || !fields[1].matches("[0-9]{1,9}")) {
			return unreadable("it does not begin with a brasspier header line");
		}
		if (Integer.parseInt(fields[1]) > FORMAT) {
			return unreadable("its format %s is newer than %d".formatted(fields[1], FORMAT));
		}
		byte[] contents = Arrays.copyOfRange(stored, end + 1, stored.length);
		return (checksum(contents).equals(fields[2])) ? Either.right(contents)
				: unreadable("its checksum does not match");
	}

	/**
	 * Returns the checksum of contents, which is their name in the object store.
	 * @param contents the contents
	 * @return 64 hexadecimal digits
	 */
	public static String checksum(byte[] contents) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(contents));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("this JDK has no SHA-256", ex);
		}
	}

	private static int headerEnd(byte[] stored) {
		for (int i = 0; i < Math.min(stored.length, MAX_HEADER_BYTES); i++) {
			if (stored[i] == '\n') {
				return i;
			}
		}
		return -1;
	}

	private static Either<Failure, byte[]> unreadable(String why) {
		return Either.left(Failure.of(ErrorKind.STATE_UNREADABLE,
				"stored state refused: " + why + " (TROUBLESHOOTING.md#stored-state)"));
	}

}
