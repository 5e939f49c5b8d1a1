package org.shoreroad.daemon.settings;

/**
 * Thrown for an invalid setting; the message is one line that names the setting.
 *
 * @since 0.1
 */
public final class SettingsException extends RuntimeException {
  /** Creates the exception with a one-line message. */
  public SettingsException(String message) {
    super(message);
  }
}
