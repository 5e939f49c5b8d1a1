package org.shoreroad.daemon.settings;

/**
 * A setting is wrong; the message is one line that names it.
 *
 * @since 0.1
 */
public final class SettingsException extends RuntimeException {
  /** Creates the exception with its line. */
  public SettingsException(String message) {
    super(message);
  }
}
