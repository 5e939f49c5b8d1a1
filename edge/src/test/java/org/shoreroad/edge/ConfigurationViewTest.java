package org.shoreroad.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
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

  /** Decodes a number as a configuration of that version. */
  private static final class NumberDecoder implements ConfigurationView.Decoder {
    @Override
    public boolean isConfiguration(String key) {
      return key.equals("config");
    }

    @Override
    public TrafficConfig decode(byte[] value, Consumer<IgnoredValue> ignoredValues) {
      long version = Long.parseLong(new String(value, StandardCharsets.UTF_8));
      ignoredValues.accept(
          new IgnoredValue(IgnoredValue.Owner.ACCOUNT, "", "name_empty", "left out"));
      return TrafficConfig.of(version, List.of(), List.of(), null, CallerLimits.DEFAULT);
    }
  }

  /** Store that answers the first call with an empty page, and no other call. */
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

  private void receive(String text) {
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
  void versionsNeverDecrease() {
    assertThat(configuration.config(), is(nullValue()));
    receive("7");
    receive("5");
    assertThat(configuration.config().version(), is(7L));
    receive("8");
    assertThat(configuration.config().version(), is(8L));
  }

  @Test
  void unreadableVersionKeepsTheLastReadableOne() {
    receive("7");
    receive("nonsense");
    assertThat(configuration.config().version(), is(7L));
  }

  /** Guards against a value that is not used without a count. */
  @Test
  void valuesThatAreNotUsedAreCountedOnceTheVersionIsTaken() {
    List<String> counted = new ArrayList<>();
    configuration.setIgnoredValueListener(counted::add);
    receive("7");
    receive("5");
    assertThat(counted, is(List.of("name_empty")));
  }

  @Test
  void otherKeysAreIgnored() {
    configuration.onRecord(new StoreRecord(StorePosition.of(1, 0), "other", new byte[] {'9'}));
    assertThat(configuration.config(), is(nullValue()));
  }

  @Test
  void keysAreTrustedForLessThanTheRevocationTime() {
    assertThat(configuration.mayTrustKeys(), is(false));
    follow();
    assertThat(configuration.mayTrustKeys(), is(true));
    nowNanos += (REVOKE_MS - 501) * MILLI_NANOS;
    assertThat(configuration.mayTrustKeys(), is(true));
    nowNanos += 2 * MILLI_NANOS;
    assertThat(configuration.mayTrustKeys(), is(false));
  }

  /**
   * Guards against use of a key that was revoked while the box was suspended for six seconds. The
   * steady clock does not count that time, so the key would be used for five seconds more.
   */
  @Test
  void ageOfAProofIncludesASuspension() {
    follow();
    nowNanos += 100 * MILLI_NANOS;
    assertThat(configuration.mayTrustKeys(), is(true));
    suspendedNanos += 6_000 * MILLI_NANOS;
    assertThat(configuration.mayTrustKeys(), is(false));
    assertThat(configuration.configAgeMs(), is(6_100L));
    nowNanos += 50 * MILLI_NANOS;
    configuration.applyHeartbeat(Heartbeats.of("peer").withConfig(nowNanos, 3, 0));
    assertThat(configuration.mayTrustKeys(), is(true));
  }

  @Test
  void withoutRequiredProofKeysAreTrustedDuringAStoreOutage() {
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
  void withoutRequiredProofServesUnlessAPeerHasAProof() {
    ConfigurationView lenient =
        new ConfigurationView(new NumberDecoder(), () -> nowNanos, elapsed, log, REVOKE_MS, false);
    follow(lenient);
    lenient.onRecord(new StoreRecord(StorePosition.of(1, 0), "config", new byte[] {'7'}));
    assertThat(lenient.isServing(), is(true));
    nowNanos += 2 * REVOKE_MS * MILLI_NANOS;
    assertThat(lenient.isServing(), is(true));
    // The peer has read further, so its proof does not hold here.
    lenient.applyHeartbeat(heartbeat(nowNanos, 4, 0));
    assertThat(lenient.isServing(), is(false));
    nowNanos += 1_100 * MILLI_NANOS;
    assertThat(lenient.isServing(), is(true));
  }

  @Test
  void withRequiredProofDoesNotServeWithoutOne() {
    follow();
    receive("7");
    assertThat(configuration.isServing(), is(true));
    nowNanos += 2 * REVOKE_MS * MILLI_NANOS;
    assertThat(configuration.isServing(), is(false));
  }

  @Test
  void proofLastsUntilTheAnswerToTheNextRead() {
    for (int revokeMs : new int[] {1_500, 3_000, 5_000, 20_000}) {
      int waitMs = ConfigurationView.readWaitMs(revokeMs);
      // Without faults a proof is never older than two consecutive reads.
      assertThat(2 * (waitMs + 100), is(lessThan(revokeMs - 500)));
    }
  }

  @Test
  void ageOfAPeerProofIsMeasuredOnTheOwnClock() {
    follow();
    nowNanos += 4_000 * MILLI_NANOS;
    long echoNanos = nowNanos - 200 * MILLI_NANOS;
    configuration.applyHeartbeat(heartbeat(echoNanos, 3, 300 * MILLI_NANOS));
    assertThat(configuration.configAgeMs(), is(500L));
  }

  @Test
  void peerProofIsIgnoredIfThePeerIsAheadOrEchoesNothing() {
    follow();
    nowNanos += 4_000 * MILLI_NANOS;
    configuration.applyHeartbeat(heartbeat(nowNanos, 4, 0));
    assertThat(configuration.configAgeMs(), is(4_000L));
    configuration.applyHeartbeat(heartbeat(0, 3, 0));
    assertThat(configuration.configAgeMs(), is(4_000L));
  }

  /**
   * Guards against use of a revoked key by a process that starts after the store was restored from
   * an older copy. It reads a version from before the revocation; its peers have the later one.
   */
  @Test
  void keysAreNotTrustedWhileAPeerHasALaterVersion() {
    follow();
    receive("7");
    assertThat(configuration.mayTrustKeys(), is(true));
    configuration.applyHeartbeat(Heartbeats.of("peer").withVersion(9));
    // A proof from before the heartbeat remains valid, since the version may still arrive.
    assertThat(configuration.mayTrustKeys(), is(true));
    nowNanos += 200 * MILLI_NANOS;
    configuration.applyHeartbeat(Heartbeats.of("peer").withConfig(nowNanos, 3, 0));
    assertThat(configuration.mayTrustKeys(), is(false));
    receive("9");
    assertThat(configuration.mayTrustKeys(), is(true));
  }

  @Test
  void laterVersionThatNoPeerReportsAnyMoreIsIgnored() {
    follow();
    receive("7");
    configuration.applyHeartbeat(Heartbeats.of("peer").withVersion(9));
    nowNanos += 200 * MILLI_NANOS;
    configuration.applyHeartbeat(Heartbeats.of("peer").withConfig(nowNanos, 3, 0));
    assertThat(configuration.mayTrustKeys(), is(false));
    nowNanos += 1_000 * MILLI_NANOS;
    assertThat(configuration.mayTrustKeys(), is(true));
  }

  @Test
  void laterVersionThatThisReleaseCannotReadIsIgnored() {
    follow();
    receive("7");
    receive("nonsense");
    configuration.applyHeartbeat(Heartbeats.of("peer").withVersion(9));
    nowNanos += 200 * MILLI_NANOS;
    configuration.applyHeartbeat(Heartbeats.of("peer").withConfig(nowNanos, 3, 0));
    assertThat(configuration.mayTrustKeys(), is(true));
  }

  /**
   * A member whose hub can't read the store must have a change in force within three seconds, of
   * which the check and the read take up to 0.5 s. A process that reads too late refuses callers
   * whose keys are valid.
   */
  @Test
  void proofOfPeersIsReplacedBeforeAChangeIsLateAndWhileKeysAreTrusted() {
    assertThat(ConfigurationView.peerProofMs(5_000), is(lessThanOrEqualTo(2_500)));
    assertThat(ConfigurationView.peerProofMs(2_000), is(600));
    assertThat(ConfigurationView.peerProofMs(1_000), is(100));
  }
}
