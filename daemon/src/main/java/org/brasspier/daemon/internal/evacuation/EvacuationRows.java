package org.brasspier.daemon.internal.evacuation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.evacuation.DomainState;
import org.brasspier.core.evacuation.EvacuatedDomains;
import org.brasspier.daemon.mesh.ConfigSource;
import org.brasspier.daemon.mesh.MetadataStore;

/**
 * The operators' requests to evacuate failure domains, read from the store or received
 * from other daemons. Not thread-safe; confined to the request thread.
 */
public final class EvacuationRows {

	private static final byte[] REQUESTED = {};

	private final ConfigSource source;

	private final EvacuatedDomains domains = new EvacuatedDomains();

	private final List<Runnable> listeners = new ArrayList<>();

	/**
	 * Creates an instance that knows no rows.
	 * @param source locates the requests in the store
	 */
	public EvacuationRows(ConfigSource source) {
		this.source = source;
	}

	/**
	 * Registers a listener that is called after each change of the set of evacuated
	 * domains.
	 * @param listener the listener
	 */
	public void addListener(Runnable listener) {
		this.listeners.add(listener);
	}

	/**
	 * Applies rows of the operators' table; rows of other kinds are ignored.
	 * @param rows the rows
	 * @param wholeTable whether these are all rows of the table
	 */
	public void apply(MetadataStore.Rows rows, boolean wholeTable) {
		List<DomainState> states = rows.rows().stream().flatMap((row) -> state(row).stream()).toList();
		boolean changed = false;
		if (wholeTable) {
			changed = this.domains.applyAll(states, rows.version());
		}
		else {
			for (DomainState state : states) {
				changed |= this.domains.apply(state);
			}
		}
		if (changed) {
			this.listeners.forEach(Runnable::run);
		}
	}

	private Optional<DomainState> state(MetadataStore.Row row) {
		return this.source.evacuatedDomain(row.key())
			.map((domain) -> new DomainState(domain, row.value().isPresent(), row.version()));
	}

	/**
	 * Returns the rows that another daemon may not know, also those that say that a
	 * domain is not evacuated.
	 * @param version the version up to which the other daemon knows all changes
	 * @param known the known failure domains
	 * @return the rows
	 */
	public List<MetadataStore.Row> rowsAfter(long version, Collection<FailureDomain> known) {
		return this.domains.statesAfter(version, known)
			.stream()
			.map((state) -> new MetadataStore.Row(this.source.evacuationKey(state.domain()),
					state.evacuated() ? Optional.of(REQUESTED) : Optional.empty(), state.version()))
			.toList();
	}

	/**
	 * Returns the version of the latest change of the set of evacuated domains.
	 * @return 0 if there was none
	 */
	public long latestChange() {
		return this.domains.latestChange();
	}

	/**
	 * Returns whether nothing new may be sent to the servers of a domain.
	 * @param domain the domain
	 * @return true if its evacuation is requested
	 */
	public boolean isEvacuated(FailureDomain domain) {
		return this.domains.isEvacuated(domain);
	}

	/**
	 * Returns whether it is known if a domain is evacuated.
	 * @param domain the domain
	 * @return false until the store or another daemon has told
	 */
	public boolean isKnown(FailureDomain domain) {
		return this.domains.isKnown(domain);
	}

	/**
	 * Returns whether a domain was known not to be evacuated when the request to evacuate
	 * it arrived.
	 * @param domain an evacuated domain
	 * @return false if the request may be old
	 */
	public boolean requestIsRecent(FailureDomain domain) {
		return this.domains.requestIsRecent(domain);
	}

	/**
	 * Returns the evacuated domains.
	 * @return the domains, in the order of their names
	 */
	public List<FailureDomain> evacuated() {
		return this.domains.evacuated();
	}

}
