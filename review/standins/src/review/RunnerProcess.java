package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A runner in a process of its own, with its entry in the store. */
final class RunnerProcess implements AutoCloseable {
  private final String id;
  private final Process process;
  private final int port;
  private final ResetProxy proxy;
  private volatile boolean isEnded;

  RunnerProcess(String mainClass, String id, String service, Store store, Consumer<String> lines)
      throws IOException {
    this.id = id;
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("java.home") + "/bin/java");
    command.add("-Xmx64m");
    command.add("-XX:+UseSerialGC");
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add("review." + mainClass);
    command.add(id);
    process = new ProcessBuilder(command).redirectErrorStream(true).start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    BufferedReader out = new BufferedReader(new InputStreamReader(process.getInputStream()));
    String first = out.readLine();
    if (first == null || !first.startsWith("port ")) {
      throw new IOException("the runner has not started: " + first);
    }
    port = Integer.parseInt(first.substring("port ".length()));
    proxy = new ResetProxy(port);
    Threads.daemon(
        "lines of " + id,
        () -> {
          for (String line = out.readLine(); line != null; line = out.readLine()) {
            lines.accept(line);
          }
        });
    Threads.daemon(
        "entry of " + id,
        () -> {
          for (int sequence = 1; !isEnded; sequence++) {
            store.put("keyed.servers", id, entry(service, sequence));
            Thread.sleep(1_200);
          }
        });
  }

  private String entry(String service, int sequence) {
    return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + proxy.port()
        + "\",\"zone\":\"hall-a\",\"version\":\"1\",\"slots\":6,\"state\":\"ready\","
        + "\"cold_remaining_ms\":0,\"sequence\":" + sequence + "}";
  }

  String id() {
    return id;
  }

  /** Returns the proxy on the way to the runner, whose address is the listed one. */
  ResetProxy proxy() {
    return proxy;
  }

  boolean isKilled() {
    return isEnded;
  }

  /** Ends the process at once, as a crash does; it says nothing to the store. */
  void kill() {
    isEnded = true;
    process.destroyForcibly();
  }

  @Override
  public void close() throws Exception {
    kill();
    process.waitFor();
    proxy.close();
  }
}
