package review2;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A model runner that takes orders, reports its state at once, and answers streams at a head. */
final class ModelRunner implements AutoCloseable {
  private static final long WARM_MS = 1_100;
  private static final long FORM_MS = 300;
  private static final long REJOIN_MS = 200;
  private static final long LOAD_MS = 12_000;
  private static final long EARLY_LOAD_MS = LOAD_MS / 10;

  /** True once a request was served: loads before that take a tenth of the time. */
  private static volatile boolean hasServed;

  private final String id;
  private final String domain;
  private final Http.Server server;
  private int sequence;
  private String group = "";
  private long epoch;
  private String members = "";
  private long highestEpoch;
  private long highestFence;
  private int rank;
  private String model = "";
  private String staged = "";
  private String state = "";
  private String nextState = "";
  private long nextStateMs;
  private long stagedMs;

  ModelRunner(String id, String domain) throws Exception {
    // No port of outgoing connections, since one of these could take it while the runner is down.
    this(id, domain, Edge.Ports.next(), "");
  }

  /** Creates a runner on a port, whose host holds the weights of a model. */
  private ModelRunner(String id, String domain, int port, String staged) throws Exception {
    this.id = id;
    this.domain = domain;
    this.staged = staged;
    this.server = new Http.Server("127.0.0.1", port, this::answer);
  }

  /** Starts a new lifetime on the same host, after this one has crashed. */
  ModelRunner restart(String newId) throws Exception {
    boolean isLoaded = System.currentTimeMillis() >= stagedMs;
    String address = server.address();
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    return new ModelRunner(newId, domain, port, isLoaded ? staged : "");
  }

  String id() {
    return id;
  }

  /** Returns the entry in the store. */
  synchronized String entry(int beat) {
    return "{\"service\":\"huvo11a\",\"address\":\"" + server.address()
        + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":18,\"state\":\"ready\","
        + "\"cold_remaining_ms\":0," + status() + ",\"sequence\":" + beat + "}";
  }

  private String status() {
    settle();
    String shownGroup =
        group.isEmpty()
            ? ""
            : ",\"group\":{\"name\":\"" + group + "\",\"epoch\":" + epoch + ",\"rank\":" + rank
                + ",\"state\":\"" + state + "\"}";
    boolean isShown = !model.isEmpty() && !group.isEmpty() && !state.equals("joining");
    String models =
        isShown ? "{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}" : "";
    String onHost =
        staged.isEmpty() || System.currentTimeMillis() < stagedMs ? "" : "\"" + staged + "\"";
    return "\"stage\":\"mixed\",\"models\":[" + models + "],\"domain\":\"" + domain
        + "\",\"staged\":[" + onHost + "]" + shownGroup;
  }

  private void settle() {
    if (!nextState.isEmpty() && System.currentTimeMillis() >= nextStateMs) {
      state = nextState;
      nextState = "";
    }
  }

  private void become(String next, long afterMs) {
    nextState = next;
    nextStateMs = System.currentTimeMillis() + afterMs;
  }

  private synchronized Http.Answer answer(Http.Message request) {
    if (!request.field("Shoreroad-Expect-Instance").equals(id)) {
      return Http.Answer.of(421, "").with("Shoreroad-Instance-Id", id);
    }
    if (request.target().equals("/-/report")) {
      return Http.Answer.of(
          200,
          "{" + status() + ",\"busy\":false,\"sequence\":" + sequence
              + ",\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":969230,\"handles\":0}");
    }
    if (request.target().equals("/-/order")) {
      int status = order(new String(request.body(), StandardCharsets.UTF_8));
      return Http.Answer.of(status, "");
    }
    settle();
    if (!state.equals("open") || rank != 0 || !model.equals(request.field("Shoreroad-Model"))) {
      return Http.Answer.of(421, "").with("Shoreroad-Instance-Id", id);
    }
    hasServed = true;
    StringBuilder events = new StringBuilder();
    for (int i = 1; i <= 5; i++) {
      events.append("id: " + i + "\ndata: token\n\n");
    }
    return Http.Answer.of(200, events.toString())
        .with("Content-Type", "text/event-stream")
        .with("Shoreroad-Attempt-Id", request.field("Shoreroad-Attempt-Id"))
        .with("Shoreroad-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
        .with("Shoreroad-Weight-Versions", "1");
  }

  private static long loadMs() {
    return hasServed ? LOAD_MS : EARLY_LOAD_MS;
  }

  private int order(String body) {
    settle();
    if (number(body, "fence") < highestFence) {
      return 412;
    }
    highestFence = number(body, "fence");
    String op = text(body, "op");
    if (op.equals("stage")) {
      staged = text(body, "model");
      stagedMs = System.currentTimeMillis() + loadMs();
      sequence++;
      return 202;
    }
    long orderedEpoch = number(body, "epoch");
    String name = text(body, "group");
    if (op.equals("join")) {
      if (orderedEpoch < highestEpoch) {
        return 412;
      }
      String ordered = body.substring(body.indexOf("\"members\""));
      if (name.equals(group) && orderedEpoch == epoch) {
        return ordered.equals(members) ? 200 : 412;
      }
      boolean isSame = text(body, "model").equals(model);
      boolean isStaged = text(body, "model").equals(staged);
      long waitMs = Math.max(0, stagedMs - System.currentTimeMillis());
      group = name;
      epoch = orderedEpoch;
      highestEpoch = orderedEpoch;
      model = text(body, "model");
      if (!isSame && !isStaged) {
        staged = model;
        stagedMs = System.currentTimeMillis() + loadMs();
      }
      members = ordered;
      rank = (int) members.substring(0, members.indexOf("\"" + id + "\"")).chars()
          .filter(c -> c == ',').count();
      state = "joining";
      become("ready", isSame ? REJOIN_MS : isStaged ? waitMs + WARM_MS : loadMs());
      sequence++;
      return 202;
    }
    if (!name.equals(group) || orderedEpoch != epoch) {
      return 409;
    }
    switch (op) {
      case "open":
        if (!state.equals("ready")) {
          return state.equals("open") ? 200 : 409;
        }
        become("open", FORM_MS);
        sequence++;
        return 202;
      case "close":
        if (!state.equals("open") && !nextState.equals("open")) {
          return 200;
        }
        state = "ready";
        nextState = "";
        sequence++;
        return 202;
      case "leave":
        group = "";
        state = "";
        nextState = "";
        sequence++;
        return 202;
      default:
        return 400;
    }
  }

  private static String text(String json, String field) {
    Matcher found = Pattern.compile("\"" + field + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
    return found.find() ? found.group(1) : "";
  }

  private static long number(String json, String field) {
    Matcher found = Pattern.compile("\"" + field + "\"\\s*:\\s*(-?\\d+)").matcher(json);
    return found.find() ? Long.parseLong(found.group(1)) : 0;
  }

  @Override
  public void close() throws Exception {
    server.close();
  }
}
