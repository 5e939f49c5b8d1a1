package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A model runner that joins groups by orders and answers requests with a JSON object. While it
 * garbles, it gives some answers a second time, late, in the spot where the next answer on the
 * channel is due. Its state is guarded by the fabric.
 */
final class GroupRunner implements AutoCloseable {
  static final int SLOTS = 18;
  static final double WARM_S = 1.1;
  static final double LOAD_S = 12.0;
  static final int REPORT_LAG_MS = 200;

  private static final int REJOIN_MS = 200;
  private static final int FORM_MS = 300;
  private static final int HEARTBEAT_MS = 1_200;

  /** Loads before the first request take a tenth of the time. */
  private static final double INITIAL_FACTOR = 0.1;

  /** The share of its answers that a runner may give twice while it garbles. */
  private static final double EXTRA_SHARE = 0.03;

  /** The least time between two answers that are given twice. */
  private static final int EXTRA_PAUSE_MS = 150;

  private final Fabric fabric;
  private final String id;
  private final String service;
  private final String domain;
  private final Store store;
  private final ServerSocket listening;
  private final Deque<Report> reports = new ArrayDeque<>();
  private final SplittableRandom random;
  private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
  private Fabric.Membership membership;
  private String lastModel = "";
  private String staged = "";
  private long seenEpoch;
  private long seenFence;
  private int sequence;
  private int active;
  private boolean hasServed;
  private boolean isDraining;
  private boolean isGarbling;
  private double extraCredit;
  private long lastExtraMs;
  private volatile boolean isEnded;
  private volatile boolean isCutFromStore;
  private volatile boolean isCutFromMachines;

  /** A report with the time from which on it is told. */
  private record Report(long sinceMs, String json) {}

  GroupRunner(Fabric fabric, String id, String service, String domain, Store store)
      throws IOException {
    this.fabric = fabric;
    this.id = id;
    this.service = service;
    this.domain = domain;
    this.store = store;
    this.random = new SplittableRandom(id.hashCode());
    listening = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    synchronized (fabric) {
      fabric.add(this);
      changed();
    }
    Threads.daemon("runner " + id, this::accept);
    Threads.daemon("heartbeat " + id, this::beat);
    Threads.daemon("group " + id, this::watch);
  }

  String id() {
    return id;
  }

  String domain() {
    return domain;
  }

  /** To be called under the lock of the fabric. */
  Fabric.Membership membership() {
    return membership;
  }

  int active() {
    return active;
  }

  void setGarbling(boolean garbling) {
    synchronized (fabric) {
      isGarbling = garbling;
      extraCredit = 0;
    }
  }

  /** Announces its end; it serves on. */
  void drain() {
    synchronized (fabric) {
      isDraining = true;
      changed();
    }
  }

  /** Cuts it off from the store, so that its entry lapses after three heartbeats. */
  void cutFromStore(boolean isCut) {
    isCutFromStore = isCut;
    if (isCut) {
      Threads.daemon(
          "lapse",
          () -> {
            Thread.sleep(3 * HEARTBEAT_MS);
            if (isCutFromStore) {
              store.put("keyed.servers", id, null);
            }
          });
    }
  }

  /** Cuts it off from all machines: nothing passes, neither on open channels nor on new ones. */
  void cutFromMachines(boolean isCut) {
    isCutFromMachines = isCut;
  }

  private void beat() throws InterruptedException {
    while (!isEnded) {
      synchronized (fabric) {
        writeEntry();
      }
      Thread.sleep(HEARTBEAT_MS);
    }
  }

  private void writeEntry() {
    if (isEnded || isCutFromStore) {
      return;
    }
    store.put(
        "keyed.servers",
        id,
        "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + listening.getLocalPort()
            + "\",\"zone\":\"hall-a\",\"version\":\"1\",\"slots\":" + SLOTS + ",\"state\":\""
            + (isDraining ? "draining" : "ready") + "\",\"cold_remaining_ms\":0," + state()
            + ",\"sequence\":" + sequence + "}");
  }

  private String state() {
    Fabric.Membership own = membership;
    boolean isLoaded = own != null && own.state != Fabric.State.JOINING;
    return "\"stage\":\"mixed\",\"models\":["
        + (isLoaded ? "{\"name\":\"" + own.model + "\",\"version\":1,\"adapters\":[]}" : "")
        + "],\"domain\":\"" + domain + "\",\"staged\":["
        + (staged.isEmpty() ? "" : "\"" + staged + "\"") + "]"
        + (own == null
            ? ""
            : ",\"group\":{\"name\":\"" + own.group + "\",\"epoch\":" + own.epoch + ",\"rank\":"
                + own.rank + ",\"state\":\"" + own.state.name().toLowerCase() + "\"}");
  }

  /** Records a change for the reports and writes the entry; called under the lock. */
  private void changed() {
    reports.addLast(
        new Report(
            Threads.nowMs(),
            "{" + state() + ",\"busy\":false,\"sequence\":" + sequence + ",\"queued\":0,\"active\":"
                + active + ",\"kv_used\":0,\"kv_total\":969230,\"handles\":0}"));
    writeEntry();
  }

  private String laggingReport() {
    synchronized (fabric) {
      long untilMs = Threads.nowMs() - REPORT_LAG_MS;
      while (reports.size() > 1) {
        Report first = reports.removeFirst();
        if (reports.peekFirst().sinceMs() > untilMs) {
          reports.addFirst(first);
          break;
        }
      }
      return reports.peekFirst().json();
    }
  }

  /** Ends a closing after its work, and breaks a group that stands still for too long. */
  private void watch() throws InterruptedException {
    while (!isEnded) {
      synchronized (fabric) {
        Fabric.Membership own = membership;
        if (own != null && own.rank == 0 && own.isServing()) {
          if (fabric.isWhole(own)) {
            own.standsSinceMs = 0;
          } else if (own.standsSinceMs == 0) {
            own.standsSinceMs = Threads.nowMs();
          } else if (Threads.nowMs() - own.standsSinceMs > Fabric.STALL_MS) {
            own.state = Fabric.State.BROKEN;
            changed();
          }
          if (own.state == Fabric.State.CLOSING && active == 0) {
            own.state = Fabric.State.READY;
            changed();
          }
        }
      }
      Thread.sleep(10);
    }
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = listening.accept();
      channels.add(socket);
      Threads.daemon("runner channel", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws Exception {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      byte[] extra = null;
      for (Wire.Head head = Wire.readHead(in); head != null; head = Wire.readHead(in)) {
        byte[] body = Wire.readBody(in, head);
        awaitPath();
        if (extra != null) {
          fabric.note(id + " gives its former answer again before it answers " + head.line());
          out.write(extra);
          out.flush();
          extra = null;
        }
        String path = head.line().split(" ")[1];
        boolean isForOther = !head.header("Shoreroad-Expect-Instance").equals(id);
        if (isForOther) {
          out.write(answer(421, "Shoreroad-Not-Executed: 1\r\n", ""));
        } else if (path.equals("/-/report")) {
          out.write(answer(200, "Content-Type: application/json\r\n", laggingReport()));
        } else if (path.equals("/-/order")) {
          out.write(answer(order(new String(body, StandardCharsets.UTF_8)), "", ""));
        } else {
          byte[] answer = run(head);
          awaitPath();
          out.write(answer);
          extra = takeExtra() ? answer : null;
        }
        out.flush();
      }
    } finally {
      channels.remove(socket);
    }
  }

  private void awaitPath() throws InterruptedException {
    while (isCutFromMachines) {
      Thread.sleep(20);
    }
  }

  /** Returns true if the answer that is sent now is given again; those of a closing head first. */
  private boolean takeExtra() {
    synchronized (fabric) {
      if (!isGarbling) {
        return false;
      }
      extraCredit += EXTRA_SHARE;
      boolean isClosing = membership != null && membership.state == Fabric.State.CLOSING;
      boolean isSpaced = Threads.nowMs() - lastExtraMs >= EXTRA_PAUSE_MS;
      if (extraCredit >= 1 && isClosing && isSpaced) {
        extraCredit -= 1;
        lastExtraMs = Threads.nowMs();
        return true;
      }
      return false;
    }
  }

  private static byte[] answer(int status, String headers, String body) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    byte[] content = Wire.bytes(body);
    bytes.write(
        Wire.bytes(
            "HTTP/1.1 " + status + " -\r\n" + headers + "Content-Length: " + content.length
                + "\r\n\r\n"));
    bytes.write(content);
    return bytes.toByteArray();
  }

  /** Runs a request at the head of an open group, and returns the answer. */
  private byte[] run(Wire.Head head) throws Exception {
    String attempt = head.header("Shoreroad-Attempt-Id");
    String echo = "Shoreroad-Attempt-Id: " + attempt + "\r\n";
    Fabric.Membership own;
    synchronized (fabric) {
      own = membership;
      if (own == null || own.rank != 0) {
        return answer(421, echo + "Shoreroad-Not-Executed: 1\r\n", "");
      }
      if (own.state != Fabric.State.OPEN
          || active >= SLOTS
          || !head.header("Shoreroad-Model").equals(own.model)) {
        return answer(503, echo + "Shoreroad-Not-Executed: 1\r\n", "");
      }
      active++;
      hasServed = true;
    }
    try {
      long endMs = Threads.nowMs() + workMs();
      boolean isMoving = true;
      while (Threads.nowMs() < endMs || !isMoving) {
        Thread.sleep(5);
        synchronized (fabric) {
          if (isEnded || membership != own || own.state == Fabric.State.BROKEN) {
            throw new IOException("the group is lost");
          }
          isMoving = fabric.isWhole(own);
        }
      }
      return answer(
          200,
          echo + "Shoreroad-Response-Seal: " + id + "." + attempt
              + "\r\nShoreroad-Weight-Versions: 1\r\nContent-Type: application/json\r\n",
          "{\"answer\":\"text for " + attempt + "\"}");
    } finally {
      synchronized (fabric) {
        active--;
      }
    }
  }

  /** Four of five answers are short, the others are long. */
  private int workMs() {
    synchronized (fabric) {
      return random.nextInt(5) > 0 ? 100 + random.nextInt(200) : 2_000 + random.nextInt(1_000);
    }
  }

  private static String text(String json, String name) {
    Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
    return matcher.find() ? matcher.group(1) : "";
  }

  private static long number(String json, String name) {
    Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*(\\d+)").matcher(json);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
  }

  private int order(String json) {
    synchronized (fabric) {
      int status = execute(json);
      fabric.note(id + " answers " + status + " to " + json);
      return status;
    }
  }

  private int execute(String json) {
    long fence = number(json, "fence");
    if (fence < seenFence) {
      return 412;
    }
    seenFence = fence;
    String op = text(json, "op");
    String model = text(json, "model");
    if (op.equals("stage")) {
      sequence++;
      later(loadMs(LOAD_S), () -> staged = model);
      return 202;
    }
    if (op.equals("join")) {
      return join(json, model);
    }
    Fabric.Membership own = membership;
    if (own == null
        || !own.group.equals(text(json, "group"))
        || own.epoch != number(json, "epoch")) {
      return 409;
    }
    switch (op) {
      case "open":
        if (own.rank != 0 || own.state != Fabric.State.READY) {
          return own.state == Fabric.State.OPEN ? 200 : 409;
        }
        sequence++;
        later(
            FORM_MS,
            () -> {
              if (membership == own && own.state == Fabric.State.READY) {
                own.state = Fabric.State.OPEN;
              }
            });
        return 202;
      case "close":
        if (own.state == Fabric.State.OPEN || own.state == Fabric.State.CLOSING) {
          sequence++;
          boolean isNow = text(json, "mode").equals("preempt");
          own.state = isNow ? Fabric.State.READY : Fabric.State.CLOSING;
          changed();
          return 202;
        }
        return own.state == Fabric.State.READY ? 200 : 409;
      case "leave":
        sequence++;
        membership = null;
        changed();
        return 202;
      default:
        return 400;
    }
  }

  private int join(String json, String model) {
    long epoch = number(json, "epoch");
    String group = text(json, "group");
    List<String> members = new ArrayList<>();
    String list = json.substring(json.indexOf("\"members\""));
    Matcher matcher =
        Pattern.compile("\"([^\"]*)\"")
            .matcher(list.substring(list.indexOf('['), list.indexOf(']')));
    while (matcher.find()) {
      members.add(matcher.group(1));
    }
    Fabric.Membership next =
        new Fabric.Membership(group, epoch, members, members.indexOf(id), model);
    Fabric.Membership own = membership;
    if (own != null && own.key().equals(next.key())) {
      return 200;
    }
    if (epoch < seenEpoch || (own != null && own.group.equals(group) && own.epoch == epoch)) {
      return 412;
    }
    if (own != null) {
      fabric.checkTwo(this, own, next);
    }
    seenEpoch = epoch;
    sequence++;
    membership = next;
    changed();
    long joinMs =
        model.equals(lastModel)
            ? REJOIN_MS
            : model.equals(staged) ? (long) (WARM_S * 1_000) : loadMs(LOAD_S);
    later(
        joinMs,
        () -> {
          if (membership == next) {
            next.state = Fabric.State.READY;
            lastModel = model;
            staged = model;
          }
        });
    return 202;
  }

  private long loadMs(double seconds) {
    return (long) (seconds * 1_000 * (hasServed ? 1 : INITIAL_FACTOR));
  }

  private void later(long delayMs, Runnable change) {
    Threads.daemon(
        "later",
        () -> {
          Thread.sleep(delayMs);
          synchronized (fabric) {
            change.run();
            changed();
          }
        });
  }

  /** Ends the runner after a planned end: its entry goes with it. */
  @Override
  public void close() throws IOException {
    isEnded = true;
    synchronized (fabric) {
      fabric.remove(this);
    }
    store.put("keyed.servers", id, null);
    listening.close();
    for (Socket socket : channels) {
      socket.close();
    }
  }
}
