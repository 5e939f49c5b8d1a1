package review2;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the system, started with the command of the deploy file. */
final class Edge implements AutoCloseable {
  private final String node;
  private final String zone;
  private final Path root;
  private final Path folder;
  private final String store;
  private final String extra;
  private final int[] ports = new int[4];
  private Process process;
  private int maxFds;

  Edge(String node, String zone, Path root, Path folder, String store, String extra)
      throws IOException {
    this.node = node;
    this.zone = zone;
    this.root = root;
    this.folder = folder;
    this.store = store;
    this.extra = extra;
    for (int i = 0; i < ports.length; i++) {
      ports[i] = Ports.next();
    }
  }

  String callers() {
    return "127.0.0.1:" + ports[0];
  }

  String ready() {
    return "127.0.0.1:" + ports[1];
  }

  String metrics() {
    return "127.0.0.1:" + ports[3];
  }

  /** Sets the number of descriptors that the process may have, as the settings name it. */
  void setMaxFds(int count) {
    maxFds = count;
  }

  Process process() {
    return process;
  }

  void start() throws IOException {
    Path settings = folder.resolve(node + ".json");
    Files.writeString(
        settings,
        "{\"node\":\"" + node + "\",\"zone\":\"" + zone + "\",\"callerListen\":\"" + callers()
            + "\",\"readyListen\":\"" + ready() + "\",\"peerListen\":\"127.0.0.1:" + ports[2]
            + "\",\"metricsListen\":\"" + metrics() + "\",\"storeAddress\":\"" + store
            + "\",\"revokeMs\":5000,\"requireKeyProof\":true,\"stallMs\":5000,\"graceSeconds\":8,"
            + "\"repeatRatio\":0.2,\"repeatSlack\":136,\"repeatWindowSeconds\":10,"
            + "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\","
            + "\"stream\",\"tenants\",\"platform\",\"gangs\"],\"roomSharing\":\"uneven\"" + extra + "}");
    List<String> command = new ArrayList<>(command());
    if (maxFds > 0) {
      command.addAll(0, List.of("sh", "-c", "ulimit -n " + maxFds + "; exec \"$@\"", "sh"));
    }
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().put("SHOREROAD_NODE_FILE", settings.toString());
    File log = folder.resolve(node + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
  }

  /** Returns the lines of the process's output that name an uncaught exception. */
  List<String> uncaught() throws IOException {
    return Files.readAllLines(folder.resolve(node + ".log")).stream()
        .filter(line -> line.startsWith("Exception in thread"))
        .toList();
  }

  /** Returns the command of the deploy file, split at spaces. */
  private List<String> command() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("no command in the deploy file");
  }

  boolean isReady() {
    Http.Message answer = Http.call(ready(), "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n", 1_000);
    return answer != null && answer.status() == 200;
  }

  void awaitReady(int timeoutMs) throws Exception {
    long endMs = System.currentTimeMillis() + timeoutMs;
    while (!isReady()) {
      if (System.currentTimeMillis() > endMs || !process.isAlive()) {
        throw new IOException(node + " is not ready");
      }
      Thread.sleep(50);
    }
  }

  void signal(String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  @Override
  public void close() throws Exception {
    if (process != null) {
      process.destroyForcibly();
      process.waitFor(5, TimeUnit.SECONDS);
    }
  }

  /** Free ports below those of outgoing connections. */
  static final class Ports {
    private static int next = 20_000 + (int) (ProcessHandle.current().pid() * 64 % 9_000);

    private Ports() {}

    static synchronized int next() throws IOException {
      while (true) {
        int port = next++;
        try (ServerSocket trial = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
          return trial.getLocalPort();
        } catch (IOException e) {
          // In use: try the next one.
        }
      }
    }
  }
}
