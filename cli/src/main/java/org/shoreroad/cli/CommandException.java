package org.shoreroad.cli;

/**
 * A command failed; the message is for the operator.
 *
 * @since 0.1
 */
public final class CommandException extends RuntimeException {
  private final ExitCode exitCode;

  /** Creates the exception. */
  public CommandException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /** Returns what the process exits with. */
  public ExitCode exitCode() {
    return exitCode;
  }
}
