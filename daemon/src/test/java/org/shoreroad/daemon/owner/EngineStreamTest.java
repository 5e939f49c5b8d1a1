package org.shoreroad.daemon.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import okhttp3.Call;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.junit.jupiter.api.Test;
import org.shoreroad.ShoreroadException;
import org.shoreroad.Verdict;
import org.shoreroad.daemon.request.Submission;

/**
 * Guards against reporting a truncated answer as complete, and against the verdict "not run" for a
 * request that the engine may have run.
 */
class EngineStreamTest {
  private static final Request REQUEST = new Request.Builder().url("http://h/").build();
  private static final Call CALL = new OkHttpClient().newCall(REQUEST);
  private static final String TOKEN =
      "data: {\"model\":\"m~1~x\",\"choices\":[{\"delta\":{},\"finish_reason\":null}]}\n\n";
  private static final String LAST =
      "data: {\"model\":\"m~1~x\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";

  /** Records the events that it receives. */
  private static final class RecordingListener implements EngineStream.Listener {
    private final List<String> chunks = new ArrayList<>();
    private final List<String> held = new ArrayList<>();
    private boolean isComplete;
    private ShoreroadException failure;
    private boolean isResumable;

    @Override
    public void onChunk(byte[] bytes) {
      chunks.add(new String(bytes, StandardCharsets.UTF_8));
    }

    @Override
    public void onComplete(List<byte[]> last, long tokens) {
      isComplete = true;
      last.forEach(bytes -> held.add(new String(bytes, StandardCharsets.UTF_8)));
    }

    @Override
    public void onFailure(ShoreroadException e, boolean resumable) {
      failure = e;
      isResumable = resumable;
    }
  }

  private static RecordingListener receive(
      int status, String body, boolean isStreaming, String id, boolean isSent) {
    RecordingListener listener = new RecordingListener();
    Response response =
        new Response.Builder()
            .request(REQUEST)
            .protocol(Protocol.HTTP_1_1)
            .code(status)
            .message("")
            .header("X-Request-Id", id)
            .body(ResponseBody.create(body, MediaType.get("text/plain")))
            .build();
    stream(listener, isStreaming, isSent).onResponse(CALL, response);
    return listener;
  }

  private static EngineStream stream(
      RecordingListener listener, boolean isStreaming, boolean isSent) {
    Submission submission =
        new Submission("r-1", 1, "a", 1, 0, 1, 1, 1, isStreaming, -1, new byte[0]);
    DispatchGuard guard = DispatchGuard.of(100);
    if (isSent) {
      guard.tryMarkSent(0);
    }
    return new EngineStream("m", "m~1~x", submission, guard, new ObjectMapper(), listener);
  }

  @Test
  void testOnResponse_completeStreamHoldsBackFinishEvent() {
    RecordingListener listener =
        receive(200, TOKEN + TOKEN + LAST + "data: [DONE]\n\n", true, "r-1", true);
    assertThat(listener.isComplete, is(true));
    assertThat(listener.chunks.size(), is(2));
    assertThat(listener.held.size(), is(1));
    assertThat(listener.chunks.get(0), containsString("\"model\":\"m\""));
  }

  @Test
  void testOnResponse_streamWithoutEndMarkerIsAFailure() {
    RecordingListener listener = receive(200, TOKEN + LAST, true, "r-1", true);
    assertThat(listener.isComplete, is(false));
    assertThat(listener.failure.verdict(), is(Verdict.MAY_HAVE_RUN));
    assertThat(listener.isResumable, is(true));
  }

  @Test
  void testOnResponse_answerToAnotherRequestIsAFailure() {
    RecordingListener listener = receive(200, TOKEN + "data: [DONE]\n\n", true, "r-2", true);
    assertThat(listener.chunks.size(), is(0));
    assertThat(listener.failure.verdict(), is(Verdict.MAY_HAVE_RUN));
  }

  @Test
  void testOnResponse_unstreamedAnswerWithoutFinishReasonIsAFailure() {
    RecordingListener listener = receive(200, "{\"choices\":[{}]}", false, "r-1", true);
    assertThat(listener.isComplete, is(false));
    assertThat(listener.failure.verdict(), is(Verdict.MAY_HAVE_RUN));
  }

  @Test
  void testOnResponse_onlyExplicitRefusalsAreNotRun() {
    for (int status : new int[] {404, 409, 429, 503}) {
      assertThat(receive(status, "", true, "r-1", true).failure.verdict(), is(Verdict.NOT_RUN));
    }
    for (int status : new int[] {400, 500, 502, 504}) {
      assertThat(
          receive(status, "", true, "r-1", true).failure.verdict(), is(Verdict.MAY_HAVE_RUN));
    }
  }

  @Test
  void testOnFailure_notRunOnlyIfNoByteWasSent() {
    RecordingListener before = new RecordingListener();
    stream(before, true, false).onFailure(CALL, new IOException());
    assertThat(before.failure.verdict(), is(Verdict.NOT_RUN));
    RecordingListener after = new RecordingListener();
    stream(after, true, true).onFailure(CALL, new IOException());
    assertThat(after.failure.verdict(), is(Verdict.MAY_HAVE_RUN));
  }

  @Test
  void testTryMarkSent_expiredEvidencePreventsSending() {
    DispatchGuard guard = DispatchGuard.of(100);
    assertThat(guard.tryMarkSent(100), is(false));
    assertThat(guard.mayHaveBeenSent(), is(false));
    assertThat(guard.tryMarkSent(99), is(true));
    assertThat(guard.mayHaveBeenSent(), is(true));
  }
}
