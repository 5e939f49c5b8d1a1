package org.shoreroad.edge.room;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.admission.GrantEnd;
import org.shoreroad.admission.RoomDecision;
import org.shoreroad.admission.RoomRefusal;
import org.shoreroad.admission.RoomRequest;
import org.shoreroad.edge.relay.RoomBroker;
import org.shoreroad.edge.room.RoomOwners.ModelOwner;

/**
 * Ask of one request for room: one owner after the other until one grants it, at most three. Used
 * on the event loop.
 */
final class RoomAsk implements RoomBroker.Ask {
  /** Time for the first reply, a grant, a refusal or the notice that the request is queued. */
  private static final long FIRST_REPLY_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  /** Time for the next notice that the request is queued: three times their interval. */
  private static final long NEXT_REPLY_NANOS =
      TimeUnit.MILLISECONDS.toNanos(3 * RoomService.WAITING_NOTE_MS);

  private static final int MAX_OWNERS = 3;
  private static final long NOT_SENT = -1;

  private final RoomClient client;
  private final RoomBroker.Query query;
  private final RoomBroker.Listener listener;
  private final Set<String> asked = new HashSet<>();
  private @Nullable ModelOwner current;
  private @Nullable RoomDecision refusal;
  private long number = NOT_SENT;
  private long replyByNanos;
  private boolean isAnySilent;
  private boolean isOver;

  RoomAsk(RoomClient client, RoomBroker.Query query, RoomBroker.Listener listener) {
    this.client = client;
    this.query = query;
    this.listener = listener;
  }

  @Override
  public void send() {
    askNext();
  }

  @Override
  public void withdraw() {
    if (!isOver) {
      isOver = true;
      endAtOwner();
    }
  }

  /** Ends the ask at the present owner, which may have queued or granted it. */
  private void endAtOwner() {
    ModelOwner owner = current;
    if (owner != null && client.unregister(number)) {
      client.port().send(owner.owner(), new RoomMessage.End(client.keyOf(number), GrantEnd.UNUSED));
    }
  }

  private void askNext() {
    List<ModelOwner> others =
        client.owners().of(query.service(), query.model(), query.excludedHeads(), asked);
    ModelOwner next = asked.size() < MAX_OWNERS ? client.owners().choose(others) : null;
    current = next;
    if (next == null) {
      giveUp();
      return;
    }
    asked.add(next.name());
    boolean isFinal = asked.size() == MAX_OWNERS || others.size() == 1;
    number = client.register(this);
    replyByNanos = client.nowNanos() + FIRST_REPLY_NANOS;
    long sentNumber = number;
    RoomMessage message =
        new RoomMessage.Ask(toRequest(isFinal), query.service().name(), query.model());
    boolean isSent = client.port().send(next.owner(), message);
    if (!isSent && number == sentNumber && client.unregister(sentNumber)) {
      isAnySilent = true;
      client.avoid(next.name());
      client.record("silent", "not_sent");
      askNext();
    }
  }

  private RoomRequest toRequest(boolean isFinal) {
    long nowNanos = client.nowNanos();
    return new RoomRequest(
        client.keyOf(number),
        client.zone(),
        query.account(),
        query.priority(),
        query.promptTokens(),
        query.answerTokens(),
        toMillis(nowNanos - query.arrivedNanos()),
        query.targetLatencyMs(),
        query.targetGapMs(),
        toMillis(query.endNanos() - nowNanos),
        query.contentHash(),
        query.excludedHeads(),
        isFinal);
  }

  private static int toMillis(long nanos) {
    return (int) Math.max(0, Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(nanos)));
  }

  /** Returns true if the owner is the one that is asked now. */
  boolean isAt(String owner) {
    return owner.equals(ownerName());
  }

  /** Returns the name of the owner that is asked now, or an empty text. */
  String ownerName() {
    ModelOwner owner = current;
    return owner == null ? "" : owner.name();
  }

  boolean isSilentAt(long nowNanos) {
    return nowNanos - replyByNanos >= 0;
  }

  /** Called when the owner has queued the request. */
  void onWaiting() {
    replyByNanos = client.nowNanos() + NEXT_REPLY_NANOS;
  }

  /** Called when the owner gave no reply in time or its connection was lost. */
  void onSilent(String reason) {
    client.record("silent", reason);
    isAnySilent = true;
    endAtOwner();
    askNext();
  }

  /** Called with the decision of the owner that is asked now. */
  void onDecided(RoomMessage.Decided decided) {
    ModelOwner owner = current;
    if (isOver || owner == null) {
      return;
    }
    RoomDecision decision = decided.decision();
    client.owners().recordFree(owner.name(), query, decided.freeCount());
    String headId = decision.headId();
    if (headId == null) {
      client.record("refusals", refusalCode(decision));
      noteRefusal(decision);
      askNext();
      return;
    }
    isOver = true;
    client.record("grants", "owner_" + asked.size());
    listener.onGranted(client.hold(owner.owner(), decision.key(), headId, owner.domainOf(headId)));
  }

  private static String refusalCode(RoomDecision decision) {
    RoomRefusal reason = decision.refusal();
    return reason == null ? "" : reason.code();
  }

  /** Keeps the refusal for the caller: the latest by an owner with heads. */
  private void noteRefusal(RoomDecision decision) {
    RoomRefusal reason = decision.refusal();
    if (reason != RoomRefusal.NOT_OWNER && reason != RoomRefusal.NO_HEAD) {
      refusal = decision;
    }
  }

  private void giveUp() {
    isOver = true;
    RoomDecision refused = refusal;
    if (refused == null) {
      client.record("unavailable", isAnySilent ? "silent" : "no_head");
      listener.onUnavailable();
    } else {
      listener.onRefused(refused, client.owners().headsOfAnswering(query.service(), query.model()));
    }
  }
}
