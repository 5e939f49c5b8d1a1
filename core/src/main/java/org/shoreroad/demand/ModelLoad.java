package org.shoreroad.demand;

/**
 * Load of one model over all domains and processes, as observed at one time.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param replicas the number of replicas that take requests, 0 or more
 * @param forming the number of replicas that are being formed, 0 or more
 * @param capacity the number of replicas at the specified pace that are as fast as those that take
 *     requests, from 0 to their number
 * @param open the number of open requests, 0 or more
 * @param arrived the number of requests that arrived within one second, 0 or more
 * @param refused the number of requests refused within one second, 0 or more
 * @param late the number of requests with a late first event within one second, 0 or more
 * @param promptTokens the prompt tokens of the requests that arrived, 0 or more
 * @since 0.2
 */
public record ModelLoad(
    int replicas,
    int forming,
    double capacity,
    int open,
    int arrived,
    int refused,
    int late,
    long promptTokens) {}
