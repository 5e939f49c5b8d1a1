package org.shoreroad.daemon.settings;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.annotations.restrictions.ranges.LongRange;
import java.util.UUID;
import org.jspecify.annotations.Nullable;

/**
 * The flags of the daemon, as Airline fills them in.
 *
 * <p>Each flag has an environment variable: {@code --log-url} is {@code SHOREROAD_LOG_URL}. A flag
 * goes before its variable. {@link Settings} checks what flags mean together.
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
      description = "Id of this process, new at each start.")
  String nodeId = "n-" + UUID.randomUUID().toString().substring(0, 8);

  @Required
  @Option(name = "--zone", title = "zone", description = "Availability zone of this process.")
  @Nullable String zone;

  @Required
  @Option(
      name = "--caller-listen",
      title = "caller-listen",
      description = "Where callers are served; port 0 takes a free one.")
  @Nullable String callerListen;

  @Required
  @Option(
      name = "--ops-listen",
      title = "ops-listen",
      description = "Where operators, health checks and metrics are served.")
  @Nullable String opsListen;

  @Required
  @Option(name = "--peer-listen", title = "peer-listen", description = "Where peers are served.")
  @Nullable String peerListen;

  @Option(
      name = "--peer-advertise",
      title = "peer-advertise",
      description = "Where peers reach this process, if not at --peer-listen.")
  @Nullable String peerAdvertise;

  @Required
  @Option(name = "--log-url", title = "log-url", description = "The platform's log.")
  @Nullable String logUrl;

  @Required
  @Option(name = "--boxes-url", title = "boxes-url", description = "The platform's list of boxes.")
  @Nullable String boxesUrl;

  @Required
  @Option(name = "--peer-token", title = "peer-token", description = "Shared by all processes.")
  @Nullable String peerToken;

  @Required
  @Option(name = "--operator-token", title = "operator-token", description = "Asked of operators.")
  @Nullable String operatorToken;

  @LongRange(min = 20, max = 60_000)
  @Option(
      name = "--heartbeat-ms",
      title = "heartbeat-ms",
      description = "How often one peer is asked.")
  long heartbeatMs = 300;

  @LongRange(min = 100, max = 60_000)
  @Option(
      name = "--contact-ms",
      title = "contact-ms",
      description = "How long this process serves on the last it heard of the log or its peers.")
  long contactMs = 2_000;

  @LongRange(min = 20, max = 60_000)
  @Option(name = "--probe-ms", title = "probe-ms", description = "How often each box is probed.")
  long probeMs = 250;

  @LongRange(min = 50, max = 60_000)
  @Option(
      name = "--evidence-ms",
      title = "evidence-ms",
      description = "How long a probe's answer counts.")
  long evidenceMs = 1_000;

  @LongRange(min = 100, max = 600_000)
  @Option(
      name = "--lost-ms",
      title = "lost-ms",
      description = "How long a box is silent before its replica is dissolved.")
  long lostMs = 2_000;

  @LongRange(min = 100, max = 3_600_000)
  @Option(
      name = "--load-ms",
      title = "load-ms",
      description = "How long a replica may take to load.")
  long loadMs = 600_000;

  @LongRange(min = 50, max = 600_000)
  @Option(
      name = "--order-ms",
      title = "order-ms",
      description = "How long an order or record may stay without effect before it is repeated.")
  long orderMs = 2_000;

  @LongRange(min = 0, max = 600_000)
  @Option(
      name = "--quarantine-ms",
      title = "quarantine-ms",
      description = "How long boxes stay bound at least after a dissolving.")
  long quarantineMs = 3_000;

  @LongRange(min = 0, max = 3_600_000)
  @Option(
      name = "--drain-ms",
      title = "drain-ms",
      description = "How long running requests are waited for at a planned stop.")
  long drainMs = 120_000;

  @LongRange(min = 0, max = 60_000)
  @Option(
      name = "--unready-ms",
      title = "unready-ms",
      description = "How long callers are still served after /readyz turned false at a stop.")
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
      description = "How much of an answer waits for a slow caller before it is cut.")
  long maxUnsentBytes = 1_048_576;

  @LongRange(min = 1, max = 65_536)
  @Option(
      name = "--intent-shards",
      title = "intent-shards",
      description = "How many intent streams.")
  long intentShards = 8;

  @LongRange(min = 1_000, max = 86_400_000)
  @Option(
      name = "--intent-window-ms",
      title = "intent-window-ms",
      description = "How old a key may be; less than the log keeps records.")
  long intentWindowMs = 3_600_000;

  @LongRange(min = 0, max = 10_000)
  @Option(
      name = "--intent-append-ms",
      title = "intent-append-ms",
      description = "How long at least from one append to an intent stream to the next.")
  long intentAppendMs = 20;

  @LongRange(min = 1, max = 1_000_000)
  @Option(
      name = "--checkpoint-records",
      title = "checkpoint-records",
      description = "After how many control records a checkpoint is appended.")
  long checkpointRecords = 1_000;

  @LongRange(min = 50, max = 86_400_000)
  @Option(
      name = "--checkpoint-ms",
      title = "checkpoint-ms",
      description = "After how long a checkpoint is appended in any case; less than the log keeps.")
  long checkpointMs = 600_000;

  @Option(name = "--log-format", title = "log-format", description = "Lines as text or json.")
  String logFormat = "text";
}
