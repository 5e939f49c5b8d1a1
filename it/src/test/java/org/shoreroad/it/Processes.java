package org.shoreroad.it;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Daemons as processes of their own, to be killed, frozen, thawed and stopped by id. */
final class Processes implements AutoCloseable {
  private static final Pattern READY = Pattern.compile("ready caller=([0-9]+) ops=([0-9]+)");

  private final List<Process> processes = new ArrayList<>();

  /** Starts a daemon at a site and adds its addresses there; returns its place. */
  int start(Site site, String id) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                System.getProperty("java.home") + "/bin/java",
                "-Xmx192m",
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-Djava.util.logging.manager=org.jboss.logmanager.LogManager",
                "-cp",
                System.getProperty("java.class.path"),
                "org.shoreroad.daemon.Main"));
    command.addAll(site.daemonArgs(id));
    Process process =
        new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
    processes.add(process);
    BufferedReader out =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    String line = out.readLine();
    Matcher matcher = READY.matcher(String.valueOf(line));
    if (!matcher.matches()) {
      throw new IOException("the daemon did not start: " + line);
    }
    site.callerUrls.add("http://127.0.0.1:" + matcher.group(1));
    site.opsUrls.add("http://127.0.0.1:" + matcher.group(2));
    return processes.size() - 1;
  }

  /** Kills a daemon at once. */
  void kill(int index) {
    processes.get(index).destroyForcibly();
  }

  /** Asks a daemon to stop by plan. */
  void terminate(int index) {
    processes.get(index).destroy();
  }

  /** Waits until a daemon has ended and returns its exit code. */
  int awaitExit(int index) throws InterruptedException {
    if (!processes.get(index).waitFor(60, TimeUnit.SECONDS)) {
      throw new AssertionError("the daemon did not end");
    }
    return processes.get(index).exitValue();
  }

  /** Freezes a daemon, beyond its own reach. */
  void freeze(int index) throws IOException, InterruptedException {
    signal(index, "-STOP");
  }

  /** Thaws a daemon. */
  void thaw(int index) throws IOException, InterruptedException {
    signal(index, "-CONT");
  }

  private void signal(int index, String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", signal, Long.toString(processes.get(index).pid())).start().waitFor();
  }

  @Override
  public void close() {
    processes.forEach(Process::destroyForcibly);
  }
}
