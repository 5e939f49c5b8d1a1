package org.shoreroad.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.shoreroad.Box;
import org.shoreroad.daemon.http.AnswerBody;
import org.shoreroad.daemon.http.HttpClients;
import org.shoreroad.placement.ListedBox;

/**
 * Reads the list of boxes over HTTP: {@code GET /boxes} returns a JSON array.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class HttpBoxList implements BoxList {
  private static final long CALL_TIMEOUT_MS = 1_500;

  private final ObjectMapper mapper = new ObjectMapper();
  private final OkHttpClient client =
      HttpClients.newBuilder().callTimeout(Duration.ofMillis(CALL_TIMEOUT_MS)).build();
  private final Request request;
  private final Consumer<String> unusableListener;

  /**
   * Creates a client.
   *
   * @param url the base URL of the list, not null
   * @param unusableListener called with the reason for each entry that describes no box, not null
   */
  public HttpBoxList(String url, Consumer<String> unusableListener) {
    this.unusableListener = unusableListener;
    this.request = new Request.Builder().url(url + "/boxes").build();
  }

  @Override
  public List<ListedBox> read() {
    try (Response response = client.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        throw new LogException(true, "the list of boxes returned HTTP status " + response.code());
      }
      JsonNode list = mapper.readTree(AnswerBody.read(response));
      if (!list.isArray()) {
        throw new LogException(true, "the list of boxes is no list");
      }
      List<ListedBox> boxes = new ArrayList<>();
      for (JsonNode entry : list) {
        parse(entry).ifPresent(boxes::add);
      }
      return boxes;
    } catch (IOException e) {
      throw new LogException(true, "the list of boxes can't be read: " + e.getMessage());
    }
  }

  /** Returns the box that an entry describes; an entry of another writer may describe none. */
  private Optional<ListedBox> parse(JsonNode entry) {
    try {
      Box box =
          new Box(
              entry.path("name").asText(),
              entry.path("address").asText(),
              entry.path("fabric_domain").asText(),
              entry.path("availability_zone").asText());
      return Optional.of(new ListedBox(box, entry.path("state").asText().equals("leaving")));
    } catch (IllegalArgumentException e) {
      unusableListener.accept(String.valueOf(e.getMessage()));
      return Optional.empty();
    }
  }
}
