package org.shoreroad.daemon.owner;

import org.shoreroad.ShoreroadException;
import org.shoreroad.daemon.peer.PeerLink;
import org.shoreroad.daemon.peer.PeerMessage;
import org.shoreroad.daemon.request.AnswerSink;
import org.shoreroad.state.Node;

/**
 * Sink that sends an answer to the gateway in another process. Thread-safe.
 *
 * @param link sends messages to other processes
 * @param gateway the gateway's process
 * @param requestId the request's id
 */
record PeerAnswerSink(PeerLink link, Node gateway, String requestId) implements AnswerSink {
  private static final Runnable IGNORE = () -> {};

  @Override
  public void onChunk(long sequence, byte[] bytes) {
    link.send(gateway, new PeerMessage.Chunk(requestId, sequence, bytes), IGNORE);
  }

  @Override
  public void onEnd() {
    link.send(gateway, new PeerMessage.Ended(requestId), IGNORE);
  }

  @Override
  public void onFailure(ShoreroadException failure) {
    link.send(gateway, PeerMessage.Failed.of(requestId, failure), IGNORE);
  }
}
