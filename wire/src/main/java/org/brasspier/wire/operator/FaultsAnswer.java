package org.brasspier.wire.operator;

import java.util.List;

import org.brasspier.core.document.Fault;

/**
 * The faults that prevent a document from taking effect. Immutable and thread-safe.
 *
 * @param faults all faults, empty if the document is valid
 */
public record FaultsAnswer(List<Fault> faults) {

	/**
	 * Checks the fields and copies collections.
	 */
	public FaultsAnswer {
		faults = List.copyOf(OperatorJson.present(faults, "faults"));
	}

}
