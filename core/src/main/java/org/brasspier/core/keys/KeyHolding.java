package org.brasspier.core.keys;

import java.util.Optional;

import org.brasspier.core.Fence;
import org.brasspier.core.InstanceId;

/**
 * Who holds a span of keys. Immutable and thread-safe.
 *
 * @param span the keys
 * @param owner the instance whose backend server holds them
 * @param life the life of that backend server
 * @param fence the fence under which it holds them; each change of holder has a higher
 * one
 * @param handover what the previous holder handed over on letting go, so that the keys
 * are warm; empty if it didn't
 * @param next the instance that is to have them next; empty if they stay
 */
public record KeyHolding(KeySpan span, InstanceId owner, BackendLife life, Fence fence, String handover,
		Optional<InstanceId> next) {

	KeyHolding wanted(InstanceId wantedOwner) {
		return new KeyHolding(this.span, this.owner, this.life, this.fence, this.handover, Optional.of(wantedOwner));
	}

	KeyHolding part(KeySpan part) {
		return new KeyHolding(part, this.owner, this.life, this.fence, this.handover, this.next);
	}

	boolean joins(KeyHolding other) {
		return this.part(other.span).equals(other) && this.next.isEmpty();
	}

	KeyHolding staying() {
		return new KeyHolding(this.span, this.owner, this.life, this.fence, this.handover, Optional.empty());
	}

}
