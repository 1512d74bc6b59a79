package org.brasspier.cli.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import org.brasspier.wire.operator.CellAnswer;
import org.brasspier.wire.operator.ErrorAnswer;
import org.brasspier.wire.operator.StatusAnswer;

/**
 * Shows the state of the cell: services, failure domains, instances, leases, owners and
 * queues.
 */
@Parameters(commandDescription = "show services, failure domains, instances, leases, owners and queues")
final class StatusCommand implements Command {

	@Parameter(names = "--ranges", description = "list each range with its owner")
	private boolean ranges;

	@Override
	public Either<ErrorAnswer, Report> run(Session session) {
		return session.client().get("/v1/cell", CellAnswer.class).map((cell) -> {
			Map<String, StatusAnswer> statuses = fetchStatuses(session, cell);
			return new Report(new StatusMessage(cell, statuses), formatStatus(cell, statuses));
		});
	}

	private static Map<String, StatusAnswer> fetchStatuses(Session session, CellAnswer cell) {
		Map<String, StatusAnswer> statuses = new TreeMap<>();
		cell.members()
			.forEach((member) -> session.client()
				.get(member.operators(), "/v1/status", StatusAnswer.class)
				.peek((status) -> statuses.put(member.instance(), status)));
		return statuses;
	}

	private List<String> formatStatus(CellAnswer cell, Map<String, StatusAnswer> statuses) {
		List<String> lines = new ArrayList<>();
		lines.add("cell %s, row version %d, epoch %d, primary %s, secondary %s".formatted(cell.cell(), cell.version(),
				cell.epoch(), nameOrNone(cell.primary()), nameOrNone(cell.secondary())));
		lines.add("");
		lines.addAll(instanceTable(cell, statuses));
		lines.add("");
		lines.addAll(queueTable(cell, statuses));
		lines.add("");
		lines.addAll(serviceTable(cell));
		cell.moves()
			.forEach((move) -> lines.add("moving %s %s to %s%s".formatted(move.service(), move.range(), move.to(),
					(move.released()) ? ", released" : "")));
		if (this.ranges) {
			lines.add("");
			Table table = new Table("SERVICE", "RANGE", "OWNER", "FENCE");
			cell.ranges()
				.forEach((range) -> table.addRow(range.service(), range.range(), nameOrNone(range.owner()),
						range.fence()));
			lines.addAll(table.lines());
		}
		return lines;
	}

	private static List<String> instanceTable(CellAnswer cell, Map<String, StatusAnswer> statuses) {
		Table table = new Table("INSTANCE", "FAILURE DOMAIN", "SERVICE", "PHASE", "SLOTS", "FENCES", "LEASE MS",
				"RANGES", "DOCUMENT");
		for (CellAnswer.Member member : cell.members()) {
			StatusAnswer status = statuses.get(member.instance());
			table.addRow(member.instance(), member.failureDomain(), nameOrNone(member.service()), member.phase(),
					member.slots(), (member.checksFences()) ? "checked" : "unchecked",
					(status != null) ? status.leaseMillisLeft() : "no answer",
					(status != null) ? status.rangesHeld() : "?", (status != null) ? status.documentVersion() : "?");
		}
		return table.lines();
	}

	private static List<String> queueTable(CellAnswer cell, Map<String, StatusAnswer> statuses) {
		Table table = new Table("INSTANCE", "SLOTS", "RUNNING", "WAITING", "BY CLASS (RUNNING+WAITING)");
		for (CellAnswer.Member member : cell.members()) {
			List<StatusAnswer.ClassLoad> classLoads = Optional.ofNullable(statuses.get(member.instance()))
				.map(StatusAnswer::classes)
				.orElse(List.of());
			table.addRow(member.instance(), member.slots(), sumOrUnknown(classLoads, StatusAnswer.ClassLoad::running),
					sumOrUnknown(classLoads, StatusAnswer.ClassLoad::waiting),
					classLoads.stream()
						.map((load) -> "%s %d+%d".formatted(load.requestClass(), load.running(), load.waiting()))
						.collect(Collectors.joining(", ")));
		}
		return table.lines();
	}

	private static String sumOrUnknown(List<StatusAnswer.ClassLoad> classLoads,
			ToIntFunction<StatusAnswer.ClassLoad> counter) {
		return (classLoads.isEmpty()) ? "?" : Integer.toString(classLoads.stream().mapToInt(counter).sum());
	}

	private static List<String> serviceTable(CellAnswer cell) {
		Table table = new Table("SERVICE", "RANGES", "WITHOUT OWNER", "OWNERS");
		cell.ranges()
			.stream()
			.collect(Collectors.groupingBy(CellAnswer.Range::service, TreeMap::new, Collectors.toList()))
			.forEach((service, serviceRanges) -> table.addRow(service, serviceRanges.size(),
					serviceRanges.stream().filter((range) -> range.owner().isEmpty()).count(),
					serviceRanges.stream()
						.map(CellAnswer.Range::owner)
						.filter((owner) -> !owner.isEmpty())
						.distinct()
						.count()));
		return table.lines();
	}

	private static String nameOrNone(String text) {
		return (text.isEmpty()) ? "(none)" : text;
	}

	/**
	 * JSON output: the status.
	 *
	 * @param cell state of the cell
	 * @param daemons status of each daemon that answered, by instance
	 */
	private record StatusMessage(CellAnswer cell, Map<String, StatusAnswer> daemons) {

	}

}
