package org.brasspier.core.ownership;

import java.util.List;
import java.util.Random;

/**
 * Faults of every kind in an order determined by a seed, two or three at once.
 */
final class FaultSchedule {

	private static final List<String> NAMES = List.of("a", "b", "c", "d");

	private final CellModel cell;

	private final Random random;

	FaultSchedule(CellModel cell, long seed) {
		this.cell = cell;
		this.random = new Random(seed);
	}

	/**
	 * Starts the cell; the clocks of its processes run at different rates.
	 */
	void start() {
		NAMES.forEach(this::start);
		this.cell.run(3000);
		this.cell.spread();
	}

	private void start(String name) {
		this.cell.start(name, "domain-" + name, clockRate());
	}

	/**
	 * Injects faults for a time.
	 * @param millis how long, in milliseconds
	 */
	void run(long millis) {
		long end = this.cell.now + millis;
		while (this.cell.now < end && this.cell.violations.isEmpty()) {
			fault();
			this.cell.run(this.random.nextInt(700));
		}
	}

	private long clockRate() {
		int spread = (int) this.cell.setup.timing().driftPermille();
		return 1000 - spread / 2 + this.random.nextInt(spread + 1);
	}

	private long span(int most) {
		return 50 + this.random.nextInt(most);
	}

	private ModelProcess any() {
		List<ModelProcess> all = List.copyOf(this.cell.processes.values());
		return all.get(this.random.nextInt(all.size()));
	}

	private void fault() {
		if (this.cell.processes.size() < 2) {
			return;
		}
		ModelProcess process = any();
		switch (this.random.nextInt(11)) {
			case 0 -> restart(process, span(3000));
			case 1, 2 -> pause(process);
			case 3 -> cut(process.instance + ">" + any().instance, span(2500));
			case 4 -> {
				ModelProcess other = any();
				cut(process.instance + ">" + other.instance, span(2500));
				cut(other.instance + ">" + process.instance, span(2500));
			}
			case 5 -> cut(process.instance + ">store", span(4000));
			case 6 -> storeDown();
			case 7 -> storeSlow();
			case 8 -> this.cell.answersToLose = 1 + this.random.nextInt(2);
			case 9 -> order(process);
			default -> badNetwork();
		}
	}

	private void restart(ModelProcess process, long later) {
		this.cell.kill(process);
		this.cell.after(later, () -> start(process.instance.value()));
	}

	private void pause(ModelProcess process) {
		process.paused = true;
		this.cell.after(span(2500), () -> this.cell.resume(process));
	}

	private void cut(String link, long time) {
		this.cell.cuts.add(link);
		this.cell.after(time, () -> this.cell.cuts.remove(link));
	}

	private void storeDown() {
		this.cell.storeDown = true;
		this.cell.after(span(4000), () -> this.cell.storeDown = false);
	}

	private void storeSlow() {
		this.cell.storeDelay = 2000;
		this.cell.after(span(4000), () -> this.cell.storeDelay = 3);
	}

	private void order(ModelProcess process) {
		KeyRangeOrders.move(this.cell, this.random.nextInt(this.cell.setup.ranges()), process);
	}

	private void badNetwork() {
		this.cell.messagesLostPermille = 200;
		this.cell.messagesDoubledPermille = 300;
		this.cell.after(span(2500), () -> {
			this.cell.messagesLostPermille = 0;
			this.cell.messagesDoubledPermille = 0;
		});
	}

	/**
	 * Ends all faults and starts the missing processes.
	 */
	void heal() {
		this.cell.run(5000);
		this.cell.cuts.clear();
		this.cell.storeDown = false;
		this.cell.storeDelay = 3;
		this.cell.answersToLose = 0;
		List.copyOf(this.cell.processes.values())
			.stream()
			.filter((process) -> process.paused)
			.forEach(this.cell::resume);
	}

}
