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
 * What an engine sends is taken for whole only if it is, and "not run" only if the engine says so.
 */
class EngineStreamTest {
  private static final Request REQUEST = new Request.Builder().url("http://h/").build();
  private static final Call CALL = new OkHttpClient().newCall(REQUEST);
  private static final String TOKEN =
      "data: {\"model\":\"m~1~x\",\"choices\":[{\"delta\":{},\"finish_reason\":null}]}\n\n";
  private static final String LAST =
      "data: {\"model\":\"m~1~x\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";

  /** Remembers what it was told. */
  private static final class Told implements EngineStream.Listener {
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

  private static Told take(int status, String body, boolean isStreaming, String id, boolean left) {
    Told told = new Told();
    Response response =
        new Response.Builder()
            .request(REQUEST)
            .protocol(Protocol.HTTP_1_1)
            .code(status)
            .message("")
            .header("X-Request-Id", id)
            .body(ResponseBody.create(body, MediaType.get("text/plain")))
            .build();
    stream(told, isStreaming, left).onResponse(CALL, response);
    return told;
  }

  private static EngineStream stream(Told told, boolean isStreaming, boolean hasLeft) {
    Submission submission =
        new Submission("r-1", 1, "a", 1, 0, 1, 1, 1, isStreaming, -1, new byte[0]);
    DispatchGuard guard = DispatchGuard.of(100);
    if (hasLeft) {
      guard.tryMarkSent(0);
    }
    return new EngineStream("m", "m~1~x", submission, guard, new ObjectMapper(), told);
  }

  @Test
  void testOnResponse_wholeStreamHoldsItsEndBack() {
    Told told = take(200, TOKEN + TOKEN + LAST + "data: [DONE]\n\n", true, "r-1", true);
    assertThat(told.isComplete, is(true));
    assertThat(told.chunks.size(), is(2));
    assertThat(told.held.size(), is(1));
    assertThat(told.chunks.get(0), containsString("\"model\":\"m\""));
  }

  @Test
  void testOnResponse_streamWithoutEndMarkerIsAFailure() {
    Told told = take(200, TOKEN + LAST, true, "r-1", true);
    assertThat(told.isComplete, is(false));
    assertThat(told.failure.verdict(), is(Verdict.MAY_HAVE_RUN));
    assertThat(told.isResumable, is(true));
  }

  @Test
  void testOnResponse_anotherRequestsAnswerIsAFailure() {
    Told told = take(200, TOKEN + "data: [DONE]\n\n", true, "r-2", true);
    assertThat(told.chunks.size(), is(0));
    assertThat(told.failure.verdict(), is(Verdict.MAY_HAVE_RUN));
  }

  @Test
  void testOnResponse_plainAnswerWithoutFinishReasonIsAFailure() {
    Told told = take(200, "{\"choices\":[{}]}", false, "r-1", true);
    assertThat(told.isComplete, is(false));
    assertThat(told.failure.verdict(), is(Verdict.MAY_HAVE_RUN));
  }

  @Test
  void testOnResponse_onlyExplicitRefusalsAreNotRun() {
    for (int status : new int[] {404, 409, 429, 503}) {
      assertThat(take(status, "", true, "r-1", true).failure.verdict(), is(Verdict.NOT_RUN));
    }
    for (int status : new int[] {400, 500, 502, 504}) {
      assertThat(take(status, "", true, "r-1", true).failure.verdict(), is(Verdict.MAY_HAVE_RUN));
    }
  }

  @Test
  void testOnFailure_notRunOnlyIfNoByteLeft() {
    Told before = new Told();
    stream(before, true, false).onFailure(CALL, new IOException());
    assertThat(before.failure.verdict(), is(Verdict.NOT_RUN));
    Told after = new Told();
    stream(after, true, true).onFailure(CALL, new IOException());
    assertThat(after.failure.verdict(), is(Verdict.MAY_HAVE_RUN));
  }

  @Test
  void testTryPass_expiredEvidenceLetsNothingLeave() {
    DispatchGuard guard = DispatchGuard.of(100);
    assertThat(guard.tryMarkSent(100), is(false));
    assertThat(guard.mayHaveBeenSent(), is(false));
    assertThat(guard.tryMarkSent(99), is(true));
    assertThat(guard.mayHaveBeenSent(), is(true));
  }
}
