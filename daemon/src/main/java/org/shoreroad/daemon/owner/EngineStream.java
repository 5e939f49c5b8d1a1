package org.shoreroad.daemon.owner;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Response;
import okio.BufferedSource;
import org.jspecify.annotations.Nullable;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;
import org.shoreroad.Verdict;
import org.shoreroad.daemon.http.AnswerBody;
import org.shoreroad.daemon.request.Submission;

/**
 * Reads one answer of an engine and reports its chunks, its end or its failure to a listener.
 *
 * <p>The event with the finish reason and all later events are held back until the owner has
 * confirmed that the replica was unchanged until the end of the answer; before that the answer must
 * not look finished. An answer without its end marker is a failure, however much of it arrived. Not
 * thread-safe: used on one thread.
 */
final class EngineStream implements Callback {
  private static final String DATA = "data: ";
  private static final String DONE = "[DONE]";
  private static final String FINISH = "\"finish_reason\":\"";
  private static final long RETRY_AFTER_MS = 1_000;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;

  private final String model;
  private final String loadName;
  private final Submission submission;
  private final DispatchGuard guard;
  private final ObjectMapper mapper;
  private final Listener listener;
  private final List<byte[]> held = new ArrayList<>();
  private long events;

  /** Receives the answer. */
  interface Listener {
    /** Called for the next chunk. */
    void onChunk(byte[] bytes);

    /**
     * Called when the engine's end marker arrived.
     *
     * @param held the last chunks, to be forwarded once the replica is confirmed to be unchanged
     * @param tokens the number of generated tokens
     */
    void onComplete(List<byte[]> held, long tokens);

    /**
     * Called when the request or its answer failed.
     *
     * @param failure the failure
     * @param isResumable whether the engine's stream may be resumed
     */
    void onFailure(ShoreroadException failure, boolean isResumable);
  }

  EngineStream(
      String model,
      String loadName,
      Submission submission,
      DispatchGuard guard,
      ObjectMapper mapper,
      Listener listener) {
    this.model = model;
    this.loadName = loadName;
    this.submission = submission;
    this.guard = guard;
    this.mapper = mapper;
    this.listener = listener;
  }

  @Override
  public void onFailure(Call call, IOException e) {
    if (guard.mayHaveBeenSent() || submission.isResume()) {
      fail(
          ErrorCode.UPSTREAM_FAILED,
          Verdict.MAY_HAVE_RUN,
          "the connection to the engine failed",
          true);
    } else {
      fail(ErrorCode.UPSTREAM_UNREACHABLE, Verdict.NOT_RUN, "the engine can't be reached", false);
    }
  }

  @Override
  public void onResponse(Call call, Response response) {
    try (response) {
      if (!response.isSuccessful()) {
        failWithStatus(response.code());
      } else if (!isOwnAnswer(response)) {
        fail(
            ErrorCode.UPSTREAM_FAILED,
            Verdict.MAY_HAVE_RUN,
            "the answer has the id of another request",
            false);
      } else if (submission.isStreaming()) {
        readEvents(response.body().source());
      } else {
        readSingleAnswer(AnswerBody.read(response));
      }
    } catch (IOException e) {
      fail(
          ErrorCode.UPSTREAM_FAILED,
          Verdict.MAY_HAVE_RUN,
          "the connection to the engine failed",
          true);
    }
  }

  private boolean isOwnAnswer(Response response) {
    String id = response.header(EngineClient.REQUEST_ID_HEADER);
    return id == null || id.equals(submission.requestId());
  }

  /** Reports an error status; only these statuses state that the engine rejected the request. */
  private void failWithStatus(int status) {
    boolean isRefusal =
        status == NOT_FOUND || status == CONFLICT || status == TOO_MANY || status == UNAVAILABLE;
    String message = "the engine answered " + status;
    if (isRefusal && !submission.isResume()) {
      fail(ErrorCode.UPSTREAM_REFUSED, Verdict.NOT_RUN, message, false);
    } else {
      fail(ErrorCode.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN, message, false);
    }
  }

  private void readEvents(BufferedSource source) throws IOException {
    while (true) {
      String line = AnswerBody.readLine(source);
      if (line == null) {
        throw new IOException("the stream ended without its end marker");
      }
      if (!line.startsWith(DATA)) {
        continue;
      }
      String data = line.substring(DATA.length());
      if (data.equals(DONE)) {
        listener.onComplete(held, events);
        return;
      }
      if (data.startsWith("{\"error\"")) {
        fail(
            ErrorCode.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN, "the engine reported an error", false);
        return;
      }
      events++;
      forwardOrHold(DATA + withModelName(data) + "\n\n", data.contains(FINISH));
    }
  }

  private void forwardOrHold(String event, boolean isFinish) {
    byte[] bytes = event.getBytes(StandardCharsets.UTF_8);
    if (isFinish || !held.isEmpty()) {
      held.add(bytes);
    } else {
      listener.onChunk(bytes);
    }
  }

  private void readSingleAnswer(byte[] bytes) throws IOException {
    JsonNode root = mapper.readTree(bytes);
    JsonNode reason = root.path("choices").path(0).path("finish_reason");
    if (!reason.isTextual()) {
      fail(
          ErrorCode.UPSTREAM_FAILED,
          Verdict.MAY_HAVE_RUN,
          "the answer has no finish reason",
          false);
      return;
    }
    String text = withModelName(new String(bytes, StandardCharsets.UTF_8));
    held.add(text.getBytes(StandardCharsets.UTF_8));
    listener.onComplete(held, root.path("usage").path("completion_tokens").asLong());
  }

  /** Replaces the load name by the declared model name, which is the one that callers use. */
  private String withModelName(String json) {
    return json.replace(loadName, model);
  }

  private void fail(
      ErrorCode code, Verdict verdict, @Nullable String message, boolean isResumable) {
    listener.onFailure(
        ShoreroadException.of(code, verdict, String.valueOf(message), RETRY_AFTER_MS),
        isResumable && submission.isStreaming());
  }
}
