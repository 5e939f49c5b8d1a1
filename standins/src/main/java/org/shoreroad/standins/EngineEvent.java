package org.shoreroad.standins;

/**
 * An event of an engine stand-in, recorded in the history for the consistency checks of tests.
 *
 * @param atNanos the time of the event, by the monotonic clock of the stand-in's process
 * @param box the box
 * @param kind the kind of event: load, unload, refused, start, end, failed, kill or boot
 * @param name the load name, or an empty text for kill and boot
 * @param requestId the request, or an empty text
 * @param prompt the text of the request that was started, or an empty text
 */
public record EngineEvent(
    long atNanos, String box, String kind, String name, String requestId, String prompt) {}
