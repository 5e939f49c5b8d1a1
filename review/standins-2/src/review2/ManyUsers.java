package review2;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Users come at once. Each opens a channel, sends one request and keeps the channel at rest, for no
 * longer than four fifths of the idle limit. Meanwhile a few other clients send requests one after
 * the other on channels that they keep.
 */
final class ManyUsers {
  private static final int MAX_FDS = 4_100;
  private static final int USERS = 4_600;
  private static final int USERS_A_SECOND = 420;
  private static final int CALM_USERS_A_SECOND = 40;
  private static final int STEADY_CLIENTS = 20;
  private static final int REST_MS = 12_000;
  private static final int AFTERWARDS_MS = 4_000;
  private static final int ALLOWED_LOST = 3;

  public static void main(String[] args) throws Exception {
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    int exit;
    try (Record record = new Record(Path.of(args[1]));
        Site site = new Site(Path.of(args[0]), record)) {
      exit = run(site, record, isTrouble);
    } catch (Exception e) {
      e.printStackTrace();
      exit = 2;
    }
    System.exit(exit);
  }

  private static int run(Site site, Record record, boolean isTrouble) throws Exception {
    site.startServers(3, 2, 300);
    site.putConfig(7);
    Edge edge = site.startEdge("front-1", MAX_FDS);
    record.write("the process is ready; trouble: " + isTrouble);
    Set<String> unanswered = ConcurrentHashMap.newKeySet();
    AtomicBoolean isOver = new AtomicBoolean();
    AtomicInteger steadyAnswered = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < STEADY_CLIENTS; i++) {
      clients.add(start(() -> sendSteadily(site, edge, isOver, unanswered, steadyAnswered)));
    }
    Thread.sleep(2_000);
    int count = isTrouble ? USERS : 8 * CALM_USERS_A_SECOND;
    int rate = isTrouble ? USERS_A_SECOND : CALM_USERS_A_SECOND;
    int answered = sendUsers(site, edge, count, rate, record);
    record.write("of " + count + " users at " + rate + " a second " + answered + " got a 200");
    Thread.sleep(AFTERWARDS_MS);
    boolean isReady = edge.isReady();
    isOver.set(true);
    for (Thread client : clients) {
      client.join(6_000);
    }
    Set<String> run = ConcurrentHashMap.newKeySet();
    site.arrivals.forEach(a -> run.add(a.request().field("Shoreroad-Attempt-Id")));
    unanswered.retainAll(run);
    boolean isAlive = edge.process().isAlive();
    record.write(
        "steady clients: " + steadyAnswered + " answers; " + unanswered.size()
            + " requests run by a server whose kept channel ended without an answer");
    record.write("the process " + (isAlive ? "runs" : "has ended by itself with "
        + edge.process().exitValue()) + "; ready: " + isReady);
    for (String line : edge.uncaught()) {
      record.write("its output: " + line);
    }
    boolean isBroken = unanswered.size() > ALLOWED_LOST;
    record.write(isBroken ? "LOST is broken" : "LOST is kept");
    if (!isTrouble && !isAlive) {
      return 2;
    }
    return isBroken ? 1 : 0;
  }

  private static Thread start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void sendSteadily(
      Site site, Edge edge, AtomicBoolean isOver, Set<String> unanswered, AtomicInteger answered) {
    while (!isOver.get()) {
      String id = "";
      try (Socket socket = Http.connect(edge.callers(), 1_000)) {
        socket.setSoTimeout(5_000);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (!isOver.get()) {
          id = site.nextId();
          socket.getOutputStream().write(Site.head("POST", "/b/1", id, "").getBytes());
          Http.Message answer = Http.read(in, false);
          if (answer == null) {
            unanswered.add(id);
            site.record.write("steady client: " + id + " ends without an answer");
            break;
          }
          id = "";
          answered.incrementAndGet();
          Thread.sleep(50);
        }
      } catch (Exception e) {
        if (!id.isEmpty()) {
          unanswered.add(id);
          site.record.write("steady client: " + id + " ends without an answer: " + e);
        }
        try {
          Thread.sleep(500);
        } catch (InterruptedException interrupt) {
          return;
        }
      }
    }
  }

  private static int sendUsers(Site site, Edge edge, int count, int rate, Record record)
      throws Exception {
    AtomicInteger next = new AtomicInteger();
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger failed = new AtomicInteger();
    long startNanos = System.nanoTime();
    List<Thread> senders = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      senders.add(
          start(
              () -> {
                for (int n = next.getAndIncrement(); n < count; n = next.getAndIncrement()) {
                  try {
                    long waitNanos = startNanos + n * 1_000_000_000L / rate - System.nanoTime();
                    Thread.sleep(Math.max(0, waitNanos / 1_000_000));
                    Socket socket = Http.connect(edge.callers(), 1_000);
                    socket.setSoTimeout(4_000);
                    String id = site.nextId();
                    socket.getOutputStream().write(Site.head("GET", "/a/1", id, "").getBytes());
                    Http.Message answer =
                        Http.read(new BufferedInputStream(socket.getInputStream()), false);
                    if (answer != null && answer.status() == 200) {
                      answered.incrementAndGet();
                    }
                    closeAfter(socket);
                  } catch (Exception e) {
                    if (failed.incrementAndGet() <= 5) {
                      record.write("user " + n + ": " + e);
                    }
                  }
                }
              }));
    }
    for (Thread sender : senders) {
      sender.join();
    }
    return answered.get();
  }

  private static void closeAfter(Socket socket) {
    java.util.concurrent.CompletableFuture.delayedExecutor(
            REST_MS, java.util.concurrent.TimeUnit.MILLISECONDS, Http.THREADS)
        .execute(
            () -> {
              try {
                socket.close();
              } catch (java.io.IOException e) {
                // It has ended before.
              }
            });
  }
}
