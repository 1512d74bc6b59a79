package org.brasspier.core.keys;

import java.util.Optional;

import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * Assignment of a span of keys to a holder. Immutable and thread-safe.
 *
 * @param span the keys
 * @param holder the instance whose backend server holds the keys
 * @param incarnation the incarnation of that backend server
 * @param fence the fence under which the keys are held; increases with each change of
 * holder
 * @param handover state token that the previous holder handed over at its release, so
 * that the new holder starts with a warm cache; empty if there is none
 * @param nextHolder the instance that takes the keys over next; empty if no move is
 * planned
 */
public record KeyHolding(KeySpan span, InstanceId holder, BackendIncarnation incarnation, Fence fence, String handover,
		Optional<InstanceId> nextHolder) {

	KeyHolding withNextHolder(InstanceId newNextHolder) {
		return new KeyHolding(this.span, this.holder, this.incarnation, this.fence, this.handover,
				Optional.of(newNextHolder));
	}

	KeyHolding withSpan(KeySpan newSpan) {
		return new KeyHolding(newSpan, this.holder, this.incarnation, this.fence, this.handover, this.nextHolder);
	}

	boolean canMergeWith(KeyHolding other) {
		return this.withSpan(other.span).equals(other) && this.nextHolder.isEmpty();
	}

	KeyHolding withoutNextHolder() {
		return new KeyHolding(this.span, this.holder, this.incarnation, this.fence, this.handover, Optional.empty());
	}

	// Written by hand: the generated methods use method handles, which take milliseconds
	// to set up in a process that has just started.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof KeyHolding that && this.span.equals(that.span) && this.holder.equals(that.holder)
				&& this.incarnation.equals(that.incarnation) && this.fence.equals(that.fence)
				&& this.handover.equals(that.handover) && this.nextHolder.equals(that.nextHolder);
	}

	@Override
	public int hashCode() {
		return 31 * (31 * this.span.hashCode() + this.holder.hashCode()) + this.fence.hashCode();
	}

}
