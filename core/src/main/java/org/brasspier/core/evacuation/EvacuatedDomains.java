package org.brasspier.core.evacuation;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.brasspier.core.FailureDomain;

/**
 * The failure domains whose evacuation operators have requested. Requests and their
 * withdrawals come from the store and from other daemons, late, repeated and in any
 * order; the version of the store decides which one is the latest. Not thread-safe.
 */
public final class EvacuatedDomains {

	private static final long NEVER_READ = -1;

	private final Map<FailureDomain, DomainState> domains = new HashMap<>();

	private final Set<FailureDomain> requestedWhileKnown = new HashSet<>();

	// Version as of which a domain without a state is known not to be evacuated.
	private long readVersion = NEVER_READ;

	private long latestChange;

	/**
	 * Applies the state of one domain.
	 * @param state the state
	 * @return whether the domain is evacuated now and was not before, or the reverse
	 */
	public boolean apply(DomainState state) {
		DomainState before = this.domains.get(state.domain());
		if (before != null && before.version() >= state.version()) {
			return false;
		}
		boolean changed = state.evacuated() != isEvacuated(state.domain());
		if (changed) {
			this.latestChange = Math.max(this.latestChange, state.version());
			if (isKnown(state.domain())) {
				this.requestedWhileKnown.add(state.domain());
			}
		}
		this.domains.put(state.domain(), state);
		return changed;
	}

	/**
	 * Applies a read of all requests. Domains without a request at that moment are not
	 * evacuated, unless a later request is known.
	 * @param evacuated the states of the domains whose evacuation is requested
	 * @param version the version of the store as of which the read is complete
	 * @return whether the set of evacuated domains has changed
	 */
	public boolean applyAll(Collection<DomainState> evacuated, long version) {
		Set<FailureDomain> present = new HashSet<>(evacuated.stream().map(DomainState::domain).toList());
		List<DomainState> withdrawn = this.domains.values()
			.stream()
			.filter((state) -> state.evacuated() && !present.contains(state.domain()))
			.map((state) -> new DomainState(state.domain(), false, version))
			.toList();
		boolean changed = false;
		for (DomainState state : withdrawn) {
			changed |= apply(state);
		}
		for (DomainState state : evacuated) {
			changed |= apply(state);
		}
		this.readVersion = Math.max(this.readVersion, version);
		return changed;
	}

	/**
	 * Returns whether nothing new may be sent to the servers of a domain.
	 * @param domain the domain
	 * @return true if its evacuation is requested
	 */
	public boolean isEvacuated(FailureDomain domain) {
		DomainState state = this.domains.get(domain);
		return state != null && state.evacuated();
	}

	/**
	 * Returns whether it is known if a domain is evacuated.
	 * @param domain the domain
	 * @return false if neither the store nor another daemon has told its state
	 */
	public boolean isKnown(FailureDomain domain) {
		return this.readVersion != NEVER_READ || this.domains.containsKey(domain);
	}

	/**
	 * Returns whether a domain was known not to be evacuated when the request to evacuate
	 * it arrived. Otherwise the request may be old.
	 * @param domain an evacuated domain
	 * @return false if the request was the first that was known of the domain
	 */
	public boolean requestIsRecent(FailureDomain domain) {
		return this.requestedWhileKnown.contains(domain);
	}

	/**
	 * Returns the evacuated domains.
	 * @return an unmodifiable copy, in the order of their names
	 */
	public List<FailureDomain> evacuated() {
		return this.domains.values()
			.stream()
			.filter(DomainState::evacuated)
			.map(DomainState::domain)
			.sorted(Comparator.naturalOrder())
			.toList();
	}

	/**
	 * Returns the version of the latest change of the set of evacuated domains.
	 * @return 0 if there was none
	 */
	public long latestChange() {
		return this.latestChange;
	}

	/**
	 * Returns the states that another daemon may not know. Contains a state for each of
	 * the given domains that was read as not evacuated, so that the receiver knows that
	 * as well.
	 * @param version the version up to which the other daemon knows all changes
	 * @param known the known failure domains
	 * @return the states with a higher version
	 */
	public List<DomainState> statesAfter(long version, Collection<FailureDomain> known) {
		Map<FailureDomain, DomainState> states = new HashMap<>();
		if (this.readVersion != NEVER_READ) {
			known.forEach((domain) -> states.put(domain, new DomainState(domain, false, this.readVersion)));
		}
		states.putAll(this.domains);
		return states.values()
			.stream()
			.filter((state) -> state.version() > version)
			.sorted(Comparator.comparing(DomainState::domain))
			.toList();
	}

}
