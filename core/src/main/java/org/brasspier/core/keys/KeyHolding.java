package org.brasspier.core.keys;

import java.util.Optional;

import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;

/**
 * Who holds a span of keys. Immutable and thread-safe.
 *
 * @param span the keys
 * @param holder the instance whose backend server holds them
 * @param incarnation the life of that backend server
 * @param fence the fence under which it holds them; each change of holder has a higher
 * one
 * @param handover what the previous holder handed over on letting go, so that the keys
 * are warm; empty if it didn't
 * @param nextHolder the instance that is to have them next; empty if they stay
 */
public record KeyHolding(KeySpan span, InstanceId holder, BackendIncarnation incarnation, Fence fence, String handover,
		Optional<InstanceId> nextHolder) {

	KeyHolding withNextHolder(InstanceId wantedOwner) {
		return new KeyHolding(this.span, this.holder, this.incarnation, this.fence, this.handover,
				Optional.of(wantedOwner));
	}

	KeyHolding withSpan(KeySpan part) {
		return new KeyHolding(part, this.holder, this.incarnation, this.fence, this.handover, this.nextHolder);
	}

	boolean canMergeWith(KeyHolding other) {
		return this.withSpan(other.span).equals(other) && this.nextHolder.isEmpty();
	}

	KeyHolding withoutNextHolder() {
		return new KeyHolding(this.span, this.holder, this.incarnation, this.fence, this.handover, Optional.empty());
	}

}
