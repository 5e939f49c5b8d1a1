package org.shoreroad.bench;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Command line entry point, which runs the benchmarks named in the arguments, or all of them. */
@Command(name = "bench", description = "Measures decisions, slopes and the whole path.")
public final class Main {
  private static final List<String> ALL =
      List.of("placement", "policy", "state", "membership", "fleet", "path");

  @Option(
      name = "--capacity",
      title = "file",
      description = "Rewrites the table of measured slopes in this page.")
  String capacityPage = "";

  @Arguments(description = "Which: placement, policy, state, membership, fleet, path; all if none.")
  List<String> names = new ArrayList<>();

  /** Creates the command, for Airline to fill in. */
  public Main() {}

  /** Runs the command. */
  public static void main(String[] args) throws Exception {
    SingleCommand.singleCommand(Main.class).parse(args).run();
    System.exit(0);
  }

  private void run() throws Exception {
    Report report = new Report(System.out);
    for (String name : names.isEmpty() ? ALL : names) {
      switch (name) {
        case "placement" -> PlacementBench.run(report);
        case "policy" -> PolicyBench.run(report);
        case "state" -> StateBench.run(report);
        case "membership" -> MembershipBench.run(report);
        case "fleet" -> FleetBench.run(report);
        case "path" -> PathBench.run(report);
        default -> throw new IllegalArgumentException("no such measurement: " + name);
      }
    }
    if (!capacityPage.isEmpty()) {
      rewrite(Path.of(capacityPage), report);
    }
  }

  /** Replaces the text between the two markers of the page with the table of slopes. */
  private static void rewrite(Path page, Report report) throws IOException {
    String begin = "<!-- slopes:begin -->";
    String end = "<!-- slopes:end -->";
    String text = Files.readString(page);
    int from = text.indexOf(begin);
    int to = text.indexOf(end);
    if (from < 0 || to < from) {
      throw new IllegalArgumentException(page + " has no markers for the table");
    }
    StringBuilder table =
        new StringBuilder(begin).append("\n\n| what | line through the points |\n|---|---|\n");
    report
        .slopes()
        .forEach(
            (what, slope) ->
                table.append("| ").append(what).append(" | ").append(slope).append(" |\n"));
    Files.writeString(page, text.substring(0, from) + table + "\n" + text.substring(to));
  }
}
