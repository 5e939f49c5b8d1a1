package org.shoreroad.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ProtocolException;
import java.time.Duration;
import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;
import org.shoreroad.http.HeaderText;
import org.shoreroad.http.HeaderTextFault;
import org.shoreroad.http.HttpGrammar;

/** Client of the operators' port of one process. Thread-safe. */
final class OpsClient {
  private static final MediaType YAML = MediaType.get("application/yaml");
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final String UNKNOWN_OUTCOME =
      " (the change may still take effect; check with the status command)";

  private final ObjectMapper mapper = new ObjectMapper();
  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .callTimeout(TIMEOUT)
          .retryOnConnectionFailure(false)
          .addNetworkInterceptor(OpsClient::checkAnswer)
          .build();
  private final String url;
  private final String token;

  OpsClient(String url, String token) {
    this.url = url;
    this.token = token;
  }

  /** Checks an answer as far as OkHttp, which is lenient with heads, has read it. */
  private static Response checkAnswer(Interceptor.Chain chain) throws IOException {
    Response response;
    try {
      response = chain.proceed(chain.request());
    } catch (IllegalStateException e) {
      // A negative status.
      throw new ProtocolException("malformed answer: " + e.getMessage());
    }
    boolean isWellFormed = HttpGrammar.isFinalStatus(response.code());
    for (int i = 0; i < response.headers().size(); i++) {
      isWellFormed &= HttpGrammar.isToken(response.headers().name(i).stripTrailing());
      isWellFormed &= HttpGrammar.isText(response.headers().value(i));
    }
    if (!isWellFormed) {
      response.close();
      throw new ProtocolException("malformed answer");
    }
    return response;
  }

  JsonNode get(String call) {
    return call(new Request.Builder(), call, null);
  }

  JsonNode post(String call, String body) {
    return call(new Request.Builder(), call, RequestBody.create(body, YAML));
  }

  private Headers authorization() {
    HeaderTextFault fault = token.isEmpty() ? null : HeaderText.findFault(token);
    if (fault != null) {
      throw new CommandException(
          ExitCode.USAGE, "the token can't be sent in a header: " + fault.code());
    }
    // OkHttp writes these characters in UTF-8.
    return new Headers.Builder().addUnsafeNonAscii("Authorization", "Bearer " + token).build();
  }

  private JsonNode call(Request.Builder builder, String call, @Nullable RequestBody body) {
    Request request;
    builder.headers(authorization());
    try {
      builder.url(url + "/ops/" + call);
      request = body == null ? builder.build() : builder.post(body).build();
    } catch (IllegalArgumentException e) {
      throw new CommandException(ExitCode.USAGE, "--url '" + url + "' is not an HTTP URL");
    }
    try (Response response = client.newCall(request).execute()) {
      JsonNode answer = mapper.readTree(response.body().string());
      if (response.isSuccessful()) {
        return answer;
      }
      throw toException(answer.path("error"), response.code());
    } catch (ProtocolException | JsonProcessingException e) {
      String message = url + " sent no valid answer: " + e.getMessage();
      throw body == null
          ? new CommandException(ExitCode.UNREACHABLE, message)
          : new CommandException(ExitCode.UNKNOWN, message + UNKNOWN_OUTCOME);
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.UNREACHABLE, url + " can't be reached: " + e.getMessage());
    }
  }

  private static CommandException toException(JsonNode error, int status) {
    String code = error.path("code").asText("status " + status);
    String message = code + ": " + error.path("message").asText();
    if (error.path("verdict").asText().equals("may_have_run")) {
      return new CommandException(ExitCode.UNKNOWN, message + UNKNOWN_OUTCOME);
    }
    return new CommandException(
        switch (code) {
          case "configuration_conflict" -> ExitCode.CONFLICT;
          case "configuration_invalid" -> ExitCode.USAGE;
          default -> ExitCode.REFUSED;
        },
        message);
  }
}
