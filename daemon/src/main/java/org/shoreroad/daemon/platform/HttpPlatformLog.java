package org.shoreroad.daemon.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.shoreroad.codec.BinaryValue;
import org.shoreroad.daemon.http.AnswerBody;
import org.shoreroad.daemon.http.HttpClients;

/**
 * Accesses the log over HTTP: {@code POST} and {@code GET /streams/NAME/records} with MessagePack
 * bodies.
 *
 * <p>Calls are never retried here: an append whose answer was lost may have taken effect, which
 * only the caller can determine, by the id of the record. Thread-safe.
 *
 * @since 0.1
 */
public final class HttpPlatformLog implements PlatformLog {
  private static final MediaType MSGPACK = MediaType.get("application/msgpack");
  private static final long CALL_TIMEOUT_MS = 1_500;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final HttpUrl base;
  private final OkHttpClient client;

  /** Creates a client of the log at this base URL. */
  public HttpPlatformLog(String url) {
    this.base = HttpUrl.get(url);
    this.client =
        HttpClients.newBuilder().connectTimeout(Duration.ofMillis(CALL_TIMEOUT_MS)).build();
  }

  @Override
  public long append(String stream, List<byte[]> records) {
    Request request =
        new Request.Builder()
            .url(recordsUrl(stream).build())
            .post(RequestBody.create(pack(records), MSGPACK))
            .build();
    byte[] answer = call(request, CALL_TIMEOUT_MS);
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(answer)) {
      return in.unpackLong();
    } catch (IOException | MessagePackException e) {
      throw new LogException(false, "the log's answer is malformed");
    }
  }

  @Override
  public LogBatch read(String stream, long from, int max, long waitMs) {
    HttpUrl url =
        recordsUrl(stream)
            .addQueryParameter("from", Long.toString(from))
            .addQueryParameter("max", Integer.toString(max))
            .addQueryParameter("wait_ms", Long.toString(waitMs))
            .build();
    byte[] answer = call(new Request.Builder().url(url).build(), waitMs + CALL_TIMEOUT_MS);
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(answer)) {
      long earliest = in.unpackLong();
      long head = in.unpackLong();
      List<LogBatch.Entry> records = new ArrayList<>();
      for (int count = in.unpackArrayHeader(); count > 0; count--) {
        long offset = in.unpackLong();
        records.add(new LogBatch.Entry(offset, BinaryValue.unpack(in, answer.length)));
      }
      return new LogBatch(earliest, head, records);
    } catch (IOException | MessagePackException e) {
      throw new LogException(true, "the log's answer is malformed");
    }
  }

  private HttpUrl.Builder recordsUrl(String stream) {
    return base.newBuilder()
        .addPathSegments("streams")
        .addPathSegment(stream)
        .addPathSegment("records");
  }

  private byte[] call(Request request, long timeoutMs) {
    OkHttpClient timed =
        client
            .newBuilder()
            .callTimeout(Duration.ofMillis(timeoutMs))
            .readTimeout(Duration.ofMillis(timeoutMs))
            .build();
    try (Response response = timed.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        boolean isRefused = response.code() == TOO_MANY_REQUESTS || response.code() == UNAVAILABLE;
        throw new LogException(isRefused, "the log returned HTTP status " + response.code());
      }
      return AnswerBody.read(response);
    } catch (IOException e) {
      throw new LogException(false, "the log can't be reached: " + e.getMessage());
    }
  }

  private static byte[] pack(List<byte[]> records) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packArrayHeader(records.size());
      for (byte[] record : records) {
        out.packBinaryHeader(record.length).writePayload(record);
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
