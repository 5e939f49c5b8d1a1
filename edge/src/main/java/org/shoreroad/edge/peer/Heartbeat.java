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
 * What a process tells another one, again and again: of itself, or of all it speaks for.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param sender the name of the sender's incarnation, not null
 * @param sentNanos the sender's steady clock at the sending
 * @param echoNanos the receiver's own clock in the last heartbeat that the sender got from it, or 0
 * @param scope whom the sender speaks for, not null
 * @param processes how many processes it speaks for
 * @param configNext how far the sender has read the topic of the configuration, not null
 * @param configVersion the version that is in force at the sender, {@link #NO_CONFIG} if none is or
 *     the sender is of an earlier release
 * @param configAgeNanos how long ago the sender had proof that it missed no change
 * @param loads what they have open at upstreams
 * @param suspectedUpstreams the heads that they suspect of standing still
 * @param askedUpstreams boxes that do not answer one of them: do they answer the receiver? By id,
 *     with their addresses
 * @param silentUpstreams the boxes asked about that do not answer any of them either
 * @param ownedDomains the fabric domains that they keep
 * @param reports the newest status reports of engines, as boxes
 * @param listUpdate how far the sender has read the list of upstreams, and what a member lacks of
 *     it
 * @param crashReports the crashes under requests that the receiver may not know of yet
 * @param limitReports the limits of upstreams that the receiver may not know of yet
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
    List<LimitReport> limitReports) {
  /** The version that stands for no configuration. */
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
  }

  /** Returns the heartbeat as it is sent to one receiver, with what that one last sent. */
  public Heartbeat withEcho(long newEchoNanos) {
    return with(scope, newEchoNanos, listUpdate);
  }

  /** Returns the heartbeat with other changes of the list. */
  public Heartbeat withListUpdate(ListUpdate newListUpdate) {
    return with(scope, echoNanos, newListUpdate);
  }

  /** Returns the same heartbeat, sent on behalf of others. */
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
        limitReports);
  }

  /** Whom the sender of a heartbeat speaks for. */
  public enum Scope {
    /** For itself, to all others. */
    SELF,
    /** For itself, to its hub, which is to answer with all the rest. */
    MEMBER,
    /** A hub for itself and its members, to another hub. */
    HUB,
    /** A hub for all but the receiver, to its member. */
    REST
  }

  /**
   * What processes have open at one upstream.
   *
   * @param upstream the id of the upstream
   * @param open the requests that are open
   * @param waitingPromptTokens the tokens of prompts from which nothing has come yet
   * @param progressAgeMs how long ago anything came from it, in milliseconds
   */
  public record Load(String upstream, int open, long waitingPromptTokens, int progressAgeMs) {}
}
