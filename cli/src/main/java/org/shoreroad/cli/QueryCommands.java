package org.shoreroad.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import java.io.PrintStream;
import java.util.Map;

/** The commands that only look. */
final class QueryCommands {
  private QueryCommands() {}

  /** Prints the answer to one call. */
  abstract static class Query extends CtlCommand {
    abstract String call();

    @Override
    ExitCode run(PrintStream out, Map<String, String> environment) {
      print(out, client(environment).get(call()));
      return ExitCode.OK;
    }
  }

  /** Shows one process's view of the whole. */
  @Command(name = "status", description = "Shows a process, the log and the other processes.")
  @Examples(
      examples = "shoreroadctl status --url http://127.0.0.1:7001",
      descriptions = "Shows what that process knows.")
  public static final class Status extends Query {
    @Override
    String call() {
      return "status";
    }
  }

  /** Shows the replicas. */
  @Command(name = "replicas", description = "Shows each replica, its boxes and its owner.")
  @Examples(examples = "shoreroadctl replicas --output json", descriptions = "For programs.")
  public static final class Replicas extends Query {
    @Override
    String call() {
      return "replicas";
    }
  }

  /** Shows the boxes. */
  @Command(name = "boxes", description = "Shows each listed box and what holds it.")
  @Examples(examples = "shoreroadctl boxes", descriptions = "For people.")
  public static final class Boxes extends Query {
    @Override
    String call() {
      return "boxes";
    }
  }

  /** Shows the client accounts. */
  @Command(name = "accounts", description = "Shows each client account and its limits.")
  @Examples(examples = "shoreroadctl accounts", descriptions = "For people.")
  public static final class Accounts extends Query {
    @Override
    String call() {
      return "accounts";
    }
  }

  /** Prints the configuration in force as a file. */
  @Command(name = "export", description = "Prints the configuration as a file to change and apply.")
  @Examples(examples = "shoreroadctl export > site.yaml", descriptions = "Begins a change.")
  public static final class Export extends CtlCommand {
    @Override
    ExitCode run(PrintStream out, Map<String, String> environment) {
      out.print(client(environment).get("config").path("yaml").asText());
      return ExitCode.OK;
    }
  }
}
