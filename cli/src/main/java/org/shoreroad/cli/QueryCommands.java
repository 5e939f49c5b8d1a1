package org.shoreroad.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import java.io.PrintStream;
import java.util.Map;

/** The read-only commands. */
final class QueryCommands {
  private QueryCommands() {}

  /** Command that prints the answer to one GET call. */
  abstract static class Query extends CtlCommand {
    abstract String call();

    @Override
    ExitCode run(PrintStream out, Map<String, String> environment) {
      print(out, client(environment).get(call()));
      return ExitCode.OK;
    }
  }

  /** Shows the state of the system as one process has it. */
  @Command(name = "status", description = "Shows a process, the log and the other processes.")
  @Examples(
      examples = "shoreroadctl status --url http://127.0.0.1:7001",
      descriptions = "Shows the state as that process has it.")
  public static final class Status extends Query {
    @Override
    String call() {
      return "status";
    }
  }

  /** Shows the replicas. */
  @Command(name = "replicas", description = "Shows each replica, its boxes and its owner.")
  @Examples(examples = "shoreroadctl replicas --output json", descriptions = "Prints JSON.")
  public static final class Replicas extends Query {
    @Override
    String call() {
      return "replicas";
    }
  }

  /** Shows the boxes. */
  @Command(name = "boxes", description = "Shows each listed box and the replica that holds it.")
  @Examples(examples = "shoreroadctl boxes", descriptions = "Prints a table.")
  public static final class Boxes extends Query {
    @Override
    String call() {
      return "boxes";
    }
  }

  /** Shows the client accounts. */
  @Command(name = "accounts", description = "Shows each client account and its limits.")
  @Examples(examples = "shoreroadctl accounts", descriptions = "Prints a table.")
  public static final class Accounts extends Query {
    @Override
    String call() {
      return "accounts";
    }
  }

  /** Prints the configuration in force as a configuration file. */
  @Command(name = "export", description = "Prints the configuration as a file to edit and apply.")
  @Examples(
      examples = "shoreroadctl export > site.yaml",
      descriptions = "Saves the configuration for editing.")
  public static final class Export extends CtlCommand {
    @Override
    ExitCode run(PrintStream out, Map<String, String> environment) {
      out.print(client(environment).get("config").path("yaml").asText());
      return ExitCode.OK;
    }
  }
}
