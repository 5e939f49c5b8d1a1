package org.shoreroad.daemon.gateway;

import java.util.concurrent.ScheduledExecutorService;
import org.shoreroad.daemon.control.ControlLog;
import org.shoreroad.daemon.intent.IntentClient;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.daemon.owner.OwnerService;
import org.shoreroad.daemon.settings.Settings;

/**
 * What each request at the gateway works with.
 *
 * @param control the applied state
 * @param owner who owns which generation
 * @param link the way to the owners
 * @param intents the claims
 * @param upstreams what is known of each generation and service address
 * @param trace what happened to each request
 * @param metrics the counters
 * @param settings the settings
 * @param timer runs what is due later
 */
record GatewayContext(
    ControlLog control,
    OwnerService owner,
    OwnerLink link,
    IntentClient intents,
    UpstreamRegistry upstreams,
    RequestTrace trace,
    Metrics metrics,
    Settings settings,
    ScheduledExecutorService timer) {}
