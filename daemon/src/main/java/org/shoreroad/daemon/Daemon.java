package org.shoreroad.daemon;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.shoreroad.daemon.gateway.GatewayService;
import org.shoreroad.daemon.kernel.Kernel;
import org.shoreroad.daemon.member.MembershipService;
import org.shoreroad.daemon.ops.OpsService;
import org.shoreroad.daemon.owner.OwnerService;
import org.shoreroad.daemon.settings.Settings;

/**
 * A process of the system, from its start to its stop.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class Daemon {
  private static final Logger LOG = Logger.getLogger(Daemon.class);
  private static final long POLL_MS = 20;
  private static final long NODE_LEFT_APPEND_MS = 300;

  private final Settings settings;
  private final Kernel kernel;

  private Daemon(Settings settings, Kernel kernel) {
    this.settings = settings;
    this.kernel = kernel;
  }

  /** Starts a process with these settings. Returns once its ports are open. */
  public static Daemon start(Settings settings) {
    Kernel kernel = DaggerDaemonComponent.factory().create(settings).kernel();
    kernel.start();
    Daemon daemon = new Daemon(settings, kernel);
    LOG.infof(
        "SR-0010 process %s serves callers at %s and operators at %s",
        settings.nodeId(), daemon.callerAddress(), daemon.opsAddress());
    return daemon;
  }

  /** Returns the address at which callers are served. */
  public InetSocketAddress callerAddress() {
    return kernel.find(GatewayService.NAME, GatewayService.class).address();
  }

  /** Returns the address at which operators are served. */
  public InetSocketAddress opsAddress() {
    return kernel.find(OpsService.NAME, OpsService.class).address();
  }

  /**
   * Drains and stops the process: it becomes unready, takes no new replicas, completes running
   * requests and stops.
   *
   * <p>New requests are accepted for another {@code --unready-ms}, until the load balancer has
   * noticed, and then rejected. Requests still open after {@code --drain-ms} are aborted.
   */
  public void drainAndStop() {
    LOG.infof("SR-0011 process %s is stopping", settings.nodeId());
    final MembershipService members = kernel.find(MembershipService.NAME, MembershipService.class);
    members.leave();
    final OwnerService owner = kernel.find(OwnerService.NAME, OwnerService.class);
    final GatewayService gateway = kernel.find(GatewayService.NAME, GatewayService.class);
    owner.closeIntake();
    sleep(settings.unreadyMs());
    gateway.closeIntake();
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.drainMs());
    while (isBusy(owner, gateway) && System.nanoTime() - endNanos < 0) {
      sleep(POLL_MS);
    }
    members.appendNodeLeft();
    sleep(NODE_LEFT_APPEND_MS);
    kernel.stop();
    LOG.infof("SR-0012 process %s has stopped", settings.nodeId());
  }

  /** Stops at once; open requests are aborted. */
  public void stopNow() {
    kernel.stop();
  }

  private static boolean isBusy(OwnerService owner, GatewayService gateway) {
    return owner.snapshot().running() > 0 || gateway.openCount() > 0;
  }

  private static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
