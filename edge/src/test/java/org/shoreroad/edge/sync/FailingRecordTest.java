package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasEntry;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.shoreroad.edge.EventLog;

/** Guards against a record that ends the reads of its topic because its listener fails. */
class FailingRecordTest extends FollowerFixture {
  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private final EventLog lines = new EventLog("t", () -> nowNanos, written);
  private final AtomicInteger failures = new AtomicInteger();
  private final Set<String> delivered = new LinkedHashSet<>();
  private final Set<String> listed = new HashSet<>();

  /** Returns what a listener may throw. */
  static Stream<Throwable> failures() {
    return Stream.of(
        new IllegalStateException("odd"), new StackOverflowError(), new NoClassDefFoundError());
  }

  /** Returns a follower whose listener fails at the key {@code odd}. */
  private TopicFollower followerFailingWith(Throwable failure) {
    TopicFollower.Listener listener =
        new TopicFollower.Listener() {
          @Override
          public void onRecord(StoreRecord record) {
            if (record.key().equals("odd")) {
              throwUnchecked(failure);
            }
            delivered.add(record.key());
          }

          @Override
          public void onListed(Set<String> keys, StorePosition end) {
            listed.addAll(keys);
          }
        };
    TopicFollower failing =
        new TopicFollower(
            Topic.UPSTREAMS,
            store,
            channel.eventLoop(),
            () -> nowNanos,
            lines,
            1_000,
            () -> 0,
            listener);
    failing.setFailureListener(failures::incrementAndGet);
    return failing;
  }

  private static void throwUnchecked(Throwable failure) {
    if (failure instanceof Error error) {
      throw error;
    }
    throw (RuntimeException) failure;
  }

  private String log() {
    lines.flush();
    return written.toString(StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @MethodSource("failures")
  void listingIsFinished(Throwable failure) {
    store.put("a", "1");
    store.put("odd", "1");
    store.put("z", "1");
    TopicFollower failing = followerFailingWith(failure);
    failing.start();
    assertThat(delivered, contains("a", "z"));
    assertThat(listed, is(Set.of("a", "odd", "z")));
    assertThat(failing.isCurrent(), is(true));
  }

  @ParameterizedTest
  @MethodSource("failures")
  void laterRecordsAreRead(Throwable failure) {
    TopicFollower failing = followerFailingWith(failure);
    failing.start();
    store.put("a", "1");
    store.put("odd", "1");
    store.put("b", "1");
    advance(SECOND_NANOS);
    store.put("c", "1");
    advance(SECOND_NANOS);
    assertThat(delivered, contains("a", "b", "c"));
    assertThat(failing.next().offset(), is(4L));
    assertThat(failing.provenNanos(), is(nowNanos));
  }

  @ParameterizedTest
  @MethodSource("failures")
  void laterRecordsOfPeersAreRead(Throwable failure) {
    TopicFollower failing = followerFailingWith(failure);
    failing.readThroughPeersWhile(() -> true, 1_500);
    failing.start();
    ListUpdate update =
        new ListUpdate(
            StorePosition.of(1, 0),
            StorePosition.of(1, 2),
            0,
            60 * SECOND_NANOS,
            List.of(record(0, "odd"), record(1, "b")));
    failing.applyPeerUpdate(update, nowNanos);
    assertThat(delivered, contains("b"));
    assertThat(failing.next().offset(), is(2L));
  }

  private static StoreRecord record(long offset, String key) {
    return new StoreRecord(StorePosition.of(1, offset), key, new byte[] {1});
  }

  @Test
  void failureIsCountedAndLoggedWithItsKey() {
    store.put("a", "1");
    store.put("odd", "1");
    followerFailingWith(new IllegalStateException("no such state")).start();
    assertThat(failures.get(), is(1));
    assertThat(
        log(),
        allOf(
            containsString("\"event\":\"record_failed\""),
            containsString("\"topic\":\"UPSTREAMS\""),
            containsString("\"key\":\"odd\""),
            containsString("\"offset\":1"),
            containsString("no such state")));
  }

  /** Guards against bytes that are no record at the end of a topic, which is then never reached. */
  @Test
  void bytesThatAreNoRecordArePassedOver() {
    TopicFollower failing = followerFailingWith(new IllegalStateException());
    failing.start();
    store.put("a", "1");
    store.putUnreadable();
    store.put("b", "1");
    store.putUnreadable();
    store.cutReadsAfter(2);
    advance(SECOND_NANOS);
    assertThat(failing.next().offset(), is(2L));
    advance(SECOND_NANOS);
    assertThat(delivered, contains("a", "b"));
    assertThat(failing.next().offset(), is(4L));
    assertThat(failing.provenNanos(), is(nowNanos));
    assertThat(failures.get(), is(2));
    failing.renewProof();
    assertThat(failures.get(), is(2));
  }

  @Test
  void failureOfAListingDoesNotEndTheReads() {
    TopicFollower failing =
        follow(
            new TopicFollower.Listener() {
              @Override
              public void onRecord(StoreRecord record) {
                seen.put(record.key(), "read");
              }

              @Override
              public void onListed(Set<String> keys, StorePosition end) {
                throw new IllegalStateException("odd");
              }
            });
    failing.start();
    store.put("a", "1");
    advance(SECOND_NANOS);
    assertThat(seen, hasEntry("a", "read"));
  }
}
