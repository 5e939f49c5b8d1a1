package org.shoreroad.edge.peer;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.shoreroad.edge.sync.ListUpdate;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.limit.LimitReport;
import org.shoreroad.quarantine.CrashReport;

/**
 * Periodic message with the state of one process, or of all processes in its scope.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param sender the name of the sender's incarnation, not null
 * @param sentNanos the sender's steady clock at the sending
 * @param echoNanos the {@code sentNanos} of the last heartbeat that the sender received from the
 *     receiver, or 0
 * @param scope the processes whose state the heartbeat carries, not null
 * @param processes the number of these processes
 * @param configNext the position up to which the sender has read the configuration topic, not null
 * @param configVersion the version in force at the sender, {@link #NO_CONFIG} if there is none or
 *     the sender is of an earlier release
 * @param configAgeNanos the time since the sender last had proof that it missed no change
 * @param loads the load of these processes on upstreams
 * @param suspectedUpstreams the ids of the replica heads that these processes suspect of a stall
 * @param askedUpstreams the boxes that do not answer one of these processes and that the receiver
 *     is to try, addresses by id
 * @param silentUpstreams the ids of the boxes asked about that answer none of these processes
 * @param ownedDomains the fabric domains that these processes own
 * @param reports the newest status reports of engines, as boxes
 * @param listUpdate the position up to which the sender has read the upstream list, and the changes
 *     that the receiver lacks
 * @param crashReports the crashes under requests that the receiver may not have received yet
 * @param limitReports the limits of upstreams that the receiver may not have received yet
 * @param additions the parts that earlier releases ignore, not null
 * @since 0.2
 */
public record Heartbeat(
    String sender,
    long sentNanos,
    long echoNanos,
    Scope scope,
    int processes,
    StorePosition configNext,
    long configVersion,
    long configAgeNanos,
    List<Load> loads,
    Set<String> suspectedUpstreams,
    Map<String, String> askedUpstreams,
    Set<String> silentUpstreams,
    Set<String> ownedDomains,
    List<FleetBox> reports,
    ListUpdate listUpdate,
    List<CrashReport> crashReports,
    List<LimitReport> limitReports,
    HeartbeatAdditions additions) {
  /** Configuration version of a process without a configuration. */
  public static final long NO_CONFIG = -1;

  /** Copies the collections. */
  public Heartbeat {
    Objects.requireNonNull(sender, "sender");
    Objects.requireNonNull(scope, "scope");
    Objects.requireNonNull(configNext, "configNext");
    loads = List.copyOf(loads);
    suspectedUpstreams = Set.copyOf(suspectedUpstreams);
    askedUpstreams = Map.copyOf(askedUpstreams);
    silentUpstreams = Set.copyOf(silentUpstreams);
    ownedDomains = Set.copyOf(ownedDomains);
    reports = List.copyOf(reports);
    Objects.requireNonNull(listUpdate, "listUpdate");
    crashReports = List.copyOf(crashReports);
    limitReports = List.copyOf(limitReports);
    Objects.requireNonNull(additions, "additions");
  }

  /** Returns the heartbeat with the sending time of the receiver's last heartbeat as its echo. */
  public Heartbeat withEcho(long newEchoNanos) {
    return with(scope, newEchoNanos, listUpdate);
  }

  /** Returns the heartbeat with other changes of the upstream list. */
  public Heartbeat withListUpdate(ListUpdate newListUpdate) {
    return with(scope, echoNanos, newListUpdate);
  }

  /** Returns the heartbeat with another scope. */
  public Heartbeat withScope(Scope newScope) {
    return with(newScope, echoNanos, listUpdate);
  }

  private Heartbeat with(Scope newScope, long newEchoNanos, ListUpdate newListUpdate) {
    return new Heartbeat(
        sender,
        sentNanos,
        newEchoNanos,
        newScope,
        processes,
        configNext,
        configVersion,
        configAgeNanos,
        loads,
        suspectedUpstreams,
        askedUpstreams,
        silentUpstreams,
        ownedDomains,
        reports,
        newListUpdate,
        crashReports,
        limitReports,
        additions);
  }

  /** Processes whose state a heartbeat carries, and the role of its receiver. */
  public enum Scope {
    /** The sender, to all other processes. */
    SELF,
    /** The sender, to its hub, which answers with the state of all other processes. */
    MEMBER,
    /** A hub and its members, to another hub. */
    HUB,
    /** All processes except the receiver, from a hub to its member. */
    REST
  }

  /**
   * Load of processes on one upstream.
   *
   * @param upstream the id of the upstream
   * @param open the number of open requests
   * @param waitingPromptTokens the prompt tokens of requests without any output yet
   * @param progressAgeMs the time since the last output of the upstream, in milliseconds
   */
  public record Load(String upstream, int open, long waitingPromptTokens, int progressAgeMs) {}
}
