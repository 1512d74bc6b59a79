package review;

import java.nio.file.Path;

/** The frame of a case: its record, its store, and its exit status. */
final class Case {

	private static final int HELD = 0;

	private static final int BROKEN = 1;

	private static final int NOT_RUN = 2;

	private Case() {
	}

	/** Plays a case. */
	interface Play {

		/**
		 * Plays the case.
		 * @param record what is sent, answered and run
		 * @param store the platform's store
		 * @param temporary a temporary folder
		 * @param trouble whether the disruption happens
		 * @return whether the rule held
		 */
		boolean held(Record record, Store store, Path temporary, boolean trouble) throws Exception;

	}

	/**
	 * Plays a case and ends this process with its result.
	 * @param arguments the folder of the record, and a temporary folder
	 * @param play plays the case
	 */
	static void main(String[] arguments, Play play) {
		int status = NOT_RUN;
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		try (Record record = new Record(Path.of(arguments[0]).resolve("record.txt")); Store store = new Store(record)) {
			status = play.held(record, store, Path.of(arguments[1]), trouble) ? HELD : BROKEN;
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

}
