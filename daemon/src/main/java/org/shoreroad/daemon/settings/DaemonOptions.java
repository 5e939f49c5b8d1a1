package org.shoreroad.daemon.settings;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.annotations.restrictions.ranges.LongRange;
import java.util.UUID;
import org.jspecify.annotations.Nullable;

/**
 * The flags of the daemon, set by the Airline command line parser.
 *
 * <p>Each flag has an environment variable: {@code --log-url} is {@code SHOREROAD_LOG_URL}. A flag
 * takes precedence over its variable. {@link Settings} checks the constraints between flags.
 */
@Command(name = "shoreroad", description = "Runs one process of the serving system.")
public final class DaemonOptions {
  @Option(
      name = {"-h", "--help"},
      description = "Shows this help.")
  boolean isHelp;

  @Option(name = "--version", description = "Shows the version.")
  boolean isVersion;

  @Option(
      name = "--node-id",
      title = "node-id",
      description = "Id of this process; unique for each start.")
  String nodeId = "n-" + UUID.randomUUID().toString().substring(0, 8);

  @Required
  @Option(name = "--zone", title = "zone", description = "Availability zone of this process.")
  @Nullable String zone;

  @Required
  @Option(
      name = "--caller-listen",
      title = "caller-listen",
      description = "Address to serve callers at; port 0 selects a free port.")
  @Nullable String callerListen;

  @Required
  @Option(
      name = "--ops-listen",
      title = "ops-listen",
      description = "Address to serve operators, health checks and metrics at.")
  @Nullable String opsListen;

  @Required
  @Option(name = "--peer-listen", title = "peer-listen", description = "Address to serve peers at.")
  @Nullable String peerListen;

  @Option(
      name = "--peer-advertise",
      title = "peer-advertise",
      description = "Address at which peers reach this process, if it differs from --peer-listen.")
  @Nullable String peerAdvertise;

  @Required
  @Option(name = "--log-url", title = "log-url", description = "URL of the platform's log.")
  @Nullable String logUrl;

  @Required
  @Option(
      name = "--boxes-url",
      title = "boxes-url",
      description = "URL of the platform's list of boxes.")
  @Nullable String boxesUrl;

  @Required
  @Option(
      name = "--peer-token",
      title = "peer-token",
      description = "Secret that all processes share.")
  @Nullable String peerToken;

  @Required
  @Option(
      name = "--operator-token",
      title = "operator-token",
      description = "Secret that operators must send.")
  @Nullable String operatorToken;

  @LongRange(min = 20, max = 60_000)
  @Option(
      name = "--heartbeat-ms",
      title = "heartbeat-ms",
      description = "Interval between pings, each to one peer.")
  long heartbeatMs = 300;

  @LongRange(min = 100, max = 60_000)
  @Option(
      name = "--contact-ms",
      title = "contact-ms",
      description =
          "How long this process serves after its last contact with the log or its peers.")
  long contactMs = 2_000;

  @LongRange(min = 20, max = 60_000)
  @Option(
      name = "--probe-ms",
      title = "probe-ms",
      description = "Interval between probes of a box.")
  long probeMs = 250;

  @LongRange(min = 50, max = 60_000)
  @Option(
      name = "--evidence-ms",
      title = "evidence-ms",
      description = "How long the answer to a probe is valid.")
  long evidenceMs = 1_000;

  @LongRange(min = 100, max = 600_000)
  @Option(
      name = "--lost-ms",
      title = "lost-ms",
      description = "How long a box may be silent before its replica is dissolved.")
  long lostMs = 2_000;

  @LongRange(min = 100, max = 3_600_000)
  @Option(
      name = "--load-ms",
      title = "load-ms",
      description = "Maximum time for a replica to load.")
  long loadMs = 600_000;

  @LongRange(min = 50, max = 600_000)
  @Option(
      name = "--order-ms",
      title = "order-ms",
      description = "How long an order or record may have no effect before it is repeated.")
  long orderMs = 2_000;

  @LongRange(min = 0, max = 600_000)
  @Option(
      name = "--quarantine-ms",
      title = "quarantine-ms",
      description = "Minimum time boxes stay allocated after their replica is dissolved.")
  long quarantineMs = 3_000;

  @LongRange(min = 0, max = 3_600_000)
  @Option(
      name = "--drain-ms",
      title = "drain-ms",
      description = "Maximum wait for running requests when the process drains and stops.")
  long drainMs = 120_000;

  @LongRange(min = 0, max = 60_000)
  @Option(
      name = "--unready-ms",
      title = "unready-ms",
      description = "How long new requests are accepted after /readyz turns unready at a stop.")
  long unreadyMs = 2_000;

  @LongRange(min = 1_024, max = 1_073_741_824)
  @Option(
      name = "--max-body-bytes",
      title = "max-body-bytes",
      description = "Largest request body.")
  long maxBodyBytes = 4_194_304;

  @LongRange(min = 1_024, max = 1_073_741_824)
  @Option(
      name = "--max-unsent-bytes",
      title = "max-unsent-bytes",
      description =
          "Maximum unsent part of an answer to a slow caller; beyond it the answer is aborted.")
  long maxUnsentBytes = 1_048_576;

  @LongRange(min = 1, max = 65_536)
  @Option(
      name = "--intent-shards",
      title = "intent-shards",
      description = "Number of intent streams.")
  long intentShards = 8;

  @LongRange(min = 1_000, max = 86_400_000)
  @Option(
      name = "--intent-window-ms",
      title = "intent-window-ms",
      description = "Maximum age of a key; must be less than the retention time of the log.")
  long intentWindowMs = 3_600_000;

  @LongRange(min = 0, max = 10_000)
  @Option(
      name = "--intent-append-ms",
      title = "intent-append-ms",
      description = "Minimum interval between appends to an intent stream.")
  long intentAppendMs = 20;

  @LongRange(min = 1, max = 1_000_000)
  @Option(
      name = "--checkpoint-records",
      title = "checkpoint-records",
      description = "Number of control records after which a checkpoint is appended.")
  long checkpointRecords = 1_000;

  @LongRange(min = 50, max = 86_400_000)
  @Option(
      name = "--checkpoint-ms",
      title = "checkpoint-ms",
      description =
          "Maximum time between checkpoints; must be less than the retention time of the log.")
  long checkpointMs = 600_000;

  @Option(
      name = "--log-format",
      title = "log-format",
      description = "Format of log lines: text or json.")
  String logFormat = "text";
}
