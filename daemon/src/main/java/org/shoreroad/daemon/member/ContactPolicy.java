package org.shoreroad.daemon.member;

import javax.inject.Inject;
import javax.inject.Singleton;
import org.shoreroad.daemon.control.ControlLog;
import org.shoreroad.daemon.settings.Settings;

/**
 * Decides whether this process may serve and give orders from its applied state.
 *
 * <p>A process may serve if it has read the log to its head within {@code --contact-ms}. If the log
 * is unreachable, it may serve if a peer has answered within that time, more than half of all
 * processes are alive in its view, and no peer has applied a higher offset. Otherwise it can't
 * distinguish an outage of the log from its own network partition, so it stops serving. Contact is
 * timed from the sending of the request, so it has expired when a process resumes after a long
 * pause. Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class ContactPolicy {
  private final ControlLog control;
  private final MembershipService members;
  private final long maxAgeNanos;

  /** Creates the policy. */
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

  /** Returns true if this process may send load orders to boxes and propose control records. */
  public boolean mayOrder(long nowNanos) {
    return control.isJoined() && control.isInContact(nowNanos, maxAgeNanos);
  }

  /**
   * Returns the time until which this process may serve without further contact.
   *
   * @param nowNanos the monotonic time in nanoseconds
   * @return a monotonic time in nanoseconds, at most {@code nowNanos} if it may not serve now
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
