package org.shoreroad.edge;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Limit of the operating system on the files and sockets that this process may have open. */
final class OpenFileLimit {
  /** Value if the operating system states no limit. */
  static final int UNLIMITED = Integer.MAX_VALUE;

  private static final Path LIMITS = Path.of("/proc/self/limits");
  private static final String FIELD = "Max open files";

  private OpenFileLimit() {}

  /** Returns the limit, or {@link #UNLIMITED} if it is not known. */
  static int ofProcess() {
    try {
      return parse(Files.readAllLines(LIMITS));
    } catch (IOException e) {
      // Only Linux has this file.
      return UNLIMITED;
    }
  }

  /** Returns the limit in force in lines of the file, or {@link #UNLIMITED} if there is none. */
  static int parse(List<String> lines) {
    for (String line : lines) {
      if (line.startsWith(FIELD)) {
        String limit = line.substring(FIELD.length()).trim().split("\\s+", 2)[0];
        boolean isNumber = !limit.isEmpty() && limit.chars().allMatch(c -> c >= '0' && c <= '9');
        return isNumber && limit.length() <= 9 ? Integer.parseInt(limit) : UNLIMITED;
      }
    }
    return UNLIMITED;
  }
}
