package org.shoreroad.traffic;

import java.util.List;
import java.util.Objects;

/**
 * Sends the requests for one host and path prefix to one or several services.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the route's name, not null
 * @param host the host as callers name it, in lower case, without a port
 * @param pathPrefix the beginning of the paths, with a slash at both ends
 * @param kind how often a request may run, not null
 * @param timeoutMs the longest time a request is held, in milliseconds, positive
 * @param targetLatencyMs the time within which an answer is wanted, in milliseconds
 * @param targetGapMs the longest wanted pause between events, in milliseconds, 0 for none
 * @param priority the rank, 0 is the most urgent
 * @param shares the services, at least one
 * @param maxAttempts the most upstreams that one request may be sent to, at least 1
 * @param allowsAnonymous true if no key is asked for
 * @param isResumable true if a broken stream may be taken up at another upstream
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
      throw new IllegalArgumentException("route " + name + " has no time or no attempt");
    }
  }

  /** Returns true if a request of this route may run more than once. */
  public boolean isRepeatable() {
    return kind == RequestKind.REPEATABLE || (kind == RequestKind.STREAM && isResumable);
  }

  /**
   * Returns the service for a request.
   *
   * @param draw a number drawn evenly from 0 (inclusive) to 1 (exclusive)
   * @return the name of the service that the draw falls on
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
