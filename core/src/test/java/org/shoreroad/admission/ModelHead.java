package org.shoreroad.admission;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** Model of an engine that plays passes: admits, reads and writes. Times in milliseconds. */
final class ModelHead {
  static final int SLOTS = 24;
  static final int STRIDE = 5;
  static final double PACE = 0.6;
  private static final double STEP_MS = 6.07;
  private static final double PER_SEQUENCE_MS = 0.34;
  private static final double TOKENS_PER_MS = 46;
  private static final int CHUNK = 2_048;

  private final Random random;
  private final List<ModelCall> queue = new ArrayList<>();
  private final List<ModelCall> running = new ArrayList<>();
  private double passEndMs;
  boolean isDark;
  int rejected;
  int longestQueue;

  ModelHead(Random random) {
    this.random = random;
  }

  static double passMs(int writers, double tokens) {
    double steps = writers == 0 ? 1 : STRIDE;
    return PACE * (steps * (STEP_MS + writers * PER_SEQUENCE_MS) + tokens / TOKENS_PER_MS);
  }

  boolean submit(ModelCall call) {
    if (queue.size() >= 2 * SLOTS) {
      rejected++;
      return false;
    }
    queue.add(call);
    longestQueue = Math.max(longestQueue, queue.size());
    return true;
  }

  void addOpen(Predicate<ModelCall> which, List<ModelCall> open) {
    Stream.concat(queue.stream(), running.stream()).filter(which).forEach(open::add);
  }

  void clear() {
    queue.clear();
    running.clear();
  }

  /** Plays until the time; adds the calls that ended. */
  void play(double nowMs, List<ModelCall> ended) {
    if (isDark || nowMs < passEndMs) {
      return;
    }
    for (Iterator<ModelCall> it = running.iterator(); it.hasNext(); ) {
      ModelCall call = it.next();
      if (call.isWriting) {
        call.recordEvent(nowMs);
        if (call.eventsLeft == 0) {
          it.remove();
          ended.add(call);
        }
      }
      call.isWriting = call.unreadTokens <= 0;
    }
    queue.sort((a, b) -> Integer.compare(a.priority, b.priority));
    while (running.size() < SLOTS && !queue.isEmpty()) {
      running.add(queue.remove(0));
    }
    int writers = 0;
    double readTokens = 0;
    for (ModelCall call : running) {
      writers += call.isWriting ? 1 : 0;
      double tokens = Math.min(call.unreadTokens, STRIDE * CHUNK - readTokens);
      call.unreadTokens -= tokens;
      readTokens += tokens;
    }
    double jitter = 0.9 + 0.2 * random.nextDouble();
    passEndMs = nowMs + (running.isEmpty() ? 0.5 : passMs(writers, readTokens) * jitter);
  }
}
