package org.shoreroad.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;

/** Client of the operators' port of one process. Thread-safe. */
final class OpsClient {
  private static final MediaType YAML = MediaType.get("application/yaml");
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final ObjectMapper mapper = new ObjectMapper();
  private final OkHttpClient client =
      new OkHttpClient.Builder().callTimeout(TIMEOUT).retryOnConnectionFailure(false).build();
  private final String url;
  private final String token;

  OpsClient(String url, String token) {
    this.url = url;
    this.token = token;
  }

  JsonNode get(String call) {
    return call(new Request.Builder(), call, null);
  }

  JsonNode post(String call, String body) {
    return call(new Request.Builder(), call, RequestBody.create(body, YAML));
  }

  private JsonNode call(Request.Builder builder, String call, @Nullable RequestBody body) {
    Request request;
    try {
      builder.url(url + "/ops/" + call).header("Authorization", "Bearer " + token);
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
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.UNREACHABLE, url + " can't be reached: " + e.getMessage());
    }
  }

  private static CommandException toException(JsonNode error, int status) {
    String code = error.path("code").asText("status " + status);
    String message = code + ": " + error.path("message").asText();
    if (error.path("verdict").asText().equals("may_have_run")) {
      return new CommandException(
          ExitCode.UNKNOWN,
          message + " (the change may still take effect; check with the status command)");
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
