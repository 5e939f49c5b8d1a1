package org.shoreroad.edge.peer;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shoreroad.fleet.FleetBox;

/**
 * What a process tells each other one, again and again.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param sender the name of the sender's life
 * @param sentNanos the sender's steady clock at the sending
 * @param echoNanos the receiver's own clock in the last heartbeat that the sender got from it, or 0
 * @param configOffset how far the sender has read the topic of the configuration
 * @param configAgeNanos how long ago the sender had proof that it missed no change
 * @param loads what the sender has open at upstreams
 * @param suspectedUpstreams the heads that the sender suspects of standing still
 * @param askedUpstreams boxes that do not answer the sender: do they answer the receiver? By id,
 *     with their addresses
 * @param silentUpstreams the boxes asked about that do not answer this sender either
 * @param words what engines have newly told the sender of themselves
 * @since 0.2
 */
public record Heartbeat(
    String sender,
    long sentNanos,
    long echoNanos,
    long configOffset,
    long configAgeNanos,
    List<Load> loads,
    Set<String> suspectedUpstreams,
    Map<String, String> askedUpstreams,
    Set<String> silentUpstreams,
    List<FleetBox> words) {
  /** Copies the collections. */
  public Heartbeat {
    loads = List.copyOf(loads);
    suspectedUpstreams = Set.copyOf(suspectedUpstreams);
    askedUpstreams = Map.copyOf(askedUpstreams);
    silentUpstreams = Set.copyOf(silentUpstreams);
    words = List.copyOf(words);
  }

  /**
   * What a process has open at one upstream.
   *
   * @param upstream the id of the upstream's life
   * @param open the requests that are open
   * @param waitingPromptTokens the tokens of prompts from which nothing has come yet
   * @param progressAgeMs how long ago anything came from it, in milliseconds
   */
  public record Load(String upstream, int open, long waitingPromptTokens, int progressAgeMs) {}
}
