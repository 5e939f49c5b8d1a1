package org.shoreroad.daemon;

import dagger.Module;
import dagger.Provides;
import java.util.List;
import javax.inject.Singleton;
import org.shoreroad.daemon.control.CheckpointService;
import org.shoreroad.daemon.control.ControlAppender;
import org.shoreroad.daemon.control.ControlLog;
import org.shoreroad.daemon.control.PlannerService;
import org.shoreroad.daemon.gateway.GatewayService;
import org.shoreroad.daemon.gateway.OwnerLink;
import org.shoreroad.daemon.intent.IntentAppender;
import org.shoreroad.daemon.intent.IntentClient;
import org.shoreroad.daemon.kernel.Kernel;
import org.shoreroad.daemon.member.MembershipService;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.daemon.ops.OpsService;
import org.shoreroad.daemon.owner.OwnerService;
import org.shoreroad.daemon.peer.PeerTransport;
import org.shoreroad.daemon.platform.BoxList;
import org.shoreroad.daemon.platform.HttpBoxList;
import org.shoreroad.daemon.platform.HttpPlatformLog;
import org.shoreroad.daemon.platform.PlatformLog;
import org.shoreroad.daemon.settings.Settings;

/** Provides the services of a process. */
@Module
final class DaemonModule {
  private DaemonModule() {}

  @Provides
  @Singleton
  static Metrics metrics() {
    return new Metrics();
  }

  @Provides
  @Singleton
  static PlatformLog platformLog(Settings settings) {
    return new HttpPlatformLog(settings.logUrl());
  }

  @Provides
  @Singleton
  static BoxList boxList(Settings settings, Metrics metrics) {
    return new HttpBoxList(
        settings.boxesUrl(), why -> metrics.count("shoreroad.planner.list.unusable", "why", why));
  }

  /** Returns the kernel with the services in start order. */
  @Provides
  @Singleton
  static Kernel kernel(
      Metrics metrics,
      PeerTransport transport,
      ControlAppender appender,
      MembershipService members,
      OwnerService owner,
      OwnerLink ownerLink,
      IntentAppender intentAppender,
      IntentClient intentClient,
      PlannerService planner,
      CheckpointService checkpoint,
      ControlLog control,
      GatewayService gateway,
      OpsService ops) {
    transport.addListener(members);
    transport.addListener(owner);
    return new Kernel(
        List.of(
            metrics,
            transport,
            appender,
            members,
            owner,
            ownerLink,
            intentAppender,
            intentClient,
            planner,
            checkpoint,
            control,
            ops,
            gateway));
  }
}
