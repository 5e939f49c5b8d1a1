package org.shoreroad.traffic;

import java.util.List;
import java.util.Objects;

/**
 * Rule that assigns the requests for one host and path prefix to one or several services.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the route's name, not null
 * @param host the host name in requests, in lower case, without a port
 * @param pathPrefix the prefix of the paths, with a slash at both ends
 * @param kind how often a request may run, not null
 * @param timeoutMs the maximum time of a request, in milliseconds, positive
 * @param targetLatencyMs the target for the response time, in milliseconds
 * @param targetGapMs the target for the time between stream events, in milliseconds, 0 for none
 * @param priority the priority, 0 is the most urgent
 * @param shares the services, at least one
 * @param maxAttempts the maximum number of upstreams that a request is sent to, at least 1
 * @param allowsAnonymous true if callers need no key
 * @param isResumable true if a broken stream may be resumed at another upstream
 * @since 0.2
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    int timeoutMs,
    int targetLatencyMs,
    int targetGapMs,
    int priority,
    List<ServiceShare> shares,
    int maxAttempts,
    boolean allowsAnonymous,
    boolean isResumable) {
  /** Copies the list and checks the ranges. */
  public Route {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(kind, "kind");
    shares = List.copyOf(shares);
    if (shares.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no service");
    }
    if (timeoutMs <= 0 || maxAttempts < 1) {
      throw new IllegalArgumentException(
          "route " + name + " has no positive timeout or no attempt");
    }
  }

  /** Returns true if a request of this route may run more than once. */
  public boolean isRepeatable() {
    return kind == RequestKind.REPEATABLE || (kind == RequestKind.STREAM && isResumable);
  }

  /**
   * Chooses the service for a request, at random by weight.
   *
   * @param draw a uniformly distributed random number from 0 (inclusive) to 1 (exclusive)
   * @return the name of the service
   */
  public String chooseService(double draw) {
    int total = shares.stream().mapToInt(ServiceShare::weight).sum();
    double left = draw * total;
    for (ServiceShare share : shares) {
      left -= share.weight();
      if (left < 0) {
        return share.service();
      }
    }
    return shares.get(0).service();
  }
}
