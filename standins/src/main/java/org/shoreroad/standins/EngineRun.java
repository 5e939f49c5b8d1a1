package org.shoreroad.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A request running on an engine stand-in. Generation continues even if no client reads the answer.
 *
 * <p>The answer repeats the text of the request, so that a test can match an answer to its request.
 * Thread-safe.
 */
final class EngineRun {
  private static final int DEFAULT_TOKENS = 8;

  private final EngineBox box;
  private final String requestId;
  private final String loadName;
  private final EngineHistory history;
  private final List<String> events = new ArrayList<>();
  private final int tokenCount;
  private final String prompt;
  private final AtomicBoolean hasEnded = new AtomicBoolean();
  private Runnable onEnd = () -> {};
  private boolean hasCompleted;
  private boolean hasFailed;

  EngineRun(
      EngineBox box, String requestId, String loadName, JsonNode body, EngineHistory history) {
    this.box = box;
    this.requestId = requestId;
    this.loadName = loadName;
    this.history = history;
    this.tokenCount = body.path("max_tokens").asInt(DEFAULT_TOKENS);
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

  void setOnEnd(Runnable task) {
    onEnd = task;
  }

  /** Starts a thread that generates the tokens. */
  void startGenerating() {
    Thread thread = new Thread(this::generate, "engine-run");
    thread.setDaemon(true);
    thread.start();
  }

  private void generate() {
    try {
      for (int i = 0; i < tokenCount && !hasEnded.get(); i++) {
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
      if (!hasEnded.get()) {
        add(event("{}", "\"stop\""));
        finish(true);
      }
    } catch (InterruptedException e) {
      fail();
    }
  }

  /** Returns the token at an index: the prompt, a dot and the index. */
  String token(int index) {
    return prompt + "." + index;
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

  private void finish(boolean isComplete) {
    if (hasEnded.compareAndSet(false, true)) {
      onEnd.run();
      history.add(box.name(), isComplete ? "end" : "failed", loadName, requestId);
      synchronized (this) {
        hasCompleted = isComplete;
        hasFailed = !isComplete;
        notifyAll();
      }
    }
  }

  /** Ends the run as failed, unless it has ended already. */
  void fail() {
    finish(false);
  }

  /**
   * Waits for an event.
   *
   * @param number the index of the event, from 0
   * @return the event, {@code [DONE]} after the last, or an empty text if the run failed
   */
  synchronized String awaitEvent(int number) throws InterruptedException {
    while (events.size() <= number && !hasCompleted && !hasFailed) {
      wait(100);
    }
    if (hasFailed) {
      return "";
    }
    return events.size() > number ? events.get(number) : "[DONE]";
  }

  /** Waits for the end; returns the full text, or an empty text if the run failed. */
  synchronized String awaitText() throws InterruptedException {
    while (!hasCompleted && !hasFailed) {
      wait(100);
    }
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < tokenCount; i++) {
      text.append(token(i)).append(' ');
    }
    return hasFailed ? "" : text.toString();
  }
}
