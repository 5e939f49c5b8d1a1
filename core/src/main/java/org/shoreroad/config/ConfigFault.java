package org.shoreroad.config;

/**
 * One thing that is wrong with a configuration file.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param line the line, counted from 1, or 0 where no line is to blame
 * @param message what is wrong
 * @param hint what to write instead
 * @since 0.1
 */
public record ConfigFault(int line, String message, String hint) {
  /** Returns one line for people, such as {@code line 4: unknown field 'nam' (did ...)}. */
  @Override
  public String toString() {
    String place = line > 0 ? "line " + line + ": " : "";
    return place + message + (hint.isEmpty() ? "" : " (" + hint + ")");
  }
}
