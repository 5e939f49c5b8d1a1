package org.shoreroad.edge.sync;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.shoreroad.edge.EventLog;

/** Follower of an in-memory store with a fake clock. */
abstract class FollowerFixture {
  static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  final EmbeddedChannel channel = new EmbeddedChannel();
  long nowNanos = 100 * SECOND_NANOS;
  final EventLog log = new EventLog("t", () -> nowNanos, OutputStream.nullOutputStream());
  final FakeStore store = new FakeStore();

  /** The newest value of each key that was read, {@code "-"} where it was removed. */
  final Map<String, String> seen = new LinkedHashMap<>();

  final TopicFollower follower = follow(new Recorder());

  final TopicFollower follow(TopicFollower.Listener listener) {
    return new TopicFollower(
        Topic.UPSTREAMS, store, channel.eventLoop(), () -> nowNanos, log, 1_000, () -> 0, listener);
  }

  private final class Recorder implements TopicFollower.Listener {
    @Override
    public void onRecord(StoreRecord record) {
      byte[] value = record.value();
      seen.put(record.key(), value == null ? "-" : new String(value, StandardCharsets.UTF_8));
    }
  }

  /** Advances the clock and runs the scheduled tasks of the follower. */
  final void advance(long nanos) {
    nowNanos += nanos;
    channel.advanceTimeBy(nanos, TimeUnit.NANOSECONDS);
    channel.runScheduledPendingTasks();
  }
}
