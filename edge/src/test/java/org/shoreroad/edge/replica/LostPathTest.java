package org.shoreroad.edge.replica;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.fleet.BoxOrder;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.ObservedBox.Reach;

/** Guards against an owner that takes sound boxes for lost or crashed since its path is lost. */
class LostPathTest {
  private static final long ASK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private long nowNanos = TimeUnit.HOURS.toNanos(1);
  private Engines.ReportFailure failure = Engines.ReportFailure.NO_ANSWER;
  private UnreachedBoxes.Cause cause = UnreachedBoxes.Cause.PATH;
  private final EventLog log = new EventLog("t", () -> nowNanos, OutputStream.nullOutputStream());
  private final Fleet fleet = new Fleet(LostPathTest::decode, () -> nowNanos, log);
  private final EngineMonitor monitor =
      new EngineMonitor(() -> nowNanos, log, fleet, new FailingEngines());
  private final FleetBox box = decode("a", new byte[0]);

  LostPathTest() {
    fleet.onRecord(
        new StoreRecord(StorePosition.of(1, 0), "a", "entry".getBytes(StandardCharsets.UTF_8)));
    monitor.setUnreachedBoxes(
        new UnreachedBoxes() {
          @Override
          public void explainSilence(FleetBox asked, long sinceNanos, Consumer<Cause> callback) {
            callback.accept(cause);
          }

          @Override
          public void explainRefusal(FleetBox asked, Consumer<Cause> callback) {
            callback.accept(cause);
          }
        });
  }

  private static FleetBox decode(String id, byte[] entry) {
    return new FleetBox(id, "llm", id + ":1", "z", 4, false, "d", null, List.of(), null);
  }

  /** Engines that answer no report request. */
  private final class FailingEngines implements Engines {
    @Override
    public void requestReport(FleetBox asked, ReportCallback callback) {
      callback.onFailure(failure);
    }

    @Override
    public void order(FleetBox asked, BoxOrder order, long fence, OrderCallback callback) {
      callback.onOutcome(OrderOutcome.UNANSWERED);
    }
  }

  private Reach reachAfterThreeQuestions() {
    for (int i = 0; i < 3; i++) {
      monitor.requestReport(box, ASK_NANOS, nowNanos);
      nowNanos += ASK_NANOS;
    }
    return monitor.reachability().reach("a", true, nowNanos);
  }

  @Test
  void silenceOnLostPathLosesNoBox() {
    assertThat(reachAfterThreeQuestions(), is(Reach.LIKELY));
  }

  @Test
  void refusalOnLostPathIsNoCrash() {
    failure = Engines.ReportFailure.REFUSED;
    assertThat(reachAfterThreeQuestions(), is(Reach.LIKELY));
  }

  @Test
  void silenceOnSoundPathLosesTheBox() {
    cause = UnreachedBoxes.Cause.SILENT;
    assertThat(reachAfterThreeQuestions(), is(Reach.LOST));
  }

  @Test
  void refusalThatOthersGetTooIsCrash() {
    failure = Engines.ReportFailure.REFUSED;
    cause = UnreachedBoxes.Cause.GONE;
    assertThat(reachAfterThreeQuestions(), is(Reach.GONE));
  }

  @Test
  void silenceBeforeTheLossWasFoundIsForgotten() {
    cause = UnreachedBoxes.Cause.SILENT;
    reachAfterThreeQuestions();
    monitor.reachability().recordUnknown("a");
    assertThat(monitor.reachability().reach("a", true, nowNanos), is(Reach.LIKELY));
  }
}
