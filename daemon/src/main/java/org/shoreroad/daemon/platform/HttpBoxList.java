package org.shoreroad.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
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

  /** Creates a client of the list at this base URL. */
  public HttpBoxList(String url) {
    this.request = new Request.Builder().url(url + "/boxes").build();
  }

  @Override
  public List<ListedBox> read() {
    try (Response response = client.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        throw new LogException(true, "the list of boxes returned HTTP status " + response.code());
      }
      List<ListedBox> boxes = new ArrayList<>();
      for (JsonNode node : mapper.readTree(AnswerBody.read(response))) {
        Box box =
            new Box(
                node.path("name").asText(),
                node.path("address").asText(),
                node.path("fabric_domain").asText(),
                node.path("availability_zone").asText());
        boxes.add(new ListedBox(box, node.path("state").asText().equals("leaving")));
      }
      return boxes;
    } catch (IOException | IllegalArgumentException e) {
      throw new LogException(true, "the list of boxes can't be read: " + e.getMessage());
    }
  }
}
