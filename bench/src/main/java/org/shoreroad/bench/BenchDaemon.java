package org.shoreroad.bench;

import java.util.Map;
import org.shoreroad.daemon.Daemon;
import org.shoreroad.daemon.settings.Settings;

/** Starts daemons for the benchmarks in this process, on free ports. */
final class BenchDaemon {
  private BenchDaemon() {}

  /** Starts a daemon in availability zone {@code z} with the default time settings. */
  static Daemon start(String nodeId, String logUrl, String boxesUrl) {
    String[] args = {
      "--node-id=" + nodeId,
      "--zone=z",
      "--caller-listen=127.0.0.1:0",
      "--ops-listen=127.0.0.1:0",
      "--peer-listen=127.0.0.1:0",
      "--log-url=" + logUrl,
      "--boxes-url=" + boxesUrl,
      "--peer-token=p",
      "--operator-token=o"
    };
    return Daemon.start(Settings.parse(args, Map.of()));
  }
}
