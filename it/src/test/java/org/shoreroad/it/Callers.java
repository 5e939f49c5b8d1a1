package org.shoreroad.it;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Many callers at once, each with its own requests, until told to stop or after so many calls. */
final class Callers implements AutoCloseable {
  private static final int MAX_CALLS_EACH = 400;

  private final Site site;
  private final List<Thread> threads = new ArrayList<>();
  private final List<CallerOutcome> outcomes = new CopyOnWriteArrayList<>();
  private final AtomicInteger nextPrompt = new AtomicInteger();
  private volatile boolean isStopping;

  private Callers(Site site) {
    this.site = site;
  }

  /** Starts callers; every other request is not repeatable and is sent to two daemons at once. */
  static Callers start(Site site, int count, long seed) {
    Callers callers = new Callers(site);
    for (int i = 0; i < count; i++) {
      Random random = new Random(seed + i);
      Thread thread = new Thread(() -> callers.run(random), "caller");
      thread.setDaemon(true);
      callers.threads.add(thread);
      thread.start();
    }
    return callers;
  }

  private void run(Random random) {
    for (int i = 0; i < MAX_CALLS_EACH && !isStopping; i++) {
      String prompt = "p" + nextPrompt.incrementAndGet();
      int tokens = 1 + random.nextInt(30);
      String body = Site.body(prompt, tokens, random.nextBoolean());
      int daemon = random.nextInt(site.callerUrls.size());
      if (random.nextBoolean()) {
        outcomes.add(
            new CallerOutcome(prompt, tokens, true, site.chat(daemon, "lookup", "", body)));
      } else {
        String key = Site.newKey();
        int other = random.nextInt(site.callerUrls.size());
        Thread twin = new Thread(() -> callOnce(prompt, tokens, other, key, body));
        twin.start();
        callOnce(prompt, tokens, daemon, key, body);
        join(twin);
      }
    }
  }

  private void callOnce(String prompt, int tokens, int daemon, String key, String body) {
    Site.Answer answer = site.chat(daemon, "bulletin", key, body);
    outcomes.add(new CallerOutcome(prompt, tokens, false, answer));
  }

  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns how many calls were answered whole so far. */
  long wholeCount() {
    return outcomes.stream().filter(o -> o.answer().isWhole()).count();
  }

  /** Ends the callers after their current calls and returns what all of them got. */
  List<CallerOutcome> stop() {
    isStopping = true;
    threads.forEach(Callers::join);
    return List.copyOf(outcomes);
  }

  @Override
  public void close() {
    stop();
  }
}
