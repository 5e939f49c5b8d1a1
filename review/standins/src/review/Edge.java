package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the system, started with the command of the deploy file. */
final class Edge implements AutoCloseable {
  private final Path root;
  private final Path folder;
  private final String node;
  private final String zone;
  private final String store;
  private final int[] ports = new int[4];
  private Process process;

  Edge(Path root, Path folder, String node, String zone, String store) throws IOException {
    this.root = root;
    this.folder = folder;
    this.node = node;
    this.zone = zone;
    this.store = store;
    List<ServerSocket> reserved = new ArrayList<>();
    for (int i = 0; i < ports.length; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
      reserved.add(socket);
      ports[i] = socket.getLocalPort();
    }
    for (ServerSocket socket : reserved) {
      socket.close();
    }
  }

  int callerPort() {
    return ports[0];
  }

  int peerPort() {
    return ports[2];
  }

  Path log() {
    return folder.resolve(node + ".log");
  }

  /** Fills the deploy file's template with the bounds of a small deployment, and starts. */
  void start() throws IOException {
    String settings = Files.readString(root.resolve("deploy/settings.json"));
    String[][] gaps = {
      {"{{node|json}}", quoted(node)},
      {"{{zone|json}}", quoted(zone)},
      {"{{listen.front|json}}", quoted("127.0.0.1:" + ports[0])},
      {"{{listen.ready|json}}", quoted("127.0.0.1:" + ports[1])},
      {"{{ip}}:{{internal_ports.0}}", "127.0.0.1:" + ports[2]},
      {"{{ip}}:9464", "127.0.0.1:" + ports[3]},
      {"{{platform.address|json}}", quoted(store)},
      {"{{bounds.revoke_ms|json}}", "5000"},
      {"{{bounds.strict_revoke|json}}", "true"},
      {"{{bounds.stall_ms|json}}", "5000"},
      {"{{bounds.grace_s|json}}", "8"},
      {"{{bounds.retry_budget_ratio|json}}", "0.2"},
      {"{{bounds.budget_slack|json}}", "136"},
      {"{{bounds.budget_window_s|json}}", "10"},
      {
        "{{contracts|json}}",
        "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\","
            + "\"tenants\",\"platform\",\"gangs\"]"
      },
    };
    for (String[] gap : gaps) {
      settings = settings.replace(gap[0], gap[1]);
    }
    if (settings.contains("{{")) {
      throw new IOException("the template has gaps that this stand-in does not know: " + settings);
    }
    Path file = folder.resolve(node + ".json");
    Files.writeString(file, settings);
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.directory(root.toFile());
    builder.environment().put("SHOREROAD_NODE_FILE", file.toString());
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
    builder.redirectError(ProcessBuilder.Redirect.appendTo(log().toFile()));
    process = builder.start();
    // The process ends with the test, also if that is interrupted.
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
  }

  private List<String> command() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no command");
    }
    List<String> words = new ArrayList<>(List.of(run.group(1).split(" +")));
    String java = System.getProperty("java.home") + File.separator + "bin" + File.separator;
    words.set(0, java + words.get(0));
    return words;
  }

  private static String quoted(String text) {
    return "\"" + text + "\"";
  }

  /** Waits until the readiness check succeeds. */
  void awaitReady() throws Exception {
    long endNanos = System.nanoTime() + 30_000_000_000L;
    while (System.nanoTime() - endNanos < 0) {
      if (!process.isAlive()) {
        throw new IOException(node + " has ended with " + process.exitValue());
      }
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress("127.0.0.1", ports[1]), 500);
        socket.setSoTimeout(1_000);
        socket.getOutputStream().write(Wire.bytes("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"));
        if (Wire.readHead(socket.getInputStream()).status() == 200) {
          return;
        }
      } catch (IOException e) {
        // It has not opened its port yet.
      }
      Thread.sleep(100);
    }
    throw new IOException(node + " is not ready");
  }

  boolean isAlive() {
    return process.isAlive();
  }

  void signal(String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  @Override
  public void close() throws Exception {
    if (process != null) {
      process.destroyForcibly();
      process.waitFor();
    }
  }
}
