package org.shoreroad.daemon.platform;

/**
 * Thrown when a call to the log or to the list of boxes fails.
 *
 * @since 0.1
 */
public final class LogException extends RuntimeException {
  private final boolean isRefused;

  /**
   * Creates the exception.
   *
   * @param isRefused whether the call certainly had no effect, such as when the log rejected it
   * @param message the reason
   */
  public LogException(boolean isRefused, String message) {
    super(message);
    this.isRefused = isRefused;
  }

  /**
   * Returns true if the call certainly had no effect; otherwise an append may have taken effect.
   */
  public boolean isRefused() {
    return isRefused;
  }
}
