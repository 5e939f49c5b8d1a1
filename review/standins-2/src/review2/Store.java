package review2;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store: keyed topics of one partition, and groups of members. */
final class Store {
  private record Row(String key, byte[] value) {}

  private static final class Member {
    long aliveUntilMs;
    long generation;
  }

  private static final class Group {
    long generation;
    String owner = "";
    final Map<String, Member> members = new LinkedHashMap<>();
  }

  private final Map<String, List<Row>> topics = new HashMap<>();
  private final Map<String, Group> groups = new HashMap<>();
  private final Http.Server server;

  Store() throws IOException {
    server = new Http.Server("127.0.0.1", 0, this::answer);
  }

  String address() {
    return server.address();
  }

  /** Writes a record; returns when it is acknowledged. */
  synchronized long put(String topic, String key, String value) {
    List<Row> rows = topics.computeIfAbsent(topic, name -> new ArrayList<>());
    rows.add(new Row(key, value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8)));
    notifyAll();
    return rows.size() - 1;
  }

  private Http.Answer answer(Http.Message request) throws Exception {
    String path = request.target().split("\\?")[0];
    switch (path) {
      case "/-/log-append":
        return append(request);
      case "/-/log-read":
        return read(request);
      case "/-/log-newest":
        return newest(request);
      case "/-/log-join":
        return join(new String(request.body(), StandardCharsets.UTF_8));
      case "/-/log-leave":
        return leave(new String(request.body(), StandardCharsets.UTF_8));
      case "/-/log-owners":
        return owners(request.query("group"));
      case "/-/log-trim":
        return Http.Answer.of(200, "{}");
      default:
        return Http.Answer.of(404, "{}");
    }
  }

  private synchronized Http.Answer append(Http.Message request) {
    List<Row> rows = topics.computeIfAbsent(request.query("topic"), name -> new ArrayList<>());
    long offset = rows.size();
    ByteBuffer in = ByteBuffer.wrap(request.body());
    while (in.remaining() >= 4) {
      byte[] record = new byte[in.getInt()];
      in.get(record);
      int keyLength = record[0] & 0xff;
      byte[] value = new byte[record.length - 1 - keyLength];
      System.arraycopy(record, 1 + keyLength, value, 0, value.length);
      rows.add(new Row(new String(record, 1, keyLength, StandardCharsets.UTF_8), value));
    }
    notifyAll();
    return Http.Answer.of(200, "{\"offset\":" + offset + ",\"end\":" + rows.size() + "}");
  }

  private synchronized Http.Answer read(Http.Message request) throws Exception {
    List<Row> rows = topics.computeIfAbsent(request.query("topic"), name -> new ArrayList<>());
    int from = Integer.parseInt(request.query("from"));
    long wait = request.query("wait_ms").isEmpty() ? 0 : Long.parseLong(request.query("wait_ms"));
    long untilMs = System.currentTimeMillis() + Math.min(30_000, wait);
    while (rows.size() <= from && System.currentTimeMillis() < untilMs) {
      wait(Math.max(1, untilMs - System.currentTimeMillis()));
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeLong(rows.size());
    out.writeLong(0);
    for (int i = from; i < rows.size(); i++) {
      byte[] key = rows.get(i).key().getBytes(StandardCharsets.UTF_8);
      out.writeInt(1 + key.length + rows.get(i).value().length);
      out.writeByte(key.length);
      out.write(key);
      out.write(rows.get(i).value());
    }
    return new Http.Answer(200, new TreeMap<>(), bytes.toByteArray());
  }

  private synchronized Http.Answer newest(Http.Message request) {
    List<Row> rows = topics.computeIfAbsent(request.query("topic"), name -> new ArrayList<>());
    TreeMap<String, Integer> newest = new TreeMap<>();
    for (int i = 0; i < rows.size(); i++) {
      if (rows.get(i).value().length == 0) {
        newest.remove(rows.get(i).key());
      } else {
        newest.put(rows.get(i).key(), i);
      }
    }
    StringBuilder items = new StringBuilder();
    String after = request.query("since_rev");
    int count = 0;
    boolean hasMore = false;
    for (Map.Entry<String, Integer> entry : newest.tailMap(after, false).entrySet()) {
      if (count == 500) {
        hasMore = true;
        break;
      }
      items
          .append(count++ == 0 ? "" : ",")
          .append("{\"key\":\"" + entry.getKey() + "\",\"value\":\"")
          .append(Base64.getEncoder().encodeToString(rows.get(entry.getValue()).value()))
          .append("\",\"offset\":" + entry.getValue() + "}");
    }
    return Http.Answer.of(
        200,
        "{\"items\":[" + items + "],\"more_pages\":" + hasMore + ",\"end\":" + rows.size() + "}");
  }

  private static String text(String json, String field) {
    Matcher found = Pattern.compile("\"" + field + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
    return found.find() ? found.group(1) : "";
  }

  private static long number(String json, String field) {
    Matcher found = Pattern.compile("\"" + field + "\"\\s*:\\s*(-?\\d+)").matcher(json);
    return found.find() ? Long.parseLong(found.group(1)) : 0;
  }

  private void settle(Group group) {
    long nowMs = System.currentTimeMillis();
    boolean isChanged = group.members.values().removeIf(member -> member.aliveUntilMs < nowMs);
    if (isChanged) {
      group.generation++;
    }
    if (!group.members.containsKey(group.owner)) {
      group.owner = group.members.isEmpty() ? "" : group.members.keySet().iterator().next();
    }
  }

  private synchronized Http.Answer join(String body) {
    Group group = groups.computeIfAbsent(text(body, "group"), name -> new Group());
    settle(group);
    String name = text(body, "member");
    Member member = group.members.get(name);
    if (member == null) {
      member = new Member();
      group.members.put(name, member);
      group.generation++;
    }
    member.aliveUntilMs = System.currentTimeMillis() + number(body, "ttl_ms");
    settle(group);
    String parts = group.owner.equals(name) ? "[\"work\",0,0]" : "";
    return Http.Answer.of(
        200, "{\"generation\":" + group.generation + ",\"ttl_ms\":2000,\"parts\":[" + parts + "]}");
  }

  private synchronized Http.Answer leave(String body) {
    Group group = groups.computeIfAbsent(text(body, "group"), name -> new Group());
    if (group.members.remove(text(body, "member")) != null) {
      group.generation++;
    }
    settle(group);
    return Http.Answer.of(200, "{}");
  }

  private synchronized Http.Answer owners(String name) {
    Group group = groups.computeIfAbsent(name, key -> new Group());
    settle(group);
    String rows = group.owner.isEmpty() ? "" : "[\"work\",0,\"" + group.owner + "\",0]";
    return Http.Answer.of(200, "{\"owners\":[" + rows + "]}");
  }
}
