package org.shoreroad.daemon.owner;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.shoreroad.Box;
import org.shoreroad.LoadName;
import org.shoreroad.daemon.http.AnswerBody;
import org.shoreroad.daemon.http.HttpClients;
import org.shoreroad.daemon.request.Submission;
import org.shoreroad.daemon.settings.Settings;
import org.shoreroad.replica.BoxReport;
import org.shoreroad.state.Generation;

/**
 * HTTP client of the model engines: probes, load and unload orders, and requests.
 *
 * <p>This class never retries, and OkHttp's own retries are off: each load order is sent at most
 * once under its name, and each request at most once. Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class EngineClient {
  /** The header that carries the fencing number. */
  public static final String FENCING_HEADER = "X-Fencing-Number";

  /** The header that carries the request's id. */
  public static final String REQUEST_ID_HEADER = "X-Request-Id";

  private static final MediaType JSON = MediaType.get("application/json");
  private static final int MAX_STREAMS = 4_096;
  private static final int MAX_PROBES = 256;
  private static final long ORDER_TIMEOUT_MS = 2_000;
  private static final long IDLE_THREAD_SECONDS = 10;
  private static final long IDLE_CONNECTION_SECONDS = 60;

  /** Discards the response to an order; only a later probe shows whether it took effect. */
  private static final Callback IGNORE =
      new Callback() {
        @Override
        public void onFailure(Call call, IOException e) {}

        @Override
        public void onResponse(Call call, Response response) {
          response.close();
        }
      };

  private final ObjectMapper mapper = new ObjectMapper();
  private final OkHttpClient probes;
  private final OkHttpClient orders;
  private final OkHttpClient streams;

  /** Creates the client. */
  @Inject
  public EngineClient(Settings settings) {
    OkHttpClient base =
        HttpClients.newBuilder()
            .followRedirects(false)
            .connectTimeout(Duration.ofMillis(ORDER_TIMEOUT_MS))
            .build();
    this.probes =
        base.newBuilder()
            .dispatcher(dispatcher("probe", MAX_PROBES))
            .callTimeout(Duration.ofNanos(settings.replicaTiming().evidenceNanos()))
            .build();
    this.orders =
        base.newBuilder()
            .dispatcher(dispatcher("order", MAX_PROBES))
            .callTimeout(Duration.ofMillis(ORDER_TIMEOUT_MS))
            .build();
    this.streams =
        DispatchGuard.addTo(base.newBuilder())
            .dispatcher(dispatcher("engine-stream", MAX_STREAMS))
            .connectionPool(
                new ConnectionPool(MAX_STREAMS, IDLE_CONNECTION_SECONDS, TimeUnit.SECONDS))
            .readTimeout(Duration.ZERO)
            .build();
  }

  private static Dispatcher dispatcher(String name, int max) {
    ExecutorService threads =
        new ThreadPoolExecutor(
            0,
            max,
            IDLE_THREAD_SECONDS,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            task -> {
              Thread thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            });
    Dispatcher dispatcher = new Dispatcher(threads);
    dispatcher.setMaxRequests(max);
    dispatcher.setMaxRequestsPerHost(max);
    return dispatcher;
  }

  /** Receives the result of a probe, on a thread of the client. */
  public interface ProbeListener {
    /** Called if the box sent a valid report. */
    void onReport(BoxReport report, long sentNanos);

    /** Called if the box did not answer or its report is invalid. */
    void onFailure(long sentNanos);
  }

  /** Requests the health report of a box, asynchronously. */
  public void probe(Box box, ProbeListener listener) {
    long sentNanos = System.nanoTime();
    Request request = new Request.Builder().url(url(box, "/health")).build();
    probes
        .newCall(request)
        .enqueue(
            new Callback() {
              @Override
              public void onFailure(Call call, IOException e) {
                listener.onFailure(sentNanos);
              }

              @Override
              public void onResponse(Call call, Response response) {
                BoxReport report;
                try (response) {
                  report = parseReport(box, response);
                } catch (IOException e) {
                  listener.onFailure(sentNanos);
                  return;
                }
                listener.onReport(report, sentNanos);
              }
            });
  }

  private BoxReport parseReport(Box box, Response response) throws IOException {
    JsonNode root = mapper.readTree(AnswerBody.read(response));
    // The address may have been reassigned to another box, whose report must not be used.
    if (!response.isSuccessful() || !root.path("box").asText().equals(box.name())) {
      throw new IOException("no valid report of box " + box.name());
    }
    List<BoxReport.Load> loads = new ArrayList<>();
    for (JsonNode load : root.path("loads")) {
      loads.add(
          new BoxReport.Load(
              load.path("name").asText(),
              load.path("state").asText().equals("ready"),
              load.path("running").asInt()));
    }
    return new BoxReport(root.path("boot_id").asText(), loads, root.path("running").asInt());
  }

  /** Sends an order to load a model, once. */
  public void orderLoad(Generation generation, String version, Box box, LoadName name, int rank) {
    ObjectNode body = mapper.createObjectNode();
    body.put("name", name.toString());
    body.put("model", generation.model());
    body.put("version", version);
    body.put("rank", rank);
    ArrayNode boxes = body.putArray("boxes");
    generation.boxes().forEach(b -> boxes.add(b.address()));
    order(box, "/orders/load", generation.fencingNumber(), body);
  }

  /** Sends an order to unload a model, once. */
  public void orderUnload(Generation generation, Box box, String loadName) {
    ObjectNode body = mapper.createObjectNode();
    body.put("name", loadName);
    order(box, "/orders/unload", generation.fencingNumber(), body);
  }

  /** Sends an order, once. */
  private void order(Box box, String path, long fencingNumber, ObjectNode body) {
    Request request =
        new Request.Builder()
            .url(url(box, path))
            .header(FENCING_HEADER, Long.toString(fencingNumber))
            .post(RequestBody.create(body.toString(), JSON))
            .build();
    orders.newCall(request).enqueue(IGNORE);
  }

  /**
   * Sends a request to the head of a replica.
   *
   * @param generation the generation
   * @param loadName the name of the load as the head box reported it
   * @param submission the request
   * @param guard checked when the connection is established and no byte has been sent yet
   * @param listener receives the answer, on a thread of the client
   * @return the call, for cancelling it
   */
  public Call run(
      Generation generation,
      String loadName,
      Submission submission,
      DispatchGuard guard,
      EngineStream.Listener listener) {
    Request request =
        new Request.Builder()
            .url(url(generation.head(), "/v1/chat/completions"))
            .header(FENCING_HEADER, Long.toString(generation.fencingNumber()))
            .header(REQUEST_ID_HEADER, submission.requestId())
            .tag(DispatchGuard.class, guard)
            .post(RequestBody.create(bodyFor(submission, loadName), JSON))
            .build();
    return enqueue(request, guard, generation, loadName, submission, listener);
  }

  /** Resumes the engine's stream of a request after the events that were received already. */
  public Call resume(
      Generation generation,
      String loadName,
      Submission submission,
      DispatchGuard guard,
      EngineStream.Listener listener) {
    Request request =
        new Request.Builder()
            .url(url(generation.head(), "/v1/streams/" + submission.requestId()))
            .header("Last-Event-ID", Long.toString(submission.resumeAfter() - 1))
            .tag(DispatchGuard.class, guard)
            .build();
    return enqueue(request, guard, generation, loadName, submission, listener);
  }

  /** Asks the engine to cancel a request, since no caller waits for the rest of its stream. */
  public void cancel(Generation generation, String requestId) {
    Request request =
        new Request.Builder()
            .url(url(generation.head(), "/v1/streams/" + requestId))
            .delete()
            .build();
    orders.newCall(request).enqueue(IGNORE);
  }

  private Call enqueue(
      Request request,
      DispatchGuard guard,
      Generation generation,
      String loadName,
      Submission submission,
      EngineStream.Listener listener) {
    Call call = streams.newCall(request);
    call.enqueue(
        new EngineStream(generation.model(), loadName, submission, guard, mapper, listener));
    return call;
  }

  private byte[] bodyFor(Submission submission, String loadName) {
    try {
      ObjectNode root = (ObjectNode) mapper.readTree(submission.body());
      root.put("model", loadName);
      return mapper.writeValueAsBytes(root);
    } catch (IOException e) {
      throw new IllegalStateException("the gateway accepted a malformed body", e);
    }
  }

  private static String url(Box box, String path) {
    return "http://" + box.address() + path;
  }
}
