package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against one process that has to serve most new connections of a site alone. */
@Timeout(60)
class UnevenConnectionsTest {
  private static final int PROCESSES = 4;
  private static final int GAP_MS = 7;
  private static final int EVEN_MS = 2_000;
  private static final int UNEVEN_MS = 6_000;
  private static final double MIN_SERVED = 0.75;

  /** Half of what the process would receive without a limit. */
  private static final double MAX_SHARE = 0.5;

  /** Time within which the limit must be in force. */
  private static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final AtomicInteger ids = new AtomicInteger();
  private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
  private final ExecutorService callers = Executors.newCachedThreadPool();

  /** A caller's tries: an unread one is followed by one at another process. */
  private record Call(long sentNanos, boolean isReadFirst, CrashingPartSite.Result answer) {}

  private void call(CrashingPartSite site, EdgeSite.Member first, EdgeSite.Member second) {
    long sentNanos = System.nanoTime();
    int number = ids.incrementAndGet();
    CrashingPartSite.Result result = site.call(first, "p:9", "a" + number);
    boolean isRead = result.status() != 0;
    calls.add(
        new Call(sentNanos, isRead, isRead ? result : site.call(second, "p:9", "b" + number)));
  }

  @Test
  void otherProcessesServeWhenOneReceivesMostNewConnections() throws Exception {
    ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    try (CrashingPartSite site = new CrashingPartSite(PROCESSES, Set.of())) {
      List<EdgeSite.Member> processes = site.site().members();
      AtomicInteger count = new AtomicInteger();
      long unevenNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(EVEN_MS);
      timer.scheduleAtFixedRate(
          () -> {
            int number = count.getAndIncrement();
            boolean isEven = System.nanoTime() - unevenNanos < 0 || number % 20 == 0;
            EdgeSite.Member first = processes.get(isEven ? number % PROCESSES : 0);
            EdgeSite.Member second = processes.get(1 + number % (PROCESSES - 1));
            callers.execute(() -> call(site, first, second));
          },
          0,
          GAP_MS,
          TimeUnit.MILLISECONDS);
      Thread.sleep(EVEN_MS + UNEVEN_MS);
      timer.shutdown();
      callers.shutdown();
      callers.awaitTermination(EdgeSite.DEADLINE_MS, TimeUnit.MILLISECONDS);
      checkEven(unevenNanos);
      checkUneven(unevenNanos + CONTACT_NANOS);
    } finally {
      timer.shutdownNow();
    }
  }

  private void checkEven(long untilNanos) {
    long unread =
        calls.stream()
            .filter(call -> call.sentNanos() - untilNanos < 0 && !call.isReadFirst())
            .count();
    assertThat("unread while the load was even", unread, is(0L));
  }

  private void checkUneven(long fromNanos) {
    List<Call> judged = calls.stream().filter(call -> call.sentNanos() - fromNanos > 0).toList();
    long served = judged.stream().filter(call -> call.answer().isServed()).count();
    long readFirst = judged.stream().filter(Call::isReadFirst).count();
    assertThat("calls", judged.size(), greaterThan(100));
    assertThat(
        "served of " + judged.size(),
        (double) served / judged.size(),
        greaterThanOrEqualTo(MIN_SERVED));
    assertThat(
        "read by the first process, of " + judged.size(),
        (double) readFirst / judged.size(),
        is(allOf(greaterThan(0.0), lessThan(1.0), lessThanOrEqualTo(MAX_SHARE))));
  }
}
