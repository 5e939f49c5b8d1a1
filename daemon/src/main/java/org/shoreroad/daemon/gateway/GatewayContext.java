package org.shoreroad.daemon.gateway;

import java.util.concurrent.ScheduledExecutorService;
import org.shoreroad.daemon.control.ControlLog;
import org.shoreroad.daemon.intent.IntentClient;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.daemon.owner.OwnerService;
import org.shoreroad.daemon.settings.Settings;

/**
 * The components that each request at the gateway uses.
 *
 * @param control the applied state
 * @param owner the owner of each generation
 * @param link sends requests to the owners
 * @param intents claims the keys of requests that may not be repeated
 * @param upstreams the statistics of each generation and service address, and the retry budgets
 * @param trace the recorded steps of each request
 * @param metrics the counters
 * @param settings the settings
 * @param timer runs delayed tasks
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
