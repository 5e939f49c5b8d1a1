package org.shoreroad.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * The entry point of {@code shoreroadctl}.
 *
 * <p>Exit codes are those of {@link ExitCode}.
 *
 * @since 0.1
 */
public final class Main {
  /** The version of this program. */
  public static final String VERSION = "0.1.0";

  private static final Cli<CtlCommand> CLI =
      Cli.<CtlCommand>builder("shoreroadctl")
          .withDescription("Inspects and configures a shoreroad system.")
          .withDefaultCommand(ShowHelp.class)
          .withCommands(
              List.of(
                  ShowHelp.class,
                  ChangeCommands.Validate.class,
                  ChangeCommands.Diff.class,
                  ChangeCommands.Apply.class,
                  ChangeCommands.Drain.class,
                  ChangeCommands.Undrain.class,
                  QueryCommands.Status.class,
                  QueryCommands.Replicas.class,
                  QueryCommands.Boxes.class,
                  QueryCommands.Accounts.class,
                  LogCommands.Explain.class,
                  LogCommands.Report.class,
                  QueryCommands.Export.class))
          .build();

  private Main() {}

  /** Shows the help of all commands or of one command. */
  @Command(name = "help", description = "Lists the commands, or shows the help of one.")
  public static final class ShowHelp extends CtlCommand {
    @com.github.rvesse.airline.annotations.Arguments(description = "The command.")
    List<String> commands = new java.util.ArrayList<>();

    @Override
    ExitCode run(PrintStream out, Map<String, String> environment) {
      try {
        Help.help(CLI.getMetadata(), commands, out);
        return ExitCode.OK;
      } catch (IOException e) {
        throw new CommandException(ExitCode.USAGE, String.valueOf(e.getMessage()));
      }
    }
  }

  /** Runs the command line and exits. */
  public static void main(String[] args) {
    System.exit(run(args, System.getenv(), System.out, System.err).number());
  }

  /**
   * Runs the command line.
   *
   * @param args the arguments
   * @param environment the environment variables
   * @param out the stream for results
   * @param err the stream for errors
   * @return the exit code of the process
   */
  public static ExitCode run(
      String[] args, Map<String, String> environment, PrintStream out, PrintStream err) {
    if (Arrays.asList(args).contains("--version")) {
      out.println("shoreroadctl " + VERSION);
      return ExitCode.OK;
    }
    try {
      return CLI.parse(args).run(out, environment);
    } catch (ParseException e) {
      err.println("shoreroadctl: " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
      return ExitCode.USAGE;
    } catch (CommandException e) {
      err.println("shoreroadctl: " + e.getMessage());
      return e.exitCode();
    }
  }
}
