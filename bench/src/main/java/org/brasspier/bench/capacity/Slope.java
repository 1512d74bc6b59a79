package org.brasspier.bench.capacity;

import java.util.List;

import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * One quantity measured at several sizes, with the straight line through the points.
 * Immutable and thread-safe.
 *
 * @param name what was measured
 * @param sizeName what the size counts
 * @param unit the unit of the values
 * @param points the measured points, at least four
 * @param fit the line through them
 */
public record Slope(String name, String sizeName, String unit, List<Point> points, Fit fit) {

	private static final int MIN_POINTS = 4;

	/**
	 * Copies the points.
	 * @throws IllegalArgumentException if there are fewer than four
	 */
	public Slope {
		if (points.size() < MIN_POINTS) {
			throw new IllegalArgumentException("%s has %d points, needs %d".formatted(name, points.size(), MIN_POINTS));
		}
		points = List.copyOf(points);
	}

	/**
	 * Fits a line through measured points.
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
	 * Points that lie on a line exactly leave rounding errors below zero under a root.
	 */
	private static double orZero(double error) {
		return (Double.isNaN(error)) ? 0 : error;
	}

	/**
	 * What the line says at another size.
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
	 * @param perSize by how much the value grows with each one of the size
	 * @param error the standard error of that growth
	 * @param base the value at size 0
	 * @param rSquare how much of the spread the line explains, up to 1
	 */
	public record Fit(double perSize, double error, double base, double rSquare) {

	}

}
