package org.shoreroad.config;

/**
 * A fault in a configuration file.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param line the line, counted from 1, or 0 if the fault belongs to no line
 * @param message the description of the fault
 * @param hint advice on how to correct it, may be empty
 * @since 0.1
 */
public record ConfigFault(int line, String message, String hint) {
  /** Returns one line of text, such as {@code line 4: unknown field 'nam' (one of name, ...)}. */
  @Override
  public String toString() {
    String prefix = line > 0 ? "line " + line + ": " : "";
    return prefix + message + (hint.isEmpty() ? "" : " (" + hint + ")");
  }
}
