package org.shoreroad.daemon.intent;

import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.shoreroad.daemon.kernel.Kernel;
import org.shoreroad.daemon.kernel.Service;
import org.shoreroad.daemon.member.MembershipService;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.daemon.peer.ClaimResult;
import org.shoreroad.daemon.peer.PeerListener;
import org.shoreroad.daemon.peer.PeerMessage;
import org.shoreroad.daemon.peer.PeerTransport;
import org.shoreroad.daemon.settings.Settings;
import org.shoreroad.intent.IntentRecord;
import org.shoreroad.intent.RequestKey;
import org.shoreroad.routing.Rendezvous;
import org.shoreroad.state.Node;

/**
 * Sends claims to the process that appends to the intent stream of the key.
 *
 * <p>A claim without an answer within 2 s counts as unavailable: the request is not run, and the
 * intent is withdrawn. The withdrawal may take effect after the caller has received the error.
 * Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class IntentClient implements Service, PeerListener {
  /** The name of this service. */
  public static final String NAME = "intents";

  private static final long ANSWER_TIMEOUT_MS = 2_000;
  private static final int MAX_END_ATTEMPTS = 5;
  private static final long END_RETRY_MS = 500;

  private final IntentAppender localAppender;
  private final MembershipService members;
  private final PeerTransport transport;
  private final Metrics metrics;
  private final String selfId;
  private final int shards;
  private final Map<Long, CompletableFuture<ClaimResult>> pendingByCallId =
      new ConcurrentHashMap<>();
  private final AtomicLong lastCallId = new AtomicLong();
  private volatile boolean isStopping;

  /**
   * A claim of the right to run the request of a key.
   *
   * @param key the caller's key
   * @param intentId the id of the claim's records in the log
   */
  public record Claim(RequestKey key, String intentId) {}

  /** Creates the client. */
  @Inject
  public IntentClient(
      IntentAppender localAppender,
      MembershipService members,
      PeerTransport transport,
      Metrics metrics,
      Settings settings) {
    this.localAppender = localAppender;
    this.members = members;
    this.transport = transport;
    this.metrics = metrics;
    this.selfId = settings.nodeId();
    this.shards = settings.intentShards();
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void start(Kernel kernel) {
    transport.addListener(this);
  }

  @Override
  public void stop() {
    isStopping = true;
    pendingByCallId.values().forEach(answer -> answer.complete(ClaimResult.UNAVAILABLE));
  }

  /** Returns a new claim; {@link #claim} sends it. */
  public Claim newClaim(RequestKey key) {
    return new Claim(key, UUID.randomUUID().toString());
  }

  /** Sends a claim. The future always completes normally, within bounded time. */
  public CompletableFuture<ClaimResult> claim(Claim claim) {
    return send(claim, IntentRecord.Type.STARTING);
  }

  /** Records asynchronously, in up to 5 attempts, that a claim's request ran to its end. */
  public void finish(Claim claim) {
    end(claim, IntentRecord.Type.FINISHED, MAX_END_ATTEMPTS);
  }

  /**
   * Records asynchronously, in up to 5 attempts, that a claim's request was not run and will not
   * run under this claim.
   */
  public void withdraw(Claim claim) {
    end(claim, IntentRecord.Type.WITHDRAWN, MAX_END_ATTEMPTS);
  }

  private void end(Claim claim, IntentRecord.Type type, int attemptsLeft) {
    send(claim, type)
        .thenAccept(
            result -> {
              if (result == ClaimResult.UNAVAILABLE && attemptsLeft > 1 && !isStopping) {
                metrics.countRetry("intent_end");
                CompletableFuture.delayedExecutor(END_RETRY_MS, TimeUnit.MILLISECONDS)
                    .execute(() -> end(claim, type, attemptsLeft - 1));
              }
            });
  }

  private CompletableFuture<ClaimResult> send(Claim claim, IntentRecord.Type type) {
    IntentRecord record = new IntentRecord(type, claim.intentId(), claim.key().toHash());
    int shard = claim.key().toShard(shards);
    CompletableFuture<ClaimResult> answer =
        new CompletableFuture<ClaimResult>()
            .completeOnTimeout(ClaimResult.UNAVAILABLE, ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    Optional<Node> appenderNode =
        Rendezvous.choose("shard/" + shard, members.view().workingNodes(), Node::id);
    if (appenderNode.isEmpty() || appenderNode.get().id().equals(selfId)) {
      localAppender.claim(shard, record, answer::complete);
      return answer;
    }
    long callId = lastCallId.incrementAndGet();
    pendingByCallId.put(callId, answer);
    answer.whenComplete((result, error) -> pendingByCallId.remove(callId));
    transport.send(
        appenderNode.get(),
        new PeerMessage.ClaimRequest(callId, shard, record),
        () -> answer.complete(ClaimResult.UNAVAILABLE));
    return answer;
  }

  @Override
  public void onMessage(Node from, PeerMessage message) {
    if (message instanceof PeerMessage.ClaimResponse response) {
      CompletableFuture<ClaimResult> answer = pendingByCallId.get(response.callId());
      if (answer != null) {
        answer.complete(response.result());
      }
    }
  }
}
