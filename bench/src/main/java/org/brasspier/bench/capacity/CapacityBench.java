package org.brasspier.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.google.gson.GsonBuilder;

/**
 * Measures all slopes, extrapolates them to the target size, and writes JSON, tables and
 * plots.
 */
public final class CapacityBench {

	private CapacityBench() {
	}

	/**
	 * Runs the measurement.
	 * @param output the directory for the JSON file
	 * @param page the Markdown page whose generated sections are replaced
	 * @throws IOException if a file can't be written
	 */
	public static void run(Path output, Path page) throws IOException {
		List<Slope> slopes = new ArrayList<>();
		for (SlopeSuite suite : List.of(new CellSlopes(), new RouteSlopes(), new FrameSlopes(), new DocumentSlopes(),
				new EventSlopes())) {
			slopes.addAll(suite.measure());
		}
		System.out.print(CellSlopes.primaryTrafficByMessageType());
		Files.createDirectories(output);
		Files.writeString(output.resolve("capacity.json"),
				new GsonBuilder().setPrettyPrinting().create().toJson(slopes));
		new CapacityPage(page).write(slopes,
				CapacityRequirement.calculate(new MeasuredSlopes(slopes), TargetSize.IN_TWO_YEARS));
	}

}
