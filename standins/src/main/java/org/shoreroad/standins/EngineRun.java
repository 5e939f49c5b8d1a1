package org.shoreroad.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One request that an engine stand-in runs: it generates on, whether or not anybody reads.
 *
 * <p>The answer repeats the request's own text, so a reader can tell whose answer it holds.
 * Thread-safe.
 */
final class EngineRun {
  private static final int STANDARD_TOKENS = 8;

  private final EngineBox box;
  private final String requestId;
  private final String loadName;
  private final EngineHistory history;
  private final List<String> events = new ArrayList<>();
  private final int tokenCount;
  private final String prompt;
  private final AtomicBoolean isOver = new AtomicBoolean();
  private Runnable onOver = () -> {};
  private boolean isDone;
  private boolean hasFailed;

  EngineRun(
      EngineBox box, String requestId, String loadName, JsonNode body, EngineHistory history) {
    this.box = box;
    this.requestId = requestId;
    this.loadName = loadName;
    this.history = history;
    this.tokenCount = body.path("max_tokens").asInt(STANDARD_TOKENS);
    this.prompt = body.path("messages").path(0).path("content").asText();
  }

  String loadName() {
    return loadName;
  }

  String prompt() {
    return prompt;
  }

  int tokenCount() {
    return tokenCount;
  }

  void setOnOver(Runnable task) {
    onOver = task;
  }

  /** Generates the tokens on a thread of its own. */
  void begin() {
    Thread thread = new Thread(this::generate, "engine-run");
    thread.setDaemon(true);
    thread.start();
  }

  private void generate() {
    try {
      for (int i = 0; i < tokenCount && !isOver.get(); i++) {
        if (box.tokenDelayMs() > 0) {
          Thread.sleep(box.tokenDelayMs());
        }
        box.awaitThaw();
        if (box.isDead()) {
          fail();
          return;
        }
        add(event("{\"content\":\"" + token(i) + " \"}", "null"));
      }
      if (!isOver.get()) {
        add(event("{}", "\"stop\""));
        finish(true);
      }
    } catch (InterruptedException e) {
      fail();
    }
  }

  /** Returns a token: the prompt's text and the token's place. */
  String token(int place) {
    return prompt + "." + place;
  }

  private String event(String delta, String reason) {
    return "{\"id\":\""
        + requestId
        + "\",\"object\":\"chat.completion.chunk\",\"model\":\""
        + loadName
        + "\",\"choices\":[{\"index\":0,\"delta\":"
        + delta
        + ",\"finish_reason\":"
        + reason
        + "}]}";
  }

  private synchronized void add(String event) {
    events.add(event);
    notifyAll();
  }

  private void finish(boolean isWhole) {
    if (isOver.compareAndSet(false, true)) {
      onOver.run();
      history.add(box.name(), isWhole ? "end" : "failed", loadName, requestId);
      synchronized (this) {
        isDone = isWhole;
        hasFailed = !isWhole;
        notifyAll();
      }
    }
  }

  /** The run breaks off. */
  void fail() {
    finish(false);
  }

  /**
   * Waits for an event.
   *
   * @param number the event's number from 0
   * @return the event, {@code [DONE]} after the last, or an empty text if the run broke off
   */
  synchronized String awaitEvent(int number) throws InterruptedException {
    while (events.size() <= number && !isDone && !hasFailed) {
      wait(100);
    }
    if (hasFailed) {
      return "";
    }
    return events.size() > number ? events.get(number) : "[DONE]";
  }

  /** Waits for the end; returns the whole text, or an empty one if the run broke off. */
  synchronized String awaitText() throws InterruptedException {
    while (!isDone && !hasFailed) {
      wait(100);
    }
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < tokenCount; i++) {
      text.append(token(i)).append(' ');
    }
    return hasFailed ? "" : text.toString();
  }
}
