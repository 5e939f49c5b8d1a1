package org.shoreroad.bench;

import java.util.List;
import java.util.Locale;

/**
 * A straight line fitted to measured points by least squares.
 *
 * @param perUnit the increase of the value per unit of size
 * @param atZero the value of the line at size zero
 * @param worstResidualShare the largest residual of a point, as a share of its measured value
 */
public record Slope(double perUnit, double atZero, double worstResidualShare) {
  /**
   * A measured point.
   *
   * @param size the size
   * @param value the value measured at this size
   */
  public record Point(double size, double value) {}

  /** Returns the least-squares line of the points. */
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

  /** Returns the line in readable form, with the worst residual in percent. */
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
