package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.admission.GrantEnd;
import org.shoreroad.admission.RoomDecision;
import org.shoreroad.admission.RoomRefusal;
import org.shoreroad.admission.RoomRequest;
import org.shoreroad.edge.sync.Evacuations;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.traffic.CallerLimits;
import org.shoreroad.traffic.ColdStart;
import org.shoreroad.traffic.TrafficConfig;
import org.shoreroad.traffic.UpstreamService;

/** Tests what the relay does with the results of asks for room, which a fake broker scripts. */
class GrantedRoomTest extends LoopbackRelay {
  private static final int RETRY_AFTER_MS = 1_234;

  private static final FakeUpstream.Script STREAMING =
      (head, out, socket) -> {
        write(out, STREAM_HEAD);
        writeChunk(out, FIRST_EVENT);
        write(out, "0\r\n\r\n");
        return true;
      };

  private static final FakeUpstream.Script REJECTING =
      (head, out, socket) -> {
        write(out, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        return true;
      };

  private final List<RoomBroker.Query> queries = new CopyOnWriteArrayList<>();
  private final List<String> ends = new CopyOnWriteArrayList<>();
  private final List<Consumer<RoomBroker.Listener>> script = new ArrayList<>();
  private Evacuations evacuations;
  private ColdGate coldGate;
  private final Set<String> expired = new HashSet<>();
  private volatile int withdrawn;

  /** Broker that answers the asks as the script says; those beyond it stay without a result. */
  private final class FakeBroker implements RoomBroker {
    @Override
    public boolean isShared(UpstreamService service, String model) {
      return true;
    }

    @Override
    public Ask prepare(Query query, Listener listener) {
      return new Ask() {
        @Override
        public void send() {
          queries.add(query);
          if (!script.isEmpty()) {
            script.remove(0).accept(listener);
          }
        }

        @Override
        public void withdraw() {
          withdrawn++;
        }
      };
    }
  }

  @BeforeEach
  void connectParts() throws Exception {
    loop.submit(
            () -> {
              relay.setRoomBroker(new FakeBroker());
              evacuations = new Evacuations(log);
              ZoneGate zoneGate = new ZoneGate(fleet, evacuations);
              coldGate = new ColdGate(SELF, fleet, this::coldConfig, clockNanos, log, metrics);
              table.setZoneGate(zoneGate);
              backpressure.setGates(coldGate, zoneGate);
            })
        .sync();
  }

  private TrafficConfig coldConfig() {
    UpstreamService service = new UpstreamService("llm", 100, null, new ColdStart(60, 10));
    return TrafficConfig.of(1, List.of(), List.of(service), null, CallerLimits.DEFAULT);
  }

  private void grant(String headId) {
    grant(headId, () -> {});
  }

  /** Grants room; the action runs while the connection to the head is being opened. */
  private void grant(String headId, Runnable whileConnecting) {
    script.add(
        listener -> {
          listener.onGranted(new FakeGrant(headId));
          whileConnecting.run();
        });
  }

  private final class FakeGrant implements RoomBroker.Grant {
    private final String headId;

    FakeGrant(String headId) {
      this.headId = headId;
    }

    @Override
    public String headId() {
      return headId;
    }

    @Override
    public boolean isInForce() {
      return !expired.contains(headId);
    }

    @Override
    public void end(GrantEnd end) {
      ends.add(headId + " " + end);
    }
  }

  private void refuse() {
    RoomRequest.Key key = new RoomRequest.Key(SELF, 1);
    script.add(
        listener ->
            listener.onRefused(
                RoomDecision.refused(key, RoomRefusal.TARGET_OUT_OF_REACH, RETRY_AFTER_MS),
                Set.of("head-1")));
  }

  @Test
  void aGrantedRequestIsSentToThisHeadAndEndsAsUsed() throws Exception {
    upstream("head-1", STREAMING);
    FakeUpstream granted = upstream("head-2", STREAMING);
    grant("head-2");
    assertThat(
        call("/llm/", "secret", "X-Tokens: 30,50\r\nX-Length-Hint: 80\r\n"),
        startsWith("HTTP/1.1 200"));
    assertThat(granted.requestHeads(), hasSize(1));
    assertThat(ends, is(List.of("head-2 USED")));
    RoomBroker.Query query = queries.get(0);
    assertThat(query.account(), is("office"));
    assertThat(query.promptTokens(), is(30L));
    assertThat(query.answerTokens(), is(50));
    assertThat(query.targetLatencyMs(), is(200));
  }

  @Test
  void theSameContentHasTheSameHash() throws Exception {
    upstream("head-1", STREAMING);
    grant("head-1");
    grant("head-1");
    call("/llm/a");
    call("/llm/a");
    assertThat(queries.get(0).contentHash(), is(queries.get(1).contentHash()));
  }

  @Test
  void aRefusalTellsThePlannedReturn() throws Exception {
    FakeUpstream head = upstream("head-1", STREAMING);
    refuse();
    String answer = call("/llm/");
    assertThat(answer, startsWith("HTTP/1.1 503"));
    assertThat(answer.toLowerCase(), containsString("retry-after: 1.234\r"));
    assertThat(head.requestHeads(), hasSize(0));
    assertThat(logged(), containsString("TARGET_OUT_OF_REACH"));
  }

  @Test
  void aRequestThatAnEngineRejectedAsksAgainWithoutThisHead() throws Exception {
    upstream("head-1", REJECTING);
    upstream("head-2", STREAMING);
    grant("head-1");
    grant("head-2");
    assertThat(call("/llm/"), startsWith("HTTP/1.1 200"));
    assertThat(ends, is(List.of("head-1 REJECTED", "head-2 USED")));
    assertThat(queries.get(1).excludedHeads(), is(Set.of("head-1")));
  }

  @Test
  void aStreamThatBrokeOffIsResumedByOwnChoice() throws Exception {
    upstream("head-1", BREAKS_OFF_MIDWAY);
    FakeUpstream other = upstream("head-2", STREAMING);
    grant("head-1");
    call("/llm/");
    assertThat(ends, is(List.of("head-1 FAILED")));
    assertThat(queries, hasSize(1));
    assertThat(other.requestHeads(), hasSize(1));
  }

  @Test
  void headsThatCannotBeUsedAreGivenBackUntilTheProcessChoosesItself() throws Exception {
    upstream("head-1", STREAMING);
    grant("gone-1");
    grant("gone-2");
    grant("gone-3");
    assertThat(call("/llm/"), startsWith("HTTP/1.1 200"));
    assertThat(ends, is(List.of("gone-1 UNUSED", "gone-2 UNUSED", "gone-3 UNUSED")));
    assertThat(queries.get(2).excludedHeads(), is(Set.of("gone-1", "gone-2")));
  }

  @Test
  void aHeadThatCannotBeReachedIsGivenBack() throws Exception {
    FakeUpstream gone = upstream("head-1", STREAMING);
    gone.close();
    upstream("head-2", STREAMING);
    grant("head-1");
    grant("head-2");
    assertThat(call("/llm/"), startsWith("HTTP/1.1 200"));
    assertThat(ends, is(List.of("head-1 UNUSED", "head-2 USED")));
  }

  @Test
  void nothingIsSentUnderAGrantThatExpiresBefore() throws Exception {
    FakeUpstream head = upstream("head-1", STREAMING);
    upstream("head-2", STREAMING);
    grant("head-1", () -> expired.add("head-1"));
    grant("head-2");
    assertThat(call("/llm/"), startsWith("HTTP/1.1 200"));
    assertThat(head.requestHeads(), hasSize(0));
    assertThat(ends, is(List.of("head-1 UNUSED", "head-2 USED")));
  }

  @Test
  void nothingIsSentUnderAGrantToAZoneThatIsEvacuatedBefore() throws Exception {
    FakeUpstream head = upstream("head-1", STREAMING);
    grant(
        "head-1",
        () -> evacuations.applyRecord(head("head-1").zone(), true, StorePosition.of(1, 1)));
    script.add(RoomBroker.Listener::onUnavailable);
    assertThat(call("/llm/").toLowerCase(), containsString("x-shoreroad-reason: evacuated"));
    assertThat(head.requestHeads(), hasSize(0));
    assertThat(ends, is(List.of("head-1 UNUSED")));
  }

  @Test
  void nothingIsSentUnderAGrantToAHeadThatTurnsColdBefore() throws Exception {
    FakeUpstream head = upstream("head-1", STREAMING);
    upstream("head-2", STREAMING);
    grant("head-1", () -> coldGate.recordEntry(head("head-1").incarnation(), 60_000));
    grant("head-2");
    assertThat(call("/llm/"), startsWith("HTTP/1.1 200"));
    assertThat(head.requestHeads(), hasSize(0));
    assertThat(ends, is(List.of("head-1 UNUSED", "head-2 USED")));
  }

  private FleetBox head(String id) {
    return Objects.requireNonNull(fleet.find(id));
  }

  @Test
  void withoutAnAnsweringOwnerTheProcessChoosesByItself() throws Exception {
    upstream("head-1", STREAMING);
    script.add(RoomBroker.Listener::onUnavailable);
    assertThat(call("/llm/"), startsWith("HTTP/1.1 200"));
  }

  @Test
  void aRefusedRequestGoesToAHeadWithoutAnAnsweringOwner() throws Exception {
    FakeUpstream covered = upstream("head-1", STREAMING);
    FakeUpstream left = upstream("head-2", STREAMING);
    refuse();
    assertThat(call("/llm/"), startsWith("HTTP/1.1 200"));
    assertThat(covered.requestHeads(), hasSize(0));
    assertThat(left.requestHeads(), hasSize(1));
  }

  @Test
  void anAskIsWithdrawnAtTheDeadline() throws Exception {
    upstream("head-1", STREAMING);
    assertThat(call("/llm/"), containsString("not_sent_in_time"));
    assertThat(withdrawn, is(1));
  }

  @Test
  void anAskIsWithdrawnWhenItsCallerLeaves() throws Exception {
    upstream("head-1", STREAMING);
    Thread caller = new Thread(this::callAndLeave);
    caller.start();
    caller.join();
    for (int i = 0; i < 100 && withdrawn == 0; i++) {
      Thread.sleep(20);
    }
    assertThat(withdrawn, is(1));
    assertThat(endedCount(RequestEnd.CALLER_GONE), is(1L));
  }

  private void callAndLeave() {
    try (Socket socket = connect()) {
      write(
          socket.getOutputStream(),
          "GET /llm/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt: a1\r\nX-Model: m\r\n"
              + "Authorization: Bearer secret\r\n\r\n");
      for (int i = 0; i < 100 && queries.isEmpty(); i++) {
        Thread.sleep(20);
      }
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void plainServicesAskForNoRoom() throws Exception {
    upstream("i-1", SERVING);
    assertThat(call("/once/"), startsWith("HTTP/1.1 200"));
    assertThat(queries, hasSize(0));
  }
}
