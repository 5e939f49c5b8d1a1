package org.shoreroad.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.shoreroad.config.ConfigFault;
import org.shoreroad.config.ConfigFile;

/** The commands that change the configuration or check a change. */
final class ChangeCommands {
  private ChangeCommands() {}

  private static String read(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new CommandException(ExitCode.USAGE, file + " can't be read: " + e.getMessage());
    }
  }

  /**
   * Returns the content of a valid configuration file.
   *
   * @throws CommandException if it can't be read or isn't valid; the message lists all faults
   */
  private static String readValid(String file) {
    String text = read(file);
    ConfigFile parsed = ConfigFile.parse(text);
    if (!parsed.isValid()) {
      StringBuilder message = new StringBuilder();
      for (ConfigFault fault : parsed.faults()) {
        message.append(file).append(": ").append(fault).append(System.lineSeparator());
      }
      throw new CommandException(ExitCode.USAGE, message.toString().stripTrailing());
    }
    return text;
  }

  /** Checks a file without calling a process. */
  @Command(
      name = "validate",
      description = "Checks a file; lists each fault with line, reason and hint.")
  @Examples(examples = "shoreroadctl validate site.yaml", descriptions = "Runs without a process.")
  public static final class Validate extends CtlCommand {
    @Required
    @Arguments(title = "file", description = "The configuration file.")
    String file = "";

    @Override
    ExitCode run(PrintStream out, Map<String, String> environment) {
      readValid(file);
      out.println(file + " is valid");
      return ExitCode.OK;
    }
  }

  /** Shows what applying a file would change. */
  @Command(name = "diff", description = "Shows what applying a file would change.")
  @Examples(examples = "shoreroadctl diff site.yaml", descriptions = "Changes nothing.")
  public static final class Diff extends CtlCommand {
    @Required
    @Arguments(title = "file", description = "The configuration file.")
    String file = "";

    @Override
    ExitCode run(PrintStream out, Map<String, String> environment) {
      print(out, client(environment).post("diff", readValid(file)));
      return ExitCode.OK;
    }
  }

  /** Applies a file. */
  @Command(name = "apply", description = "Applies a file as a change to its base_version.")
  @Examples(
      examples = "shoreroadctl apply --wait site.yaml",
      descriptions = "Returns once every process has applied it.")
  public static final class Apply extends CtlCommand {
    @Required
    @Arguments(title = "file", description = "The configuration file.")
    String file = "";

    @Option(name = "--wait", description = "Waits until it is in force everywhere.")
    boolean shouldWait;

    @Option(name = "--wait-ms", title = "ms", description = "Maximum wait in milliseconds.")
    long waitMs = 10_000;

    @Option(
        name = "--operator",
        title = "name",
        description = "Operator's name, kept with the change.")
    String operator = "unnamed";

    @Override
    ExitCode run(PrintStream out, Map<String, String> environment) {
      OpsClient client = client(environment);
      JsonNode answer = client.post("config?operator=" + operator, readValid(file));
      print(out, answer);
      return shouldWait ? awaitInForce(out, client, answer.path("version").asLong()) : ExitCode.OK;
    }

    private ExitCode awaitInForce(PrintStream out, OpsClient client, long version) {
      long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
      while (true) {
        JsonNode answer = client.get("in-force/" + version);
        if (answer.path("in_force").asBoolean()) {
          out.println("version " + version + " is in force everywhere");
          return ExitCode.OK;
        }
        if (System.nanoTime() - endNanos >= 0) {
          out.println("accepted, not yet applied by " + answer.path("behind"));
          return ExitCode.NOT_IN_FORCE;
        }
        pause();
      }
    }

    private static void pause() {
      try {
        Thread.sleep(50);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new CommandException(ExitCode.NOT_IN_FORCE, "interrupted");
      }
    }
  }

  /** Takes a box out of service. */
  @Command(name = "drain", description = "Takes a box out of service; running requests finish.")
  @Examples(examples = "shoreroadctl drain box-3", descriptions = "Before maintenance of the box.")
  public static final class Drain extends CtlCommand {
    @Required
    @Arguments(title = "box", description = "The box.")
    String box = "";

    @Override
    ExitCode run(PrintStream out, Map<String, String> environment) {
      print(out, client(environment).post("drain/" + box, ""));
      return ExitCode.OK;
    }
  }

  /** Returns a drained box to service. */
  @Command(name = "undrain", description = "Returns a drained box to service.")
  @Examples(examples = "shoreroadctl undrain box-3", descriptions = "After maintenance of the box.")
  public static final class Undrain extends CtlCommand {
    @Required
    @Arguments(title = "box", description = "The box.")
    String box = "";

    @Override
    ExitCode run(PrintStream out, Map<String, String> environment) {
      print(out, client(environment).post("undrain/" + box, ""));
      return ExitCode.OK;
    }
  }
}
