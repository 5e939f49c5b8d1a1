package org.shoreroad.edge.relay;

/**
 * The bounds by which requests are relayed; the site sets them.
 *
 * @param repeatRatio the repeats allowed for each first attempt, over all processes
 * @param repeatSlack the repeats allowed beside in one window, over all processes
 * @param repeatWindowSeconds the window of both, in seconds
 * @since 0.2
 */
public record RelayRules(double repeatRatio, double repeatSlack, int repeatWindowSeconds) {}
