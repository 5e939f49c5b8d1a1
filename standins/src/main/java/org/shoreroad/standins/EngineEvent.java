package org.shoreroad.standins;

/**
 * An event of an engine stand-in, recorded in the history for the consistency checks of tests.
 *
 * @param atNanos the time of the event, by the monotonic clock of the stand-in's process
 * @param box the box
 * @param kind what: load, unload, refused, start, token, end, cancelled
 * @param name the load name, for all but cancelled
 * @param requestId the request, or an empty text
 * @param prompt the text of the request that was started, or an empty text
 */
public record EngineEvent(
    long atNanos, String box, String kind, String name, String requestId, String prompt) {}
