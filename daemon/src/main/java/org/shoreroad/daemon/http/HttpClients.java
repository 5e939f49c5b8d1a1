package org.shoreroad.daemon.http;

import java.io.IOException;
import java.net.ProtocolException;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Creates HTTP clients that read only valid answers.
 *
 * <p>OkHttp is lenient with heads and with chunks, so the received bytes are checked before it
 * reads them. All methods are thread-safe.
 */
public final class HttpClients {
  private static final String CONTENT_LENGTH = "Content-Length";
  private static final String TRANSFER_ENCODING = "Transfer-Encoding";
  private static final String CHUNKED = "chunked";

  private HttpClients() {}

  /**
   * Returns the builder of a client that sends each request at most once. Its calls fail with an
   * {@link IOException} if the received bytes are no answer.
   */
  public static OkHttpClient.Builder newBuilder() {
    return new OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .socketFactory(new AnswerSocketFactory())
        .addNetworkInterceptor(HttpClients::intercept);
  }

  private static Response intercept(Interceptor.Chain chain) throws IOException {
    Request request = chain.request();
    if (request.method().equals("HEAD")) {
      // The check of the bytes does not know the method, so another answer must not follow.
      request = request.newBuilder().header("Connection", "close").build();
    }
    Response response = chain.proceed(request);
    if (!isLengthRead(response)) {
      response.close();
      throw new ProtocolException("the length of the answer can't be read");
    }
    return response;
  }

  /**
   * Returns true if OkHttp has read the stated length of the body. It misses valid ones where a
   * blank follows the name, and lists; it would take what was received by the end of the connection
   * for the whole body.
   */
  private static boolean isLengthRead(Response response) {
    for (String name : response.headers().names()) {
      String trimmed = name.stripTrailing();
      boolean isOfLength =
          trimmed.equalsIgnoreCase(CONTENT_LENGTH) || trimmed.equalsIgnoreCase(TRANSFER_ENCODING);
      if (isOfLength && trimmed.length() < name.length()) {
        return false;
      }
    }
    String coding = response.header(TRANSFER_ENCODING);
    if (coding != null) {
      return coding.equalsIgnoreCase(CHUNKED);
    }
    return response.header(CONTENT_LENGTH) == null || response.body().contentLength() >= 0;
  }
}
