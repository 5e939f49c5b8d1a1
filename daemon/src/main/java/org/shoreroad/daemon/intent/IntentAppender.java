package org.shoreroad.daemon.intent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.shoreroad.daemon.kernel.EventLoop;
import org.shoreroad.daemon.kernel.Kernel;
import org.shoreroad.daemon.kernel.Service;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.daemon.peer.ClaimResult;
import org.shoreroad.daemon.peer.PeerLink;
import org.shoreroad.daemon.peer.PeerListener;
import org.shoreroad.daemon.peer.PeerMessage;
import org.shoreroad.daemon.peer.PeerTransport;
import org.shoreroad.daemon.platform.LogBatch;
import org.shoreroad.daemon.platform.LogException;
import org.shoreroad.daemon.platform.PlatformLog;
import org.shoreroad.daemon.settings.Settings;
import org.shoreroad.intent.IntentRecord;
import org.shoreroad.intent.IntentTable;
import org.shoreroad.intent.KeyState;
import org.shoreroad.state.Node;

/**
 * Appends the claims of gateways to the intent streams in batches, and answers them from the
 * streams.
 *
 * <p>A claim is answered only after the stream was read through the claim's own record, so several
 * processes can append to a stream at the same time. The streams are read only when there are
 * claims. All work is done on one thread; calls are thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class IntentAppender implements Service, PeerListener {
  /** The name of this service. */
  public static final String NAME = "intent-keeper";

  /** The prefix of the names of intent streams; the shard number follows. */
  public static final String STREAM_PREFIX = "intents-";

  private static final long BUSY_TICK_MS = 2;
  private static final long IDLE_TICK_MS = 200;
  private static final int MAX_RECORDS = 5_000;
  private static final int MAX_PENDING_CLAIMS = 10_000;
  private static final Runnable IGNORE_NOT_SENT = () -> {};

  private final PlatformLog log;
  private final PeerLink link;
  private final PeerTransport transport;
  private final Metrics metrics;
  private final long appendNanos;
  private final EventLoop eventLoop = new EventLoop(NAME, this::tick);
  private final Map<Integer, Shard> shards = new HashMap<>();

  private record PendingClaim(IntentRecord record, Consumer<ClaimResult> answer) {}

  /** The applied state and the pending claims of one intent stream. */
  private static final class Shard {
    private final IntentTable table = new IntentTable();
    private List<PendingClaim> pending = new ArrayList<>();
    private long appendedNanos;
    private boolean hasAppended;
  }

  /** Creates the appender; {@link #start} starts its thread. */
  @Inject
  public IntentAppender(
      PlatformLog log, PeerTransport transport, Metrics metrics, Settings settings) {
    this.log = log;
    this.link = transport;
    this.transport = transport;
    this.metrics = metrics;
    this.appendNanos = TimeUnit.MILLISECONDS.toNanos(settings.intentAppendMs());
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void start(Kernel kernel) {
    transport.addListener(this);
    eventLoop.start();
  }

  @Override
  public void stop() {
    eventLoop.stop();
  }

  /**
   * Appends an intent record and passes the result to a consumer.
   *
   * @param shard the number of the stream
   * @param record the record
   * @param answer receives the result, on this service's thread or the caller's
   */
  public void claim(int shard, IntentRecord record, Consumer<ClaimResult> answer) {
    boolean isPosted = eventLoop.tryPost(() -> enqueue(shard, new PendingClaim(record, answer)));
    if (!isPosted) {
      answer.accept(ClaimResult.UNAVAILABLE);
    }
  }

  @Override
  public void onMessage(Node from, PeerMessage message) {
    if (message instanceof PeerMessage.ClaimRequest request) {
      claim(
          request.shard(),
          request.record(),
          result ->
              link.send(
                  from, new PeerMessage.ClaimResponse(request.callId(), result), IGNORE_NOT_SENT));
    }
  }

  private void enqueue(int number, PendingClaim claim) {
    Shard shard = shards.computeIfAbsent(number, n -> new Shard());
    if (shard.pending.size() >= MAX_PENDING_CLAIMS) {
      claim.answer().accept(ClaimResult.UNAVAILABLE);
      return;
    }
    shard.pending.add(claim);
    appendIfDue(number, shard, System.nanoTime());
  }

  private long tick(long nowNanos) {
    shards.forEach((number, shard) -> appendIfDue(number, shard, nowNanos));
    boolean isBusy = shards.values().stream().anyMatch(shard -> !shard.pending.isEmpty());
    return isBusy ? BUSY_TICK_MS : IDLE_TICK_MS;
  }

  private void appendIfDue(int number, Shard shard, long nowNanos) {
    boolean isDue = !shard.hasAppended || nowNanos - shard.appendedNanos >= appendNanos;
    if (shard.pending.isEmpty() || !isDue) {
      return;
    }
    List<PendingClaim> batch = shard.pending;
    shard.pending = new ArrayList<>();
    shard.hasAppended = true;
    shard.appendedNanos = nowNanos;
    appendBatch(STREAM_PREFIX + number, shard.table, batch);
  }

  private void appendBatch(String stream, IntentTable table, List<PendingClaim> batch) {
    long lastOffset = Long.MAX_VALUE;
    try {
      long first =
          log.append(stream, batch.stream().map(claim -> claim.record().toBytes()).toList());
      lastOffset = first + batch.size() - 1;
      metrics.count("shoreroad.intents.appends", "result", "taken");
    } catch (LogException e) {
      metrics.count("shoreroad.intents.appends", "result", e.isRefused() ? "refused" : "unknown");
      if (e.isRefused()) {
        batch.forEach(claim -> claim.answer().accept(ClaimResult.UNAVAILABLE));
        return;
      }
    }
    boolean isRead = readThrough(stream, table, lastOffset);
    Map<ClaimResult, Integer> counts = new LinkedHashMap<>();
    for (PendingClaim claim : batch) {
      ClaimResult result = isRead ? toResult(table, claim.record()) : ClaimResult.UNAVAILABLE;
      counts.merge(result, 1, Integer::sum);
      claim.answer().accept(result);
    }
    counts.forEach(
        (result, count) -> metrics.add("shoreroad.intents.claims", "result", result.name(), count));
  }

  /**
   * Reads the stream through an offset, or to its head if that is lower. Returns whether the offset
   * was reached; {@code Long.MAX_VALUE} stands for the head.
   */
  private boolean readThrough(String stream, IntentTable table, long lastOffset) {
    try {
      while (table.appliedOffset() < lastOffset) {
        long from = Math.max(1, table.appliedOffset() + 1);
        LogBatch batch = log.read(stream, from, MAX_RECORDS, 0);
        table.removeBefore(batch.earliest());
        for (LogBatch.Entry entry : batch.records()) {
          apply(table, entry);
        }
        if (table.appliedOffset() >= batch.head() || batch.records().isEmpty()) {
          table.advanceTo(batch.head());
          return lastOffset == Long.MAX_VALUE || table.appliedOffset() >= lastOffset;
        }
      }
      return true;
    } catch (LogException e) {
      metrics.count("shoreroad.intents.read.failures");
      return false;
    }
  }

  private void apply(IntentTable table, LogBatch.Entry entry) {
    try {
      table.apply(entry.offset(), IntentRecord.fromBytes(entry.bytes()));
    } catch (IllegalArgumentException e) {
      metrics.count("shoreroad.intents.unreadable");
      table.advanceTo(entry.offset());
    }
  }

  private static ClaimResult toResult(IntentTable table, IntentRecord record) {
    KeyState state = table.find(record.keyHash()).orElse(null);
    if (state == null) {
      return ClaimResult.UNAVAILABLE;
    }
    if (state.intentId().equals(record.intentId())) {
      boolean isStart = record.type() == IntentRecord.Type.STARTING;
      boolean isStarted = state.status() == KeyState.Status.STARTED;
      return !isStart || isStarted ? ClaimResult.WON : ClaimResult.UNAVAILABLE;
    }
    return state.status() == KeyState.Status.FINISHED
        ? ClaimResult.LOST_FINISHED
        : ClaimResult.LOST_STARTED;
  }
}
