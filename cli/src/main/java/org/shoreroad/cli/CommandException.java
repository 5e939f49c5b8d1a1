package org.shoreroad.cli;

/**
 * Signals that a command failed. The message is shown to the operator.
 *
 * @since 0.1
 */
public final class CommandException extends RuntimeException {
  private final ExitCode exitCode;

  /** Creates an exception with the exit code of the process and a message. */
  public CommandException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /** Returns the exit code of the process. */
  public ExitCode exitCode() {
    return exitCode;
  }
}
