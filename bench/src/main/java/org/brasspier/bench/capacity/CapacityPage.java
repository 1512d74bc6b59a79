package org.brasspier.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;

/**
 * Writes the generated sections of docs/CAPACITY.md: the tables of slopes and of
 * requirements, and a plot of each slope. The text around them is written by hand.
 */
final class CapacityPage {

	private static final Pattern SLOPES_SECTION = Pattern.compile("(<!-- slopes begin -->\n).*?(<!-- slopes end -->)",
			Pattern.DOTALL);

	private static final Pattern REQUIREMENTS_SECTION = Pattern
		.compile("(<!-- worked out begin -->\n).*?(<!-- worked out end -->)", Pattern.DOTALL);

	private static final int PERCENT = 100;

	private static final int PLOT_WIDTH = 480;

	private static final int PLOT_HEIGHT = 320;

	private final Path page;

	CapacityPage(Path page) {
		this.page = page;
	}

	void write(List<Slope> slopes, List<CapacityRequirement> requirements) throws IOException {
		Path plots = this.page.resolveSibling("plots");
		Files.createDirectories(plots);
		for (Slope slope : slopes) {
			BitmapEncoder.saveBitmap(plot(slope), plots.resolve(fileName(slope)).toString(),
					BitmapEncoder.BitmapFormat.PNG);
		}
		String text = replaceSection(Files.readString(this.page), SLOPES_SECTION, slopesTable(slopes));
		Files.writeString(this.page, replaceSection(text, REQUIREMENTS_SECTION, requirementsTable(requirements)));
	}

	private static String replaceSection(String text, Pattern part, String table) {
		return part.matcher(text)
			.replaceFirst((match) -> Matcher.quoteReplacement(match.group(1) + table + match.group(2)));
	}

	private static String requirementsTable(List<CapacityRequirement> lines) {
		return lines.stream().map(CapacityPage::row).collect(Collectors.joining("\n", """
				| at the target size | need | limit | margin | carried by |
				| --- | --- | --- | --- | --- |
				""", "\n"));
	}

	private static String row(CapacityRequirement line) {
		boolean bounded = !Double.isNaN(line.limit());
		return "| %s | %s %s | %s | %s | %s |".formatted(line.quantity(), formatNumber(line.need()), line.unit(),
				(bounded) ? formatNumber(line.limit()) : "none",
				(bounded) ? "%.0f %%".formatted(line.margin() * PERCENT) : "", line.mechanism());
	}

	private static String slopesTable(List<Slope> slopes) {
		return slopes.stream().map(CapacityPage::row).collect(Collectors.joining("\n", """
				| what | per one of | slope | error of slope | at none | r² | measured at |
				| --- | --- | --- | --- | --- | --- | --- |
				""", "\n"));
	}

	private static String row(Slope slope) {
		String points = slope.points()
			.stream()
			.map((point) -> "%.0f: %s".formatted(point.size(), formatNumber(point.value())))
			.collect(Collectors.joining(", "));
		return "| [%s](plots/%s) | %s | %s %s | %s | %s | %s | %s |".formatted(slope.name(), fileName(slope) + ".png",
				slope.sizeName(), formatNumber(slope.fit().perSize()), slope.unit(), formatNumber(slope.fit().error()),
				formatNumber(slope.fit().base()), formatRSquare(slope), points);
	}

	private static String formatRSquare(Slope slope) {
		return (slope.fit().rSquare() == 0) ? "constant" : "%.3f".formatted(slope.fit().rSquare());
	}

	private static String formatNumber(double value) {
		return String.format(Locale.ROOT, (Math.abs(value) >= 100) ? "%.0f" : "%.3g", value);
	}

	private static String fileName(Slope slope) {
		return slope.name().replaceAll("[^a-z0-9]+", "-");
	}

	private static XYChart plot(Slope slope) {
		double[] sizes = slope.points().stream().mapToDouble(Slope.Point::size).toArray();
		double[] values = slope.points().stream().mapToDouble(Slope.Point::value).toArray();
		double[] line = slope.points().stream().mapToDouble((point) -> slope.valueAt(point.size())).toArray();
		XYChart chart = new XYChartBuilder().width(PLOT_WIDTH)
			.height(PLOT_HEIGHT)
			.title(slope.name())
			.xAxisTitle(slope.sizeName())
			.yAxisTitle(slope.unit())
			.build();
		chart.getStyler().setLegendPosition(Styler.LegendPosition.InsideNW);
		chart.addSeries("measured", sizes, values);
		chart.addSeries("line", sizes, line);
		return chart;
	}

}
