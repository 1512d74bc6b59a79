package org.brasspier.wire.operator;

import java.util.List;

import org.brasspier.core.document.Fault;

/**
 * What keeps a document from taking effect. Immutable and thread-safe.
 *
 * @param faults all faults, empty if it may take effect
 */
public record FaultsAnswer(List<Fault> faults) {

	/**
	 * Checks and copies.
	 */
	public FaultsAnswer {
		faults = List.copyOf(OperatorJson.present(faults, "faults"));
	}

}
