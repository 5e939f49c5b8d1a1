package org.shoreroad.daemon.control;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.jboss.logging.Logger;
import org.shoreroad.daemon.kernel.Kernel;
import org.shoreroad.daemon.kernel.Service;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.daemon.platform.LogBatch;
import org.shoreroad.daemon.platform.LogException;
import org.shoreroad.daemon.platform.PlatformLog;
import org.shoreroad.state.CheckpointCodec;
import org.shoreroad.state.ClusterState;
import org.shoreroad.state.LogRecord;
import org.shoreroad.state.Outcome;
import org.shoreroad.state.RecordCodec;
import org.shoreroad.state.StateMachine;

/**
 * Reads the control stream on its own thread and holds the applied state.
 *
 * <p>The offset of the state only increases, whether the new state comes from a record, a
 * checkpoint or a peer. A read that reaches the head of the stream counts as contact with the log
 * from the time at which the read started. Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class ControlLog implements Service {
  /** The name of this service. */
  public static final String NAME = "control-log";

  /** The stream of control records. */
  public static final String STREAM = "control";

  /** The stream of checkpoints of the control stream. */
  public static final String CHECKPOINT_STREAM = "control-checkpoints";

  private static final Logger LOG = Logger.getLogger(ControlLog.class);
  private static final int MAX_RECORDS = 500;
  private static final long WAIT_MS = 300;
  private static final long PAUSE_MS = 100;

  private final PlatformLog log;
  private final Metrics metrics;
  private final AtomicReference<ClusterState> state = new AtomicReference<>(ClusterState.EMPTY);
  private final List<Consumer<ClusterState>> listeners = new CopyOnWriteArrayList<>();
  private final Thread thread = new Thread(this::run, NAME);
  private volatile boolean isStopping;
  private volatile boolean isJoined;
  private volatile boolean isReachable;
  private volatile long contactNanos;
  private volatile boolean hasContact;

  /** Creates the reader; {@link #start} starts its thread. */
  @Inject
  public ControlLog(PlatformLog log, Metrics metrics) {
    this.log = log;
    this.metrics = metrics;
    this.thread.setDaemon(true);
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void start(Kernel kernel) {
    metrics.gauge("shoreroad.control.applied.offset", () -> state.get().appliedOffset());
    metrics.gauge("shoreroad.control.config.version", () -> state.get().configVersion());
    metrics.gauge("shoreroad.control.log.reachable", () -> isReachable ? 1 : 0);
    thread.start();
  }

  @Override
  public void stop() {
    isStopping = true;
    thread.interrupt();
  }

  /**
   * Adds a listener for each new state. It is called on the thread that applies the state and must
   * not block.
   */
  public void addListener(Consumer<ClusterState> listener) {
    listeners.add(listener);
  }

  /** Returns the applied state. */
  public ClusterState state() {
    return state.get();
  }

  /** Returns true once the state has reached the head of the stream, or was copied from a peer. */
  public boolean isJoined() {
    return isJoined;
  }

  /** Returns true if a read that reached the head of the stream started at most this long ago. */
  public boolean isInContact(long nowNanos, long maxAgeNanos) {
    return hasContact && nowNanos - contactNanos <= maxAgeNanos;
  }

  /** Returns the monotonic time at which the last read that reached the head started. */
  public long contactNanos() {
    return contactNanos;
  }

  /** Returns true if the last read of the log succeeded. */
  public boolean isReachable() {
    return isReachable;
  }

  /**
   * Replaces the state by that of a peer if the peer's offset is higher.
   *
   * @param checkpoint the peer's state, as a checkpoint
   */
  public void adopt(byte[] checkpoint) {
    ClusterState peerState = CheckpointCodec.fromBytes(checkpoint);
    if (advance(peerState)) {
      metrics.count("shoreroad.control.catchups", "source", "peer");
      isJoined = true;
    }
  }

  private void run() {
    while (!isStopping) {
      try {
        readOnce();
        setReachable(true);
      } catch (LogException e) {
        metrics.count("shoreroad.control.read.failures");
        setReachable(false);
        pause();
      } catch (RuntimeException e) {
        LOG.errorf(e, "SR-0003 unexpected error while reading the control stream");
        pause();
      }
    }
  }

  private void readOnce() {
    long startedNanos = System.nanoTime();
    long from = state.get().appliedOffset() + 1;
    LogBatch batch = log.read(STREAM, Math.max(1, from), MAX_RECORDS, isJoined ? WAIT_MS : 0);
    boolean isGap = batch.earliest() > Math.max(1, from);
    if (isGap || (from <= 1 && batch.head() > MAX_RECORDS)) {
      readCheckpoint();
    }
    if (isGap) {
      return;
    }
    for (LogBatch.Entry entry : batch.records()) {
      apply(entry);
    }
    if (Math.max(0, state.get().appliedOffset()) >= batch.head()) {
      contactNanos = startedNanos;
      hasContact = true;
      if (!isJoined) {
        isJoined = true;
        LOG.infof("SR-0101 joined the control stream at offset %d", state.get().appliedOffset());
      }
    }
  }

  private void apply(LogBatch.Entry entry) {
    ClusterState before = state.get();
    if (entry.offset() <= before.appliedOffset()) {
      return;
    }
    LogRecord record;
    try {
      record = RecordCodec.fromBytes(entry.bytes());
    } catch (IllegalArgumentException e) {
      metrics.count("shoreroad.control.records", "outcome", "unreadable");
      advance(StateMachine.skip(before, entry.offset()));
      return;
    }
    StateMachine.Applied applied = StateMachine.apply(before, entry.offset(), record);
    Outcome outcome = applied.outcome();
    metrics.count(
        "shoreroad.control.records",
        "outcome",
        outcome.kind().name().toLowerCase(java.util.Locale.ROOT));
    LOG.infof(
        "SR-0102 record %d %s: %s %s",
        entry.offset(), record.getClass().getSimpleName(), outcome.kind(), outcome.message());
    advance(applied.state());
  }

  private void readCheckpoint() {
    long head = log.read(CHECKPOINT_STREAM, 1, 1, 0).head();
    if (head > 0) {
      for (LogBatch.Entry entry : log.read(CHECKPOINT_STREAM, head, 1, 0).records()) {
        if (advance(CheckpointCodec.fromBytes(entry.bytes()))) {
          metrics.count("shoreroad.control.catchups", "source", "checkpoint");
        }
      }
    }
  }

  /** Replaces the state if the offset of the new one is higher. */
  private boolean advance(ClusterState next) {
    ClusterState before =
        state.getAndUpdate(now -> next.appliedOffset() > now.appliedOffset() ? next : now);
    if (next.appliedOffset() <= before.appliedOffset()) {
      return false;
    }
    listeners.forEach(listener -> listener.accept(next));
    return true;
  }

  private void setReachable(boolean reachable) {
    if (isReachable != reachable) {
      isReachable = reachable;
      LOG.infof("SR-0103 the log is %s", reachable ? "reachable" : "not reachable");
    }
  }

  private void pause() {
    try {
      Thread.sleep(PAUSE_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      isStopping = true;
    }
  }
}
