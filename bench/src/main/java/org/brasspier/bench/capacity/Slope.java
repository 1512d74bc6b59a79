package org.brasspier.bench.capacity;

import java.util.List;

import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * One quantity measured at several sizes, with the straight line fitted to the points.
 * Immutable and thread-safe.
 *
 * @param name what was measured
 * @param sizeName what the size counts
 * @param unit the unit of the values
 * @param points the measured points, at least four
 * @param fit the line fitted to them
 */
public record Slope(String name, String sizeName, String unit, List<Point> points, Fit fit) {

	private static final int MIN_POINTS = 4;

	/**
	 * Creates a slope with a copy of the points.
	 * @throws IllegalArgumentException if there are fewer than four
	 */
	public Slope {
		if (points.size() < MIN_POINTS) {
			throw new IllegalArgumentException("%s has %d points, needs %d".formatted(name, points.size(), MIN_POINTS));
		}
		points = List.copyOf(points);
	}

	/**
	 * Fits a line to measured points.
	 * @param name what was measured
	 * @param sizeName what the size counts
	 * @param unit the unit of the values
	 * @param points the measured points
	 * @return the slope
	 */
	public static Slope of(String name, String sizeName, String unit, List<Point> points) {
		SimpleRegression regression = new SimpleRegression();
		points.forEach((point) -> regression.addData(point.size(), point.value()));
		Fit fit = new Fit(regression.getSlope(), orZero(regression.getSlopeStdErr()), regression.getIntercept(),
				orZero(regression.getRSquare()));
		return new Slope(name, sizeName, unit, points, fit);
	}

	/**
	 * Replaces NaN by 0: where the points lie exactly on a line, a rounding error can
	 * make the radicand of the error negative; where all values are equal, the
	 * coefficient of determination is 0 / 0.
	 */
	private static double orZero(double error) {
		return (Double.isNaN(error)) ? 0 : error;
	}

	/**
	 * Returns the value of the fitted line at a size.
	 * @param size the size
	 * @return the value, in this slope's unit
	 */
	public double valueAt(double size) {
		return this.fit.base() + this.fit.perSize() * size;
	}

	/**
	 * One measurement.
	 *
	 * @param size the size
	 * @param value the median of several runs
	 */
	public record Point(double size, double value) {

	}

	/**
	 * A straight line.
	 *
	 * @param perSize by how much the value grows when the size grows by 1
	 * @param error the standard error of that growth
	 * @param base the value at size 0
	 * @param rSquare the coefficient of determination: the share of the variance that the
	 * line explains, up to 1
	 */
	public record Fit(double perSize, double error, double base, double rSquare) {

	}

}
