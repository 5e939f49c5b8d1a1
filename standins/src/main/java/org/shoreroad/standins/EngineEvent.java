package org.shoreroad.standins;

/**
 * One thing that an engine stand-in did, for the history that checkers read.
 *
 * @param atNanos when, on the monotonic clock of the stand-in
 * @param box the box
 * @param kind what: load, unload, refused, start, token, end, cancelled
 * @param name the load name, for all but cancelled
 * @param requestId the request, or an empty text
 * @param prompt the text of the request that was started, or an empty text
 */
public record EngineEvent(
    long atNanos, String box, String kind, String name, String requestId, String prompt) {}
