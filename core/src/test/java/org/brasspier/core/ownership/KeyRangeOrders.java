package org.brasspier.core.ownership;

import org.brasspier.core.KeyRange;

/**
 * Operators' orders in the model.
 */
final class KeyRangeOrders {

	private KeyRangeOrders() {
	}

	static void move(CellModel cell, int range, ModelProcess to) {
		KeyRange points = KeyRange.split(cell.setup.ranges()).get(range);
		ControlMessage.Order order = new ControlMessage.Order.Move(ModelProcess.SERVICE, points, to.instance);
		cell.processes.values()
			.stream()
			.findFirst()
			.ifPresent(
					(process) -> cell.step(process, (p) -> cell.run(p, p.machine.order(1, order, p.clock(cell.now)))));
	}

}
