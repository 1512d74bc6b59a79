package org.brasspier.bench.demo;

import com.beust.jcommander.Parameter;
import org.brasspier.standins.DeploymentShape;

/**
 * The flags of {@link Demo}. Filled in once, then read only.
 */
final class DemoFlags {

	@Parameter(names = "--help", help = true, description = "show this help and end")
	boolean help;

	@Parameter(names = "--deployment", description = "lakeshore or kliring")
	String deployment = "lakeshore";

	@Parameter(names = "--seconds", description = "how long traffic lasts, 6 or more")
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
