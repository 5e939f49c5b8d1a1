package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of what was sent, answered and run. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void write(String line) {
    out.printf("%8.3f  %s%n", (System.nanoTime() - startNanos) / 1e9, line);
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
