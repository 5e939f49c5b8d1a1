package org.shoreroad.bench;

import java.util.List;
import java.util.Locale;

/**
 * A straight line through measured points, by least squares.
 *
 * @param perUnit the slope
 * @param atZero the value at zero
 * @param worstResidualShare the greatest distance of a point from the line, as a share of its value
 */
public record Slope(double perUnit, double atZero, double worstResidualShare) {
  /**
   * A measured point.
   *
   * @param size the size
   * @param value what was measured there
   */
  public record Point(double size, double value) {}

  /** Returns the line through the points. */
  public static Slope of(List<Point> points) {
    double n = points.size();
    double meanX = points.stream().mapToDouble(Point::size).sum() / n;
    double meanY = points.stream().mapToDouble(Point::value).sum() / n;
    double covariance = 0;
    double variance = 0;
    for (Point point : points) {
      covariance += (point.size() - meanX) * (point.value() - meanY);
      variance += (point.size() - meanX) * (point.size() - meanX);
    }
    double slope = variance == 0 ? 0 : covariance / variance;
    double atZero = meanY - slope * meanX;
    double worst = 0;
    for (Point point : points) {
      double distance = Math.abs(atZero + slope * point.size() - point.value());
      worst = Math.max(worst, point.value() == 0 ? 0 : distance / Math.abs(point.value()));
    }
    return new Slope(slope, atZero, worst);
  }

  /** Returns the value of the line at a size. */
  public double at(double size) {
    return atZero + perUnit * size;
  }

  /** Returns the line for people. */
  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "%.4g + %.4g x (worst residual %.0f %%)",
        atZero,
        perUnit,
        worstResidualShare * 100);
  }
}
