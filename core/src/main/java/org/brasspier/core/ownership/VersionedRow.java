package org.brasspier.core.ownership;

/**
 * The row at one version of the table. Immutable and thread-safe.
 *
 * @param version the version, 0 if the row does not exist yet
 * @param row the contents
 */
public record VersionedRow(long version, CellRow row) {

	/** No row has been read yet. */
	public static final VersionedRow NONE = new VersionedRow(0, CellRow.EMPTY);

}
