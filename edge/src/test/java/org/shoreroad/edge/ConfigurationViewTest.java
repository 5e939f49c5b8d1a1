package org.shoreroad.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.peer.Heartbeat;
import org.shoreroad.edge.peer.Heartbeats;
import org.shoreroad.edge.sync.Store;
import org.shoreroad.edge.sync.StoreCallback;
import org.shoreroad.edge.sync.StorePage;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.edge.sync.Topic;
import org.shoreroad.edge.sync.TopicFollower;
import org.shoreroad.traffic.CallerLimits;
import org.shoreroad.traffic.TrafficConfig;

class ConfigurationViewTest {
  private static final int REVOKE_MS = 5_000;
  private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private long nowNanos = 1_000_000 * MILLI_NANOS;
  private final EventLog log = new EventLog("t", () -> nowNanos, OutputStream.nullOutputStream());
  private long suspendedNanos;
  private final ElapsedClock elapsed =
      new ElapsedClock(() -> nowNanos, () -> (nowNanos + suspendedNanos) / MILLI_NANOS);
  private final ConfigurationView configuration =
      new ConfigurationView(new NumberDecoder(), () -> nowNanos, elapsed, log, REVOKE_MS, true);

  /** Takes the text of a number for a configuration of that version. */
  private static final class NumberDecoder implements ConfigurationView.Decoder {
    @Override
    public boolean isConfiguration(String key) {
      return key.equals("config");
    }

    @Override
    public TrafficConfig decode(byte[] value) {
      long version = Long.parseLong(new String(value, StandardCharsets.UTF_8));
      return TrafficConfig.of(version, List.of(), List.of(), null, CallerLimits.DEFAULT);
    }
  }

  /** A store with one page of nothing, which answers the first call and no other. */
  private static final class OnceStore implements Store {
    @Override
    public void read(Topic topic, long from, int waitMs, StoreCallback<StorePage> callback) {
      // Never answers.
    }

    @Override
    public void readNewest(Topic topic, String afterKey, StoreCallback<StorePage> callback) {
      callback.onValue(new StorePage(List.of(), StorePosition.of(1, 3), false));
    }

    @Override
    public void write(
        Topic topic, String key, byte[] value, StoreCallback<StorePosition> callback) {
      throw new UnsupportedOperationException();
    }
  }

  private void take(String text) {
    configuration.onRecord(
        new StoreRecord(StorePosition.of(1, 0), "config", text.getBytes(StandardCharsets.UTF_8)));
  }

  private void follow() {
    follow(configuration);
  }

  private void follow(ConfigurationView by) {
    TopicFollower follower =
        new TopicFollower(
            Topic.CONFIGURATION,
            new OnceStore(),
            new EmbeddedChannel().eventLoop(),
            () -> nowNanos,
            log,
            1_000,
            () -> 0,
            by);
    by.setFollower(follower);
    follower.start();
  }

  private static Heartbeat heartbeat(long echoNanos, long offset, long ageNanos) {
    return Heartbeats.of("p").withConfig(echoNanos, offset, ageNanos);
  }

  @Test
  void versionsOnlyRise() {
    assertThat(configuration.config(), is(nullValue()));
    take("7");
    take("5");
    assertThat(configuration.config().version(), is(7L));
    take("8");
    assertThat(configuration.config().version(), is(8L));
  }

  @Test
  void anUnreadableVersionLeavesTheLastGoodOne() {
    take("7");
    take("nonsense");
    assertThat(configuration.config().version(), is(7L));
  }

  @Test
  void otherKeysAreNoConfiguration() {
    configuration.onRecord(new StoreRecord(StorePosition.of(1, 0), "other", new byte[] {'9'}));
    assertThat(configuration.config(), is(nullValue()));
  }

  @Test
  void keysAreTrustedForLessThanTheTimeToTakeThemAway() {
    assertThat(configuration.mayTrustKeys(), is(false));
    follow();
    assertThat(configuration.mayTrustKeys(), is(true));
    nowNanos += (REVOKE_MS - 501) * MILLI_NANOS;
    assertThat(configuration.mayTrustKeys(), is(true));
    nowNanos += 2 * MILLI_NANOS;
    assertThat(configuration.mayTrustKeys(), is(false));
  }

  /**
   * A box was suspended for six seconds, and a key was taken away meanwhile. The steady clock had
   * not counted that time: by it the proof was as fresh as before, and the key would have been used
   * for five seconds more.
   */
  @Test
  void aProofFromBeforeASuspensionIsAsOldAsTheTimeThatHasPassed() {
    follow();
    nowNanos += 100 * MILLI_NANOS;
    assertThat(configuration.mayTrustKeys(), is(true));
    suspendedNanos += 6_000 * MILLI_NANOS;
    assertThat(configuration.mayTrustKeys(), is(false));
    assertThat(configuration.configAgeMs(), is(6_100L));
    nowNanos += 50 * MILLI_NANOS;
    configuration.learn(Heartbeats.of("peer").withConfig(nowNanos, 3, 0));
    assertThat(configuration.mayTrustKeys(), is(true));
  }

  @Test
  void withoutTheNeedOfAProofKnownKeysAreUsedOnWhileTheStoreIsAway() {
    ConfigurationView lenient =
        new ConfigurationView(new NumberDecoder(), () -> nowNanos, elapsed, log, REVOKE_MS, false);
    assertThat(lenient.mayTrustKeys(), is(false));
    follow(lenient);
    lenient.onRecord(new StoreRecord(StorePosition.of(1, 0), "config", new byte[] {'7'}));
    assertThat(lenient.isProved(), is(true));
    nowNanos += 10 * REVOKE_MS * MILLI_NANOS;
    assertThat(lenient.mayTrustKeys(), is(true));
    assertThat(lenient.isProved(), is(false));
  }

  @Test
  void whoNeedsNoProofServesWithoutOneUnlessAPeerHasOne() {
    ConfigurationView lenient =
        new ConfigurationView(new NumberDecoder(), () -> nowNanos, elapsed, log, REVOKE_MS, false);
    follow(lenient);
    lenient.onRecord(new StoreRecord(StorePosition.of(1, 0), "config", new byte[] {'7'}));
    assertThat(lenient.isServing(), is(true));
    nowNanos += 2 * REVOKE_MS * MILLI_NANOS;
    assertThat(lenient.isServing(), is(true));
    // The peer has read further, so its proof does not hold here.
    lenient.learn(heartbeat(nowNanos, 4, 0));
    assertThat(lenient.isServing(), is(false));
    nowNanos += 1_100 * MILLI_NANOS;
    assertThat(lenient.isServing(), is(true));
  }

  @Test
  void whoNeedsAProofDoesNotServeWithoutOne() {
    follow();
    take("7");
    assertThat(configuration.isServing(), is(true));
    nowNanos += 2 * REVOKE_MS * MILLI_NANOS;
    assertThat(configuration.isServing(), is(false));
  }

  @Test
  void aProofLastsUntilTheNextReadHasCome() {
    for (int revokeMs : new int[] {1_500, 3_000, 5_000, 20_000}) {
      int waitMs = ConfigurationView.readWaitMs(revokeMs);
      // Two reads in a row are the oldest that a proof becomes in calm times.
      assertThat(2 * (waitMs + 100), is(lessThan(revokeMs - 500)));
    }
  }

  @Test
  void aPeersProofCountsFromThisProcessesOwnClock() {
    follow();
    nowNanos += 4_000 * MILLI_NANOS;
    long echoNanos = nowNanos - 200 * MILLI_NANOS;
    configuration.learn(heartbeat(echoNanos, 3, 300 * MILLI_NANOS));
    assertThat(configuration.configAgeMs(), is(500L));
  }

  @Test
  void aPeerThatKnowsMoreOrEchoesNothingProvesNothing() {
    follow();
    nowNanos += 4_000 * MILLI_NANOS;
    configuration.learn(heartbeat(nowNanos, 4, 0));
    assertThat(configuration.configAgeMs(), is(4_000L));
    configuration.learn(heartbeat(0, 3, 0));
    assertThat(configuration.configAgeMs(), is(4_000L));
  }

  /**
   * A process that starts after the store came back from an older copy reads a version from before
   * a key was taken away; the others know the later one.
   */
  @Test
  void aVersionThatOnlyAPeerKnowsIsWaitedFor() {
    follow();
    take("7");
    assertThat(configuration.mayTrustKeys(), is(true));
    configuration.learn(Heartbeats.of("peer").withVersion(9));
    // What was proved before says nothing of it: the version may be on its way.
    assertThat(configuration.mayTrustKeys(), is(true));
    nowNanos += 200 * MILLI_NANOS;
    configuration.learn(Heartbeats.of("peer").withConfig(nowNanos, 3, 0));
    assertThat(configuration.mayTrustKeys(), is(false));
    take("9");
    assertThat(configuration.mayTrustKeys(), is(true));
  }

  @Test
  void aVersionThatNoPeerTellsAnyMoreIsNotWaitedFor() {
    follow();
    take("7");
    configuration.learn(Heartbeats.of("peer").withVersion(9));
    nowNanos += 200 * MILLI_NANOS;
    configuration.learn(Heartbeats.of("peer").withConfig(nowNanos, 3, 0));
    assertThat(configuration.mayTrustKeys(), is(false));
    nowNanos += 1_000 * MILLI_NANOS;
    assertThat(configuration.mayTrustKeys(), is(true));
  }

  @Test
  void aVersionThatThisReleaseCannotReadIsNotWaitedFor() {
    follow();
    take("7");
    take("nonsense");
    configuration.learn(Heartbeats.of("peer").withVersion(9));
    nowNanos += 200 * MILLI_NANOS;
    configuration.learn(Heartbeats.of("peer").withConfig(nowNanos, 3, 0));
    assertThat(configuration.mayTrustKeys(), is(true));
  }
}
