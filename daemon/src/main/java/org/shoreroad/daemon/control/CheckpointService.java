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
 * Appends a checkpoint of the control state every so many records and every so often, on the
 * process that plans.
 *
 * <p>The log keeps records, and checkpoints too, for a limited time; so one is due after {@code
 * --checkpoint-ms} even if nothing has changed. Two processes may both append one; the later is as
 * good as the earlier. Thread-safe.
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
  private final EventLoop duty = new EventLoop(NAME, this::tick);
  private long coveredOffset = -1;
  private long appendedNanos;
  private boolean isCoveredKnown;

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
    duty.start();
  }

  @Override
  public void stop() {
    duty.stop();
  }

  private long tick(long nowNanos) {
    appendIfDue(nowNanos);
    return TICK_MS;
  }

  private void appendIfDue(long nowNanos) {
    ClusterState state = control.state();
    if (!control.isJoined() || !planner.isPlanner()) {
      isCoveredKnown = false;
      return;
    }
    try {
      if (!isCoveredKnown) {
        coveredOffset = readCoveredOffset();
        appendedNanos = nowNanos;
        isCoveredKnown = true;
      }
      boolean isOld = nowNanos - appendedNanos >= settings.checkpointNanos();
      boolean hasMany = state.appliedOffset() - coveredOffset >= settings.checkpointRecords();
      if (isOld || hasMany) {
        log.append(ControlLog.CHECKPOINT_STREAM, List.of(CheckpointCodec.toBytes(state)));
        coveredOffset = state.appliedOffset();
        appendedNanos = nowNanos;
        metrics.count("shoreroad.control.checkpoints");
        LOG.infof("SR-0104 checkpoint at offset %d", coveredOffset);
      }
    } catch (LogException e) {
      isCoveredKnown = false;
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
