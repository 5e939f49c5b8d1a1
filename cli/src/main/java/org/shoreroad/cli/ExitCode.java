package org.shoreroad.cli;

/**
 * The stable exit codes of the command line.
 *
 * @since 0.1
 */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The system refused the call, or the logs hold no line about the request. */
  REFUSED(1),
  /** The command line, a setting or the configuration file is wrong. */
  USAGE(2),
  /** The process can't be reached. */
  UNREACHABLE(3),
  /** Another change to the same entry was made after the base version. */
  CONFLICT(4),
  /** The configuration was accepted, but is not yet in force everywhere. */
  NOT_IN_FORCE(5),
  /** It is not known whether the change was accepted. */
  UNKNOWN(6);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit code of the process. */
  public int number() {
    return number;
  }
}
