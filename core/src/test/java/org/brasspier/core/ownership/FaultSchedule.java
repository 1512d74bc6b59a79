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
		this.cell.spreadRanges();
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
			injectFault();
			this.cell.run(this.random.nextInt(700));
		}
	}

	private long clockRate() {
		int driftPermille = (int) this.cell.setup.timing().driftPermille();
		return 1000 - driftPermille / 2 + this.random.nextInt(driftPermille + 1);
	}

	private long randomMillis(int max) {
		return 50 + this.random.nextInt(max);
	}

	private ModelProcess randomProcess() {
		List<ModelProcess> all = List.copyOf(this.cell.processes.values());
		return all.get(this.random.nextInt(all.size()));
	}

	private void injectFault() {
		if (this.cell.processes.size() < 2) {
			return;
		}
		ModelProcess process = randomProcess();
		switch (this.random.nextInt(11)) {
			case 0 -> restart(process, randomMillis(3000));
			case 1, 2 -> pause(process);
			case 3 -> breakLink(process.instance + ">" + randomProcess().instance, randomMillis(2500));
			case 4 -> {
				ModelProcess other = randomProcess();
				breakLink(process.instance + ">" + other.instance, randomMillis(2500));
				breakLink(other.instance + ">" + process.instance, randomMillis(2500));
			}
			case 5 -> breakLink(process.instance + ">store", randomMillis(4000));
			case 6 -> takeStoreDown();
			case 7 -> slowStoreDown();
			case 8 -> this.cell.answersToLose = 1 + this.random.nextInt(2);
			case 9 -> orderMove(process);
			default -> degradeNetwork();
		}
	}

	private void restart(ModelProcess process, long delay) {
		this.cell.kill(process);
		this.cell.after(delay, () -> start(process.instance.value()));
	}

	private void pause(ModelProcess process) {
		process.paused = true;
		this.cell.after(randomMillis(2500), () -> this.cell.resume(process));
	}

	private void breakLink(String link, long duration) {
		this.cell.brokenLinks.add(link);
		this.cell.after(duration, () -> this.cell.brokenLinks.remove(link));
	}

	private void takeStoreDown() {
		this.cell.storeDown = true;
		this.cell.after(randomMillis(4000), () -> this.cell.storeDown = false);
	}

	private void slowStoreDown() {
		this.cell.storeDelay = 2000;
		this.cell.after(randomMillis(4000), () -> this.cell.storeDelay = 3);
	}

	private void orderMove(ModelProcess process) {
		KeyRangeOrders.move(this.cell, this.random.nextInt(this.cell.setup.ranges()), process);
	}

	private void degradeNetwork() {
		this.cell.messagesLostPermille = 200;
		this.cell.messagesDuplicatedPermille = 300;
		this.cell.after(randomMillis(2500), () -> {
			this.cell.messagesLostPermille = 0;
			this.cell.messagesDuplicatedPermille = 0;
		});
	}

	/**
	 * Waits until ended processes have been restarted, then ends all other faults.
	 */
	void endFaults() {
		this.cell.run(5000);
		this.cell.brokenLinks.clear();
		this.cell.storeDown = false;
		this.cell.storeDelay = 3;
		this.cell.answersToLose = 0;
		List.copyOf(this.cell.processes.values())
			.stream()
			.filter((process) -> process.paused)
			.forEach(this.cell::resume);
	}

}
