package org.shoreroad.standins;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;

/**
 * Runs one stand-in as a process: {@code log}, {@code boxes}, {@code weights}, {@code domain} or
 * {@code service}.
 */
@Command(name = "standin", description = "Runs a stand-in for the platform or for engines.")
public final class Main {
  @Option(name = "--port", description = "Port on 127.0.0.1; 0 takes a free one.")
  int port;

  @Option(name = "--boxes-url", description = "URL of the list to which a domain adds its boxes.")
  String boxesUrl = "";

  @Option(name = "--domain", description = "Name of the fabric domain.")
  String domain = "domain-1";

  @Option(name = "--zone", description = "Availability zone of the domain.")
  String zone = "zone-1";

  @Option(name = "--count", description = "Number of boxes of the domain.")
  int count = 4;

  @Option(name = "--fenced", description = "Whether the engines check fencing numbers.")
  boolean isFenced;

  @Option(name = "--token-ms", description = "Time for each token in milliseconds.")
  long tokenMs = 5;

  @Option(name = "--load-ms", description = "Time for a load in milliseconds.")
  long loadMs = 300;

  @Option(name = "--lag-ms", description = "Lag of the list of boxes in milliseconds.")
  long lagMs = 200;

  @Option(name = "--retained-records", description = "Number of records retained in each stream.")
  int retainedRecords = 1_000_000;

  @Option(name = "--appends-per-second", description = "Maximum number of appends in each second.")
  int appendsPerSecond = 400;

  @Arguments(description = "Kind of stand-in: log, boxes, weights, domain or service.")
  List<String> kinds = new ArrayList<>();

  /** Creates the command; Airline sets its fields. */
  public Main() {}

  /** Runs the stand-in until it is killed. */
  public static void main(String[] args) throws Exception {
    Main main = SingleCommand.singleCommand(Main.class).parse(args);
    main.run(main.kinds.isEmpty() ? "" : main.kinds.get(0));
  }

  private void run(String kind) throws IOException, InterruptedException {
    switch (kind) {
      case "log" ->
          System.out.println(
              "ready " + LogServer.start(port, retainedRecords, appendsPerSecond).url());
      case "boxes" -> System.out.println("ready " + BoxListServer.start(port, lagMs).url());
      case "weights" -> System.out.println("ready " + WeightStoreServer.start(port, 4).url());
      case "service" -> System.out.println("ready " + PlainServiceServer.start(port).address());
      case "domain" -> runDomain();
      default -> {
        System.err.println("standin: argument must be one of log, boxes, weights, domain, service");
        System.exit(2);
      }
    }
    Thread.currentThread().join();
  }

  private void runDomain() throws IOException {
    EngineHistory history = new EngineHistory();
    StringBuilder line = new StringBuilder("ready");
    for (int i = 1; i <= count; i++) {
      String name = domain + "-box-" + i;
      EngineServer engine = EngineServer.start(name, isFenced, tokenMs, loadMs, 0, history);
      list(name, engine.address());
      line.append(' ').append(name).append('=').append(engine.address());
    }
    System.out.println(line);
  }

  private void list(String name, String address) throws IOException {
    String body =
        StandInServer.MAPPER.writeValueAsString(
            Map.of(
                "name", name,
                "address", address,
                "fabric_domain", domain,
                "availability_zone", zone));
    Request request =
        new Request.Builder()
            .url(boxesUrl + "/boxes")
            .post(RequestBody.create(body, MediaType.get("application/json")))
            .build();
    new OkHttpClient().newCall(request).execute().close();
  }
}
