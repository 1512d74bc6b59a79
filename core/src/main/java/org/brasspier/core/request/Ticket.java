package org.brasspier.core.request;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.dynatrace.hash4j.hashing.Hashing;
import org.brasspier.core.Fence;
import org.brasspier.core.ServiceName;

/**
 * Binds a posting to the one owner process that may run it: it runs only where the
 * issuer, the service and the fence of its key's range equal those of its ticket, so two
 * owners never both run it. It is bound to the fence and not to the range because a split
 * changes the range of a key but neither its owner nor its fence. Immutable and
 * thread-safe.
 *
 * @param service the service that it is valid for
 * @param fence the fence under which it was issued
 * @param issuer a random number of the owner's process, needed because one write may
 * grant ranges to several instances under the same fence, and their clocks and ledgers
 * differ
 * @param issuedAtMillis when it was issued, in milliseconds of the issuer's monotonic
 * clock
 */
public record Ticket(ServiceName service, Fence fence, long issuer, long issuedAtMillis) {

	private static final String FORMAT = "1";

	private static final Pattern TEXT = Pattern
		.compile("(1~([A-Za-z0-9._-]{1,64})~([0-9a-f]{1,16})~([0-9a-f]{1,16})~([0-9a-f]{1,16}))~([0-9a-f]{8})");

	/**
	 * Validates the fence.
	 * @throws IllegalArgumentException if the fence is {@link Fence#NONE}
	 */
	public Ticket {
		if (fence.equals(Fence.NONE)) {
			throw new IllegalArgumentException("a ticket must have the fence under which it was issued, not 0");
		}
	}

	/**
	 * Returns whether a posting with this ticket certainly does not run, wherever it is
	 * sent, because no owner of its key holds a fence as old as the ticket's any more.
	 * @param present a fence that the key's range is known to have had before the posting
	 * was sent
	 * @return false if an owner may admit it
	 */
	public boolean isStaleUnder(Fence present) {
		return this.fence.isOlderThan(present);
	}

	/**
	 * Encodes the ticket for callers, with a checksum so that a corrupted one is
	 * rejected.
	 * @return visible ASCII characters
	 */
	public String text() {
		String fields = String.join("~", FORMAT, this.service.value(), Long.toHexString(this.fence.value()),
				Long.toHexString(this.issuer), Long.toHexString(this.issuedAtMillis));
		return fields + "~" + checksum(fields);
	}

	/**
	 * Decodes the text that a caller sent.
	 * @param text the text
	 * @return empty if it is malformed or corrupted
	 */
	public static Optional<Ticket> parse(String text) {
		Matcher matcher = TEXT.matcher(text);
		if (!matcher.matches() || !checksum(matcher.group(1)).equals(matcher.group(6))) {
			return Optional.empty();
		}
		long fence = Long.parseUnsignedLong(matcher.group(3), 16);
		if (fence <= 0) {
			return Optional.empty();
		}
		return Optional.of(new Ticket(new ServiceName(matcher.group(2)), new Fence(fence),
				Long.parseUnsignedLong(matcher.group(4), 16), Long.parseUnsignedLong(matcher.group(5), 16)));
	}

	private static String checksum(String fields) {
		return "%08x".formatted((int) Hashing.komihash5_0().hashCharsToLong(fields));
	}

}
