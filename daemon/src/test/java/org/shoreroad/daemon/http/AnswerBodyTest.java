package org.shoreroad.daemon.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import okhttp3.MediaType;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.Buffer;
import okio.BufferedSource;
import okio.Okio;
import okio.Source;
import okio.Timeout;
import org.junit.jupiter.api.Test;

/** Guards against bodies that never end. */
class AnswerBodyTest {
  private static final MediaType TYPE = MediaType.get("text/plain");

  /** Source of the same byte without end, which counts what was read. */
  private static final class EndlessSource implements Source {
    private long readBytes;

    @Override
    public long read(Buffer sink, long byteCount) {
      sink.writeUtf8("x".repeat(1_000));
      readBytes += 1_000;
      return 1_000;
    }

    @Override
    public Timeout timeout() {
      return Timeout.NONE;
    }

    @Override
    public void close() {}
  }

  private static Response response(ResponseBody body) {
    return new Response.Builder()
        .request(new Request.Builder().url("http://h/").build())
        .protocol(Protocol.HTTP_1_1)
        .code(200)
        .message("")
        .body(body)
        .build();
  }

  @Test
  void wholeBodyIsRead() throws IOException {
    byte[] body = AnswerBody.read(response(ResponseBody.create("body", TYPE)));
    assertThat(new String(body, StandardCharsets.UTF_8), is("body"));
  }

  @Test
  void endlessBodyIsReadUpToTheMaximum() {
    EndlessSource endless = new EndlessSource();
    ResponseBody body = ResponseBody.create(Okio.buffer(endless), TYPE, -1);
    IOException e = assertThrows(IOException.class, () -> AnswerBody.read(response(body)));
    assertThat(e.getMessage(), containsString("larger"));
    assertThat(endless.readBytes, lessThan(2 * AnswerBody.MAX_BYTES));
  }

  @Test
  void endlessLineIsReadUpToTheMaximum() {
    EndlessSource endless = new EndlessSource();
    BufferedSource source = Okio.buffer((Source) endless);
    IOException e = assertThrows(IOException.class, () -> AnswerBody.readLine(source));
    assertThat(e.getMessage(), containsString("longer"));
    assertThat(endless.readBytes, lessThan(2 * AnswerBody.MAX_LINE_BYTES));
  }

  @Test
  void linesAreReadToTheEnd() throws IOException {
    Buffer lines = new Buffer().writeUtf8("one\n\nlast");
    assertThat(AnswerBody.readLine(lines), is("one"));
    assertThat(AnswerBody.readLine(lines), is(""));
    assertThat(AnswerBody.readLine(lines), is("last"));
    assertThat(AnswerBody.readLine(lines), is(nullValue()));
  }
}
