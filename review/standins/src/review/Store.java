package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of the platform's store: keyed topics with one partition, and groups whose members share
 * partitions. It answers the calls of PROTOCOL.md that the system makes. Thread-safe.
 */
final class Store implements AutoCloseable {
  private static final int PARTITIONS = 4;

  private final ServerSocket listening;
  private final Map<String, List<Entry>> topics = new HashMap<>();
  private final Map<String, Group> groups = new HashMap<>();
  private final List<ServerSocket> views = new ArrayList<>();

  private record Entry(String key, byte[] value) {}

  /** Members of a group with the time at which each lapses. */
  private static final class Group {
    private final TreeMap<String, Long> untilNanos = new TreeMap<>();
    private final Map<Integer, String> holders = new HashMap<>();
    private long generation = 1;

    void expire() {
      long now = System.nanoTime();
      if (untilNanos.values().removeIf(until -> until - now < 0)) {
        generation++;
      }
      holders.values().removeIf(name -> !untilNanos.containsKey(name));
    }
  }

  Store() throws IOException {
    listening = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    Threads.daemon("store", () -> accept(listening, UnaryOperator.identity()));
  }

  /**
   * Opens another port of the store, at which a machine finds the others. A test that puts a proxy on
   * the ways between machines changes their addresses there.
   *
   * @param addresses changes the text of each record of the processes, for this port alone
   */
  int openView(UnaryOperator<String> addresses) throws IOException {
    ServerSocket view = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    views.add(view);
    Threads.daemon("store view", () -> accept(view, addresses));
    return view.getLocalPort();
  }

  String address() {
    return "127.0.0.1:" + listening.getLocalPort();
  }

  /** Writes a record as the operator or a runner; a null value removes the key. */
  synchronized void put(String topic, String key, String value) {
    topic(topic).add(new Entry(key, value == null ? new byte[0] : Wire.bytes(value)));
    notifyAll();
  }

  private List<Entry> topic(String name) {
    return topics.computeIfAbsent(name, key -> new ArrayList<>());
  }

  private void accept(ServerSocket port, UnaryOperator<String> addresses) throws IOException {
    while (!port.isClosed()) {
      Socket socket = port.accept();
      Threads.daemon("store connection", () -> serve(socket, addresses));
    }
  }

  private void serve(Socket socket, UnaryOperator<String> addresses)
      throws IOException, InterruptedException {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Wire.Head head = Wire.readHead(in); head != null; head = Wire.readHead(in)) {
        byte[] body = Wire.readBody(in, head);
        Answer answer = answer(head.line().split(" ")[1], body, addresses);
        OutputStream out = socket.getOutputStream();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(
            Wire.bytes(
                "HTTP/1.1 " + answer.status + " -\r\nContent-Length: " + answer.body.length
                    + "\r\n\r\n"));
        bytes.write(answer.body);
        out.write(bytes.toByteArray());
        out.flush();
      }
    }
  }

  private record Answer(int status, byte[] body) {}

  private Answer answer(String uri, byte[] body, UnaryOperator<String> addresses)
      throws IOException, InterruptedException {
    int mark = uri.indexOf('?');
    String path = mark < 0 ? uri : uri.substring(0, mark);
    Map<String, String> query = new HashMap<>();
    if (mark >= 0) {
      for (String pair : uri.substring(mark + 1).split("&")) {
        int equals = pair.indexOf('=');
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    switch (path) {
      case "/-/log-read":
        return read(query, addresses);
      case "/-/log-newest":
        return newest(query, addresses);
      case "/-/log-append":
        return append(query, body);
      case "/-/log-join":
        return join(new String(body, StandardCharsets.UTF_8));
      case "/-/log-leave":
        return leave(new String(body, StandardCharsets.UTF_8));
      case "/-/log-owners":
        return owners(query);
      default:
        return new Answer(404, new byte[0]);
    }
  }

  private synchronized Answer read(Map<String, String> query, UnaryOperator<String> addresses)
      throws IOException, InterruptedException {
    List<Entry> log = topic(query.get("topic"));
    int from = Integer.parseInt(query.get("from"));
    long endMs = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    while (log.size() <= from) {
      long leftMs = endMs - System.nanoTime() / 1_000_000;
      if (leftMs <= 0) {
        break;
      }
      wait(leftMs);
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeLong(log.size());
    out.writeLong(0);
    int maxBytes = 1_024 * Integer.parseInt(query.getOrDefault("max_kb", "1024"));
    for (int i = from; i < log.size(); i++) {
      byte[] key = Wire.bytes(log.get(i).key());
      byte[] value = seen(query.get("topic"), log.get(i).value(), addresses);
      if (i > from && bytes.size() + key.length + value.length + 5 > maxBytes) {
        break;
      }
      out.writeInt(1 + key.length + value.length);
      out.writeByte(key.length);
      out.write(key);
      out.write(value);
    }
    return new Answer(200, bytes.toByteArray());
  }

  private synchronized Answer newest(
      Map<String, String> query, UnaryOperator<String> addresses) {
    List<Entry> log = topic(query.get("topic"));
    TreeMap<String, Integer> newest = new TreeMap<>();
    for (int i = 0; i < log.size(); i++) {
      newest.put(log.get(i).key(), i);
    }
    StringBuilder items = new StringBuilder();
    String after = query.getOrDefault("since_rev", "");
    newest.forEach(
        (key, offset) -> {
          byte[] value = seen(query.get("topic"), log.get(offset).value(), addresses);
          if (value.length > 0 && key.compareTo(after) > 0) {
            items
                .append(items.length() == 0 ? "" : ",")
                .append("{\"key\":\"" + key + "\",\"value\":\"")
                .append(Base64.getEncoder().encodeToString(value))
                .append("\",\"offset\":" + offset + "}");
          }
        });
    return new Answer(
        200,
        Wire.bytes(
            "{\"items\":[" + items + "],\"more_pages\":false,\"end\":" + log.size() + "}"));
  }

  private static byte[] seen(String topic, byte[] value, UnaryOperator<String> addresses) {
    return topic.equals("keyed.processes") && value.length > 0
        ? Wire.bytes(addresses.apply(new String(value, StandardCharsets.UTF_8)))
        : value;
  }

  private synchronized Answer append(Map<String, String> query, byte[] body) {
    List<Entry> log = topic(query.get("topic"));
    int offset = log.size();
    ByteBuffer in = ByteBuffer.wrap(body);
    while (in.hasRemaining()) {
      int length = in.getInt();
      byte[] key = new byte[Byte.toUnsignedInt(in.get())];
      in.get(key);
      byte[] value = new byte[length - 1 - key.length];
      in.get(value);
      log.add(new Entry(new String(key, StandardCharsets.UTF_8), value));
    }
    notifyAll();
    return new Answer(
        200, Wire.bytes("{\"offset\":" + offset + ",\"end\":" + log.size() + "}"));
  }

  private static String field(String json, String name) {
    Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"?([^\",}]*)").matcher(json);
    return matcher.find() ? matcher.group(1) : "";
  }

  private Group group(String name) {
    return groups.computeIfAbsent(name, key -> new Group());
  }

  private synchronized Answer join(String body) {
    Group group = group(field(body, "group"));
    String member = field(body, "member");
    group.expire();
    long untilNanos = System.nanoTime() + Long.parseLong(field(body, "ttl_ms")) * 1_000_000;
    if (group.untilNanos.put(member, untilNanos) == null) {
      group.generation++;
    }
    StringBuilder rows = new StringBuilder();
    for (int part = 0; part < PARTITIONS; part++) {
      // A partition without a holder goes to the member that asks first, and stays there.
      if (group.holders.computeIfAbsent(part, key -> member).equals(member)) {
        rows.append(rows.length() == 0 ? "" : ",").append("[\"work\"," + part + ",0]");
      }
    }
    return new Answer(
        200, Wire.bytes("{\"generation\":" + group.generation + ",\"parts\":[" + rows + "]}"));
  }

  private synchronized Answer leave(String body) {
    Group group = group(field(body, "group"));
    if (group.untilNanos.remove(field(body, "member")) != null) {
      group.generation++;
    }
    group.expire();
    return new Answer(200, Wire.bytes("{}"));
  }

  private synchronized Answer owners(Map<String, String> query) {
    Group group = group(query.get("group"));
    group.expire();
    StringBuilder rows = new StringBuilder();
    group.holders.forEach(
        (part, holder) ->
            rows.append(rows.length() == 0 ? "" : ",")
                .append("[\"work\"," + part + ",\"" + holder + "\",0]"));
    return new Answer(200, Wire.bytes("{\"owners\":[" + rows + "]}"));
  }

  @Override
  public void close() throws IOException {
    listening.close();
    for (ServerSocket view : views) {
      view.close();
    }
  }
}
