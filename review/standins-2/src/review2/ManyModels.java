package review2;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A manifest declares some models, whose runners stand in one domain. All runners of the domain crash
 * and come back. Meanwhile clients of the plain service wait a little longer than their route's
 * timeout for each answer.
 */
final class ManyModels {
  private static final int ROUTE_TIMEOUT_MS = 4_000;
  private static final int SLACK_MS = 500;
  private static final int MIN_REQUESTS = 8;
  private static final int CLIENTS = 12;
  private static final int DOWN_MS = 4_500;
  private static final int RUN_MS = 17_000;
  private static final int WARM_UP_MS = 14_000;
  private static final int CRASHES = 3;

  public static void main(String[] args) throws Exception {
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    int models = Integer.parseInt(args[2]);
    int size = Integer.parseInt(args[3]);
    int runners = Integer.parseInt(args[4]);
    int exit;
    try (Record record = new Record(Path.of(args[1]));
        Site site = new Site(Path.of(args[0]), record)) {
      exit = run(site, record, models, size, runners, isTrouble);
    } catch (Exception e) {
      e.printStackTrace();
      exit = 2;
    }
    System.exit(exit);
  }

  private static int run(
      Site site, Record record, int models, int size, int runners, boolean isTrouble)
      throws Exception {
    site.startServers(3, 5, 5);
    site.startModelRunners(runners, "z1-d0");
    site.putConfigWithEngine(7, models, size);
    record.write("the manifest declares " + models + " models of " + size + " runners; there are "
        + runners + " runners in one domain");
    Edge edge = site.startEdge("front-1", 0);
    AtomicBoolean isOver = new AtomicBoolean();
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger due = new AtomicInteger();
    AtomicInteger late = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(start(() -> send(site, edge, record, isOver, answered, due, late)));
    }
    start(() -> probe(edge, record, isOver));
    AtomicInteger streams = new AtomicInteger();
    for (int i = 0; i < models; i++) {
      int model = i;
      clients.add(start(() -> stream(site, edge, model, isOver, streams)));
    }
    Thread.sleep(WARM_UP_MS);
    record.write(streams.get() + " streams were answered so far");
    for (int i = 0; i < CRASHES; i++) {
      if (isTrouble) {
        record.write("all runners of the domain crash for " + DOWN_MS + " ms");
        site.crashModelRunners(DOWN_MS);
        record.write("they are back");
      }
      Thread.sleep(RUN_MS);
      record.write(streams.get() + " streams were answered so far");
    }
    isOver.set(true);
    for (Thread client : clients) {
      client.join(8_000);
    }
    record.write("the process " + (edge.process().isAlive() ? "runs" : "has ended by itself"));
    record.write("plain requests: " + answered + " answered in time; " + due
        + " unanswered at the route's timeout of " + ROUTE_TIMEOUT_MS + " ms, " + late
        + " of these without an answer " + SLACK_MS + " ms later");
    boolean isBroken = late.get() >= MIN_REQUESTS && 2 * late.get() > due.get();
    record.write(isBroken ? "CONFIG is broken" : "CONFIG is kept");
    return isBroken ? 1 : 0;
  }

  private static Thread start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void send(
      Site site,
      Edge edge,
      Record record,
      AtomicBoolean isOver,
      AtomicInteger answered,
      AtomicInteger due,
      AtomicInteger late) {
    while (!isOver.get()) {
      String id = site.nextId();
      long startNanos = System.nanoTime();
      boolean hasAnswer = false;
      try (Socket socket = Http.connect(edge.callers(), 1_000)) {
        socket.setSoTimeout(ROUTE_TIMEOUT_MS + SLACK_MS);
        socket.getOutputStream().write(Site.head("GET", "/a/1", id, "").getBytes());
        InputStream in = new BufferedInputStream(socket.getInputStream());
        hasAnswer = Http.read(in, false) != null;
      } catch (Exception e) {
        // Counted below.
      }
      long tookMs = (System.nanoTime() - startNanos) / 1_000_000;
      if (tookMs >= ROUTE_TIMEOUT_MS) {
        due.incrementAndGet();
        if (!hasAnswer) {
          late.incrementAndGet();
          record.write("client: " + id + " has no answer after " + tookMs + " ms");
        }
      } else if (hasAnswer) {
        answered.incrementAndGet();
      }
      try {
        Thread.sleep(150);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void stream(
      Site site, Edge edge, int model, AtomicBoolean isOver, AtomicInteger answered) {
    while (!isOver.get()) {
      String more =
          "Shoreroad-Model: daka51" + String.format("%04d", model)
              + "\r\nShoreroad-Token-Count: 100,25\r\nShoreroad-Prompt-Prefix: 5c1e07a2:100\r\n";
      Http.Message answer =
          Http.call(edge.callers(), Site.head("POST", "/s/1", site.nextId(), more), 4_500);
      if (answer != null && answer.status() == 200) {
        answered.incrementAndGet();
      }
      try {
        Thread.sleep(300);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void probe(Edge edge, Record record, AtomicBoolean isOver) {
    while (!isOver.get()) {
      long startNanos = System.nanoTime();
      boolean isReady = edge.isReady();
      long tookMs = (System.nanoTime() - startNanos) / 1_000_000;
      if (!isReady || tookMs > 500) {
        record.write("ready: " + isReady + " after " + tookMs + " ms");
      }
      try {
        Thread.sleep(1_000);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
