package org.brasspier.bench.demo;

import com.beust.jcommander.Parameter;
import org.brasspier.standins.DeploymentShape;

/**
 * Command-line flags of {@link Demo}. JCommander sets the fields once; they do not change
 * after parsing.
 */
final class DemoFlags {

	@Parameter(names = "--help", help = true, description = "print this help and exit")
	boolean help;

	@Parameter(names = "--deployment", description = "deployment to run: lakeshore or kliring")
	String deployment = "lakeshore";

	@Parameter(names = "--seconds", description = "duration of the traffic in seconds, at least 6")
	int seconds = 20;

	DeploymentShape shape() {
		return switch (this.deployment) {
			case "lakeshore" -> DeploymentShape.lakeshore();
			case "kliring" -> DeploymentShape.kliring();
			default -> throw new IllegalArgumentException(
					"--deployment \"%s\" must be lakeshore or kliring".formatted(this.deployment));
		};
	}

	int checkedSeconds() {
		if (this.seconds < 6) {
			throw new IllegalArgumentException("--seconds %d must be 6 or more".formatted(this.seconds));
		}
		return this.seconds;
	}

}
