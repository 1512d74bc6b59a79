package org.brasspier.bench.demo;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.brasspier.cli.internal.CommandLine;
import org.brasspier.cli.internal.Terminal;
import org.brasspier.standins.Deployment;
import org.brasspier.standins.Ports;
import org.brasspier.standins.ServiceShape;

/**
 * Submits a deployment's configuration document through the command-line tool, the same
 * way operators do. Not thread-safe.
 */
final class DocumentSubmission {

	private static final String KLIRING = "kliring";

	private final Deployment deployment;

	private final List<String> outputLines = new ArrayList<>();

	private DocumentSubmission(Deployment deployment) {
		this.deployment = deployment;
	}

	static List<String> submit(Deployment deployment) {
		DocumentSubmission submission = new DocumentSubmission(deployment);
		submission.submit();
		return submission.outputLines;
	}

	private void submit() {
		boolean kliring = this.deployment.shape().name().equals(KLIRING);
		for (ServiceShape service : this.deployment.shape().services()) {
			runCommand("form", "service", service.name(), "--divided-by-key", (service.sharded()) ? "yes" : "no");
		}
		runCommand("form", "domains", "--regions", domainRegions((kliring) ? "jateng" : "great-lakes"));
		runCommand("form", "targets", "--imbalance-ratio", "1.3", "--churn-percent-a-day", "20",
				"--unavailable-seconds-a-day", "5");
		runCommand("form", "weights", (kliring) ? "--imbalance" : "--unavailable", "3");
		runCommand("draft", "submit");
	}

	private String domainRegions(String region) {
		return this.deployment.shape()
			.domains()
			.stream()
			.map((domain) -> domain + "=" + region)
			.collect(Collectors.joining(","));
	}

	private void runCommand(String... arguments) {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
		Terminal terminal = new Terminal(new BufferedReader(new StringReader("")), stream, stream, false);
		List<String> commandLine = new ArrayList<>(
				List.of("--draft", this.deployment.folder().resolve("draft.json").toString()));
		commandLine.addAll(Arrays.asList(arguments));
		int exitCode = new CommandLine(terminal, Map.of("BRASSPIER_DAEMON", operatorAddress(),
				"BRASSPIER_OPERATOR_SECRET", this.deployment.operatorSecret()))
			.run(commandLine.toArray(String[]::new));
		String outputText = output.toString(StandardCharsets.UTF_8);
		if (exitCode != 0) {
			throw new IllegalStateException(
					"brasspier %s ended with %d: %s".formatted(commandLine, exitCode, outputText));
		}
		this.outputLines.add("brasspier " + String.join(" ", arguments));
		if (arguments[0].equals("draft")) {
			outputText.lines().forEach((line) -> this.outputLines.add("  " + line));
		}
	}

	private String operatorAddress() {
		return Ports.text(this.deployment.instances().getLast().ports().operators());
	}

}
