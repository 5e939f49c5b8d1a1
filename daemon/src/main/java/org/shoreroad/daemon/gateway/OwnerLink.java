package org.shoreroad.daemon.gateway;

import javax.inject.Inject;
import javax.inject.Singleton;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;
import org.shoreroad.Verdict;
import org.shoreroad.daemon.kernel.Kernel;
import org.shoreroad.daemon.kernel.Service;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.daemon.owner.OwnerService;
import org.shoreroad.daemon.peer.PeerListener;
import org.shoreroad.daemon.peer.PeerMessage;
import org.shoreroad.daemon.peer.PeerTransport;
import org.shoreroad.daemon.request.AnswerSink;
import org.shoreroad.daemon.request.Submission;
import org.shoreroad.state.Node;

/**
 * Client of the owners, in this or other processes: sends requests and receives the answers.
 *
 * <p>If the link to an owner is lost, every unanswered request that was sent to it fails at once,
 * with the verdict that it may have run. Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class OwnerLink implements Service, PeerListener {
  /** The name of this service. */
  public static final String NAME = "owner-link";

  private static final Runnable IGNORE = () -> {};
  private static final long RETRY_AFTER_MS = 1_000;

  private final OwnerService owner;
  private final PeerTransport transport;
  private final Metrics metrics;
  private final InFlightRequests inFlight = new InFlightRequests();

  /** Creates the link. */
  @Inject
  public OwnerLink(OwnerService owner, PeerTransport transport, Metrics metrics) {
    this.owner = owner;
    this.transport = transport;
    this.metrics = metrics;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void start(Kernel kernel) {
    transport.addListener(this);
    metrics.gauge("shoreroad.gateway.requests.relayed", inFlight::size);
  }

  @Override
  public void stop() {}

  /** Sends a request to the owner, and its answer to the sink. */
  public void submit(Node to, Submission submission, AnswerSink sink) {
    if (to.id().equals(transport.self().id())) {
      owner.submit(to.id(), submission, sink);
      return;
    }
    String id = submission.requestId();
    inFlight.add(id, to.id(), sink);
    transport.send(
        to,
        new PeerMessage.Submit(submission),
        () -> {
          AnswerSink waiting = inFlight.remove(id, to.id());
          if (waiting != null) {
            waiting.onFailure(
                ShoreroadException.notRun(
                    ErrorCode.OWNER_UNREACHABLE, "the owner can't be reached", RETRY_AFTER_MS));
          }
        });
  }

  /** Cancels a request at the owner, since its answer is no longer needed. */
  public void cancel(Node to, String requestId) {
    if (to.id().equals(transport.self().id())) {
      owner.cancel(requestId);
    } else {
      inFlight.remove(requestId, to.id());
      transport.send(to, new PeerMessage.Cancel(requestId), IGNORE);
    }
  }

  @Override
  public void onMessage(Node from, PeerMessage message) {
    if (message instanceof PeerMessage.Chunk chunk) {
      AnswerSink sink = inFlight.find(chunk.requestId(), from.id());
      if (sink != null) {
        sink.onChunk(chunk.sequence(), chunk.bytes());
      } else {
        metrics.count("shoreroad.gateway.late.messages");
      }
    } else if (message instanceof PeerMessage.Ended ended) {
      AnswerSink sink = inFlight.remove(ended.requestId(), from.id());
      if (sink != null) {
        sink.onEnd();
      }
    } else if (message instanceof PeerMessage.Failed failed) {
      AnswerSink sink = inFlight.remove(failed.requestId(), from.id());
      if (sink != null) {
        sink.onFailure(failed.toException());
      }
    }
  }

  @Override
  public void onLinkLost(String nodeId) {
    ShoreroadException lost =
        ShoreroadException.of(
            ErrorCode.OWNER_LOST,
            Verdict.MAY_HAVE_RUN,
            "the link to the owner was lost",
            RETRY_AFTER_MS);
    inFlight.removeAll(nodeId).forEach(sink -> sink.onFailure(lost));
  }
}
