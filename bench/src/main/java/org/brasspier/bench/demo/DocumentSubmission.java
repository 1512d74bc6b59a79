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
 * Submits a deployment's configuration document through the command line tool, as its
 * operators would. Not thread-safe.
 */
final class DocumentSubmission {

	private static final String KLIRING = "kliring";

	private final Deployment deployment;

	private final List<String> shown = new ArrayList<>();

	private DocumentSubmission(Deployment deployment) {
		this.deployment = deployment;
	}

	static List<String> submit(Deployment deployment) {
		DocumentSubmission submission = new DocumentSubmission(deployment);
		submission.submit();
		return submission.shown;
	}

	private void submit() {
		boolean kliring = this.deployment.shape().name().equals(KLIRING);
		for (ServiceShape service : this.deployment.shape().services()) {
			run("form", "service", service.name(), "--divided-by-key", (service.sharded()) ? "yes" : "no");
		}
		run("form", "domains", "--regions", regions((kliring) ? "jateng" : "great-lakes"));
		run("form", "targets", "--imbalance-ratio", "1.3", "--churn-percent-a-day", "20", "--unavailable-seconds-a-day",
				"5");
		run("form", "weights", (kliring) ? "--imbalance" : "--unavailable", "3");
		run("draft", "submit");
	}

	private String regions(String region) {
		return this.deployment.shape()
			.domains()
			.stream()
			.map((domain) -> domain + "=" + region)
			.collect(Collectors.joining(","));
	}

	private void run(String... arguments) {
		ByteArrayOutputStream printed = new ByteArrayOutputStream();
		PrintStream stream = new PrintStream(printed, true, StandardCharsets.UTF_8);
		Terminal terminal = new Terminal(new BufferedReader(new StringReader("")), stream, stream, false);
		List<String> all = new ArrayList<>(
				List.of("--draft", this.deployment.folder().resolve("draft.json").toString()));
		all.addAll(Arrays.asList(arguments));
		int exit = new CommandLine(terminal,
				Map.of("BRASSPIER_DAEMON", daemon(), "BRASSPIER_OPERATOR_SECRET", this.deployment.operatorSecret()))
			.run(all.toArray(String[]::new));
		String text = printed.toString(StandardCharsets.UTF_8);
		if (exit != 0) {
			throw new IllegalStateException("brasspier %s ended with %d: %s".formatted(all, exit, text));
		}
		this.shown.add("brasspier " + String.join(" ", arguments));
		if (arguments[0].equals("draft")) {
			text.lines().forEach((line) -> this.shown.add("  " + line));
		}
	}

	private String daemon() {
		return Ports.text(this.deployment.instances().getLast().ports().operators());
	}

}
