package org.shoreroad.daemon.platform;

/**
 * The log did not answer as it should.
 *
 * @since 0.1
 */
public final class LogException extends RuntimeException {
  private final boolean isRefused;

  /**
   * Creates the exception.
   *
   * @param isRefused whether the log itself said no, so that nothing took effect
   * @param message what happened
   */
  public LogException(boolean isRefused, String message) {
    super(message);
    this.isRefused = isRefused;
  }

  /** Returns true if nothing took effect; else an append may have. */
  public boolean isRefused() {
    return isRefused;
  }
}
