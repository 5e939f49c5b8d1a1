package org.shoreroad.daemon.control;

import java.util.List;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.jboss.logging.Logger;
import org.shoreroad.daemon.kernel.EventLoop;
import org.shoreroad.daemon.kernel.Kernel;
import org.shoreroad.daemon.kernel.Service;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.daemon.platform.LogBatch;
import org.shoreroad.daemon.platform.LogException;
import org.shoreroad.daemon.platform.PlatformLog;
import org.shoreroad.daemon.settings.Settings;
import org.shoreroad.state.CheckpointCodec;
import org.shoreroad.state.ClusterState;

/**
 * Appends checkpoints of the control state, on the process that runs the planner.
 *
 * <p>A checkpoint is due after {@code --checkpoint-records} records, and after {@code
 * --checkpoint-ms} even if nothing has changed, because the log retains records and checkpoints for
 * a limited time only. Two processes may both append a checkpoint; either one is valid.
 * Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class CheckpointService implements Service {
  /** The name of this service. */
  public static final String NAME = "checkpoint";

  private static final Logger LOG = Logger.getLogger(CheckpointService.class);
  private static final long TICK_MS = 500;

  private final ControlLog control;
  private final PlannerService planner;
  private final PlatformLog log;
  private final Metrics metrics;
  private final Settings settings;
  private final EventLoop eventLoop = new EventLoop(NAME, this::tick);
  private long coveredOffset = -1;
  private long appendedNanos;
  private boolean isCoveredOffsetKnown;

  /** Creates the service; {@link #start} starts its thread. */
  @Inject
  public CheckpointService(
      ControlLog control,
      PlannerService planner,
      PlatformLog log,
      Metrics metrics,
      Settings settings) {
    this.control = control;
    this.planner = planner;
    this.log = log;
    this.metrics = metrics;
    this.settings = settings;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void start(Kernel kernel) {
    eventLoop.start();
  }

  @Override
  public void stop() {
    eventLoop.stop();
  }

  private long tick(long nowNanos) {
    appendIfDue(nowNanos);
    return TICK_MS;
  }

  private void appendIfDue(long nowNanos) {
    ClusterState state = control.state();
    if (!control.isJoined() || !planner.isPlanner()) {
      isCoveredOffsetKnown = false;
      return;
    }
    try {
      if (!isCoveredOffsetKnown) {
        coveredOffset = readCoveredOffset();
        appendedNanos = nowNanos;
        isCoveredOffsetKnown = true;
      }
      boolean isTimeDue = nowNanos - appendedNanos >= settings.checkpointNanos();
      boolean isCountDue = state.appliedOffset() - coveredOffset >= settings.checkpointRecords();
      if (isTimeDue || isCountDue) {
        log.append(ControlLog.CHECKPOINT_STREAM, List.of(CheckpointCodec.toBytes(state)));
        coveredOffset = state.appliedOffset();
        appendedNanos = nowNanos;
        metrics.count("shoreroad.control.checkpoints");
        LOG.infof("SR-0104 appended a checkpoint at offset %d", coveredOffset);
      }
    } catch (LogException e) {
      isCoveredOffsetKnown = false;
    }
  }

  private long readCoveredOffset() {
    long head = log.read(ControlLog.CHECKPOINT_STREAM, 1, 1, 0).head();
    if (head > 0) {
      for (LogBatch.Entry entry : log.read(ControlLog.CHECKPOINT_STREAM, head, 1, 0).records()) {
        return CheckpointCodec.fromBytes(entry.bytes()).appliedOffset();
      }
    }
    return -1;
  }
}
