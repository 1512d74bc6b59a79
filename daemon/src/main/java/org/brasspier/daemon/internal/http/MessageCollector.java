package org.brasspier.daemon.internal.http;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

import org.brasspier.core.request.HeaderField;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;

/**
 * Collects messages one by one from the events of a parser. Not thread-safe; confined to
 * the thread of its connection.
 */
abstract class MessageCollector implements HttpParser.HttpHandler {

	private static final int FIRST_BODY_BYTES = 256;

	private final int maxBodyBytes;

	private final BodyBudget budget;

	private final List<HeaderField> headers = new ArrayList<>();

	private byte[] body = new byte[0];

	private int bodySize;

	private long statedBytes;

	private BodyBudget.Reservation reservation;

	private boolean waitsForMemory;

	private boolean outOfMemory;

	private boolean whole;

	private boolean headComplete;

	private boolean tooLarge;

	private Optional<HttpException> fault = Optional.empty();

	MessageCollector(int maxBodyBytes, BodyBudget budget) {
		this.maxBodyBytes = maxBodyBytes;
		this.budget = budget;
		this.reservation = budget.open();
	}

	void startOver() {
		this.headers.clear();
		this.reservation.release();
		this.reservation = this.budget.open();
		this.body = new byte[0];
		this.bodySize = 0;
		this.statedBytes = 0;
		this.whole = false;
		this.headComplete = false;
	}

	boolean whole() {
		return this.whole;
	}

	boolean headComplete() {
		return this.headComplete;
	}

	boolean tooLarge() {
		return this.tooLarge;
	}

	// Whether the body would fit if other bodies did not take up the memory.
	boolean outOfMemory() {
		return this.outOfMemory;
	}

	// Returns the reservation of the body, which its taker has to release.
	BodyBudget.Reservation takeReservation() {
		BodyBudget.Reservation taken = this.reservation;
		this.reservation = this.budget.open();
		return taken;
	}

	void release() {
		this.reservation.release();
		endWait();
	}

	// Bodies behind this one may find room.
	private void endWait() {
		if (this.waitsForMemory) {
			this.waitsForMemory = false;
			this.budget.resumeWaitingLater();
		}
	}

	// Reserves the memory for the whole body as soon as its length is known, so that it
	// can wait for the memory before it is received.
	void reserveStatedLength() {
		this.tooLarge |= this.statedBytes > largestBody();
		this.waitsForMemory = !this.tooLarge && !this.reservation.growTo(this.statedBytes);
	}

	void awaitMemory(BooleanSupplier tryResume) {
		this.budget.await(tryResume);
	}

	// Whether the body must not be received until its memory is reserved.
	boolean waitsForMemory() {
		return this.waitsForMemory;
	}

	void stopWaiting() {
		endWait();
		this.budget.recordRefused();
	}

	long largestBody() {
		return Math.min(this.maxBodyBytes, this.budget.largestBody());
	}

	private boolean hasRoomFor(long size) {
		this.tooLarge |= size > largestBody();
		this.outOfMemory |= !this.tooLarge && !this.reservation.growTo(size);
		if (this.outOfMemory) {
			this.budget.recordRefused();
		}
		return !this.tooLarge && !this.outOfMemory;
	}

	Optional<HttpException> fault() {
		return this.fault;
	}

	List<HeaderField> headers() {
		return List.copyOf(this.headers);
	}

	int bodySize() {
		return this.bodySize;
	}

	byte[] bodyBytes() {
		return (this.bodySize == this.body.length) ? this.body : Arrays.copyOf(this.body, this.bodySize);
	}

	boolean saysClose() {
		return hasField("Connection", (value) -> value.toLowerCase(Locale.ROOT).contains("close"));
	}

	boolean hasField(String name, Predicate<String> value) {
		for (HeaderField field : this.headers) {
			if (field.name().equalsIgnoreCase(name) && value.test(field.value())) {
				return true;
			}
		}
		return false;
	}

	@Override
	public void parsedHeader(HttpField field) {
		String value = field.getValue();
		this.headers.add(new HeaderField(field.getName(), (value != null) ? value : ""));
		if (field.getHeader() == HttpHeader.CONTENT_LENGTH) {
			this.statedBytes = field.getLongValue();
		}
	}

	@Override
	public boolean headerComplete() {
		this.headComplete = true;
		return false;
	}

	@Override
	public boolean content(ByteBuffer item) {
		int added = item.remaining();
		long size = (long) this.bodySize + added;
		if (!hasRoomFor(size)) {
			item.position(item.limit());
			return true;
		}
		if (size > this.body.length) {
			this.body = Arrays.copyOf(this.body, capacity((int) size));
		}
		item.get(this.body, this.bodySize, added);
		this.bodySize = (int) size;
		return false;
	}

	// A body of known length gets its array at once if all of it is reserved.
	private int capacity(int size) {
		if (this.statedBytes >= size && this.reservation.bytes() >= this.statedBytes) {
			return (int) this.statedBytes;
		}
		long doubled = Math.max(FIRST_BODY_BYTES, 2L * size);
		return (int) Math.max(size, Math.min(doubled, this.budget.largestBody()));
	}

	@Override
	public boolean contentComplete() {
		return false;
	}

	// Returns true to stop the parser, so that the bytes that follow are parsed as a
	// message of their own.
	@Override
	public boolean messageComplete() {
		this.whole = true;
		return true;
	}

	@Override
	public void earlyEOF() {
		// The connection finds the message incomplete.
	}

	@Override
	public void badMessage(HttpException failure) {
		this.fault = Optional.of(failure);
	}

}
