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
 * Makes claims to the keeper of a key's stream, wherever it runs.
 *
 * <p>A claim that gets no answer in time counts as not won; the request is then not run, and the
 * intent is withdrawn, which may take effect later than the caller is told. Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class IntentClient implements Service, PeerListener {
  /** The name of this service. */
  public static final String NAME = "intents";

  private static final long ANSWER_MS = 2_000;
  private static final int END_TRIES = 5;
  private static final long END_RETRY_MS = 500;

  private final IntentAppender keeper;
  private final MembershipService members;
  private final PeerTransport transport;
  private final Metrics metrics;
  private final String selfId;
  private final int shards;
  private final Map<Long, CompletableFuture<ClaimResult>> open = new ConcurrentHashMap<>();
  private final AtomicLong nextCall = new AtomicLong();
  private volatile boolean isStopping;

  /**
   * A claim that was won.
   *
   * @param key the caller's key
   * @param intentId the intent that stands for it in the log
   */
  public record Claim(RequestKey key, String intentId) {}

  /** Creates the client. */
  @Inject
  public IntentClient(
      IntentAppender keeper,
      MembershipService members,
      PeerTransport transport,
      Metrics metrics,
      Settings settings) {
    this.keeper = keeper;
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
    open.values().forEach(answer -> answer.complete(ClaimResult.UNAVAILABLE));
  }

  /** Returns a claim that nobody has made yet. */
  public Claim newClaim(RequestKey key) {
    return new Claim(key, UUID.randomUUID().toString());
  }

  /** Makes a claim; completes, always normally and within bounded time, with what became of it. */
  public CompletableFuture<ClaimResult> claim(Claim claim) {
    return send(claim, IntentRecord.Type.STARTING);
  }

  /** Notes that a claim's request ran to its end. */
  public void finish(Claim claim) {
    end(claim, IntentRecord.Type.FINISHED, END_TRIES);
  }

  /** Notes that a claim's request was not run and never will be under this claim. */
  public void withdraw(Claim claim) {
    end(claim, IntentRecord.Type.WITHDRAWN, END_TRIES);
  }

  private void end(Claim claim, IntentRecord.Type type, int triesLeft) {
    send(claim, type)
        .thenAccept(
            result -> {
              if (result == ClaimResult.UNAVAILABLE && triesLeft > 1 && !isStopping) {
                metrics.countRetry("intent_end");
                CompletableFuture.delayedExecutor(END_RETRY_MS, TimeUnit.MILLISECONDS)
                    .execute(() -> end(claim, type, triesLeft - 1));
              }
            });
  }

  private CompletableFuture<ClaimResult> send(Claim claim, IntentRecord.Type type) {
    IntentRecord record = new IntentRecord(type, claim.intentId(), claim.key().toHash());
    int shard = claim.key().toShard(shards);
    CompletableFuture<ClaimResult> answer =
        new CompletableFuture<ClaimResult>()
            .completeOnTimeout(ClaimResult.UNAVAILABLE, ANSWER_MS, TimeUnit.MILLISECONDS);
    Optional<Node> keeperNode =
        Rendezvous.choose("shard/" + shard, members.view().workingNodes(), Node::id);
    if (keeperNode.isEmpty() || keeperNode.get().id().equals(selfId)) {
      keeper.claim(shard, record, answer::complete);
      return answer;
    }
    long callId = nextCall.incrementAndGet();
    open.put(callId, answer);
    answer.whenComplete((result, error) -> open.remove(callId));
    transport.send(
        keeperNode.get(),
        new PeerMessage.ClaimRequest(callId, shard, record),
        () -> answer.complete(ClaimResult.UNAVAILABLE));
    return answer;
  }

  @Override
  public void onMessage(Node from, PeerMessage message) {
    if (message instanceof PeerMessage.ClaimResponse claimAnswer) {
      CompletableFuture<ClaimResult> answer = open.get(claimAnswer.callId());
      if (answer != null) {
        answer.complete(claimAnswer.result());
      }
    }
  }
}
