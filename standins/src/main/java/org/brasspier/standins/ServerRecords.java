package org.brasspier.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import org.brasspier.core.KeyHash;

/**
 * Reads the histories of backend servers. Stateless and thread-safe.
 */
final class ServerRecords {

	private static final Gson GSON = new Gson();

	private ServerRecords() {
	}

	static List<ServerRecord> read(List<Path> files) {
		return files.stream()
			.filter(Files::exists)
			.flatMap(ServerRecords::readFile)
			.sorted(Comparator.comparingLong(ServerRecord::atMicros))
			.toList();
	}

	private static Stream<ServerRecord> readFile(Path file) {
		try {
			return Files.readAllLines(file).stream().flatMap(ServerRecords::parse);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// A process that is killed while it writes leaves an incomplete line.
	private static Stream<ServerRecord> parse(String line) {
		try {
			return Stream.ofNullable(GSON.fromJson(line, ServerRecord.class));
		}
		catch (JsonParseException ex) {
			return Stream.empty();
		}
	}

	/**
	 * Returns the ranges that a server holds according to its grants.
	 * @param records the servers' records in the order of time
	 * @param server the server
	 * @param beforeMicros only grants before this time count
	 * @return the ranges of which no other server got a higher fence before that time
	 */
	static List<OwnedRange> ownedBy(List<ServerRecord> records, String server, long beforeMicros) {
		List<ServerRecord> grants = records.stream()
			.filter((line) -> line.kind() == ServerRecord.Kind.GRANTED && line.atMicros() < beforeMicros)
			.toList();
		return grants.stream()
			.filter((line) -> line.server().equals(server))
			.map((line) -> new OwnedRange(line.service(), line.keyRange(), line.server(), line.fence()))
			.distinct()
			.filter((owned) -> grants.stream().noneMatch((line) -> supersedes(line, owned)))
			.toList();
	}

	private static boolean supersedes(ServerRecord line, OwnedRange owned) {
		return line.service().equals(owned.service()) && line.fence() > owned.fence()
				&& line.keyRange().low() < owned.range().high() && owned.range().low() < line.keyRange().high();
	}

	/**
	 * The latest grant of a key's range.
	 * @param records the servers' records
	 * @param service the service
	 * @param point the key's point
	 * @return the grant with the highest fence, empty if the key was never granted
	 */
	static Optional<ServerRecord> latestGrant(List<ServerRecord> records, String service, KeyHash point) {
		return records.stream()
			.filter((line) -> line.kind() == ServerRecord.Kind.GRANTED && line.service().equals(service))
			.filter((line) -> line.keyRange().contains(point))
			.max(Comparator.comparingLong(ServerRecord::fence));
	}

}
