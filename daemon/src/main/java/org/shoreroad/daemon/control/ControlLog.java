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
 * Reads the control stream on a thread of its own and holds the applied state.
 *
 * <p>The state only ever moves to a higher offset, whether by a record, a checkpoint or a peer's
 * state. A read that ends at the head of the stream is contact with the log, counted from the
 * moment the read was begun. Thread-safe.
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

  /** Adds a listener, called with each new state on the reader's thread; it must not block. */
  public void addListener(Consumer<ClusterState> listener) {
    listeners.add(listener);
  }

  /** Returns the applied state. */
  public ClusterState state() {
    return state.get();
  }

  /** Returns true once the state has reached the head that the stream had after the start. */
  public boolean isJoined() {
    return isJoined;
  }

  /** Returns true if the stream was read to its head by a read begun at most this long ago. */
  public boolean isInContact(long nowNanos, long maxAgeNanos) {
    return hasContact && nowNanos - contactNanos <= maxAgeNanos;
  }

  /** Returns when the last read that reached the head was begun, on the monotonic clock. */
  public long contactNanos() {
    return contactNanos;
  }

  /** Returns true if the last read was answered. */
  public boolean isReachable() {
    return isReachable;
  }

  /**
   * Takes over the state of a peer if it is ahead.
   *
   * @param checkpoint the peer's state
   */
  public void adopt(byte[] checkpoint) {
    ClusterState theirs = CheckpointCodec.fromBytes(checkpoint);
    if (advance(theirs)) {
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
        LOG.errorf(e, "SR-0003 defect while reading the control stream");
        pause();
      }
    }
  }

  private void readOnce() {
    long begunNanos = System.nanoTime();
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
      contactNanos = begunNanos;
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

  /** Moves to a state with a higher offset; never back. */
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
