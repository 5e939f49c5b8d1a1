package org.shoreroad.daemon.member;

import javax.inject.Inject;
import javax.inject.Singleton;
import org.shoreroad.daemon.control.ControlLog;
import org.shoreroad.daemon.settings.Settings;

/**
 * Whether this process may act on what it has applied.
 *
 * <p>It may while it has lately read the log to its head; or, where the log is out of reach, while
 * it has lately heard from a peer, believes more than half of all processes alive, and no peer is
 * ahead of it. A process that has neither can't tell an outage from its own partition, so it stops
 * serving after {@code --contact-ms}. Every time is taken at the sending of the question, so a
 * process that was paused finds its contact gone. Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class ContactPolicy {
  private final ControlLog control;
  private final MembershipService members;
  private final long maxAgeNanos;

  /** Creates the rule. */
  @Inject
  public ContactPolicy(ControlLog control, MembershipService members, Settings settings) {
    this.control = control;
    this.members = members;
    this.maxAgeNanos = settings.contactNanos();
  }

  /** Returns true if this process may serve. */
  public boolean mayServe(long nowNanos) {
    return serveUntilNanos(nowNanos) - nowNanos > 0;
  }

  /** Returns true if this process may order loads and propose records. */
  public boolean mayOrder(long nowNanos) {
    return control.isJoined() && control.isInContact(nowNanos, maxAgeNanos);
  }

  /**
   * Returns until when this process may serve if it hears nothing more.
   *
   * @param nowNanos the monotonic time
   * @return a monotonic time, not after {@code nowNanos} if it may not serve now
   */
  public long serveUntilNanos(long nowNanos) {
    if (!control.isJoined()) {
      return nowNanos;
    }
    if (control.isInContact(nowNanos, maxAgeNanos)) {
      return control.contactNanos() + maxAgeNanos;
    }
    MembershipView view = members.view();
    boolean isBehind = view.highestPeerOffset() > control.state().appliedOffset();
    return view.hasContact() && view.isMajorityAlive() && !isBehind
        ? view.contactNanos() + maxAgeNanos
        : nowNanos;
  }
}
