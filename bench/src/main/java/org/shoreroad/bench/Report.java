package org.shoreroad.bench;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Prints the results and collects the slopes for the capacity page.
 *
 * <p>Lines may be printed by any thread; slopes are added and read by one thread only.
 */
final class Report {
  private final PrintStream out;
  private final Map<String, Slope> slopes = new LinkedHashMap<>();

  Report(PrintStream out) {
    this.out = out;
  }

  void title(String text) {
    out.println();
    out.println("== " + text);
  }

  void line(String format, Object... values) {
    out.println(String.format(Locale.ROOT, format, values));
  }

  void slope(String what, String unit, Slope slope) {
    slopes.put(what, slope);
    line("slope: %s = %s, x in %s", what, slope, unit);
  }

  Map<String, Slope> slopes() {
    return slopes;
  }
}
