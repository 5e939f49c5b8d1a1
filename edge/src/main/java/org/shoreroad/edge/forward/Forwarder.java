package org.shoreroad.edge.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.http.CallFailure;
import org.shoreroad.edge.peer.PeerLink;

/**
 * Another process as a sender of calls for this one: the link to it, the calls there, and the
 * services to which it has a path.
 *
 * <p>A call is sent only after the process has answered a ping on the same connection. One that is
 * suspended, or whose release has no forwarding, therefore has nothing of a call, which can be sent
 * through another process without a risk that it runs twice. Not thread-safe: used on the event
 * loop.
 */
final class Forwarder implements PeerLink.Listener {
  /** Time for which a process that could not send a call, or whose link failed, is avoided. */
  private static final long UNABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Time for which a process that has sent a call counts as able to send others. */
  private static final long ABLE_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Time to connect and to answer the first ping. */
  private static final long FIRST_ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Time without a message, while an answer is awaited, after which the link is tested. */
  private static final long PING_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Time without a message, while an answer is awaited, after which no call is added. */
  private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /**
   * Time without a message, while an answer is awaited, after which the link is lost. A process
   * that is slow for a second or two still returns its answers.
   */
  private static final long DEAD_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final String name;
  private final String address;
  private final ForwardClient client;
  private final Map<Long, ForwardedCall> calls = new HashMap<>();
  private final Map<Long, Consumer<ProbeOutcome>> probes = new HashMap<>();
  private final Map<String, Long> unableUntilNanos = new HashMap<>();
  private final Map<String, Long> ableUntilNanos = new HashMap<>();
  private final List<byte[]> held = new ArrayList<>();
  private long heldBytes;
  private PeerLink link;
  private boolean isGreeting;
  private boolean isAnswering;
  private long awaitedSinceNanos;
  private long failedNanos = Long.MIN_VALUE / 2;

  Forwarder(String name, String address, ForwardClient client) {
    this.name = name;
    this.address = address;
    this.client = client;
    this.link = client.newLink(address, this);
  }

  String name() {
    return name;
  }

  void add(long number, ForwardedCall call) {
    restartWaitIfIdle();
    calls.put(number, call);
  }

  private void restartWaitIfIdle() {
    if (!isAwaiting()) {
      awaitedSinceNanos = client.nowNanos();
    }
  }

  private boolean isAwaiting() {
    return isGreeting || !calls.isEmpty() || !probes.isEmpty();
  }

  void remove(long number) {
    calls.remove(number);
  }

  int openCount() {
    return calls.size();
  }

  /** Returns the bytes of messages that wait to be sent. */
  long pendingBytes() {
    return link.pendingBytes() + heldBytes;
  }

  /** Returns true once the process has answered on the present connection. */
  boolean isAnswering() {
    return isAnswering;
  }

  /** Returns true if its link was lost, or not answered, a short time ago. */
  boolean hasFailedRecently() {
    return client.nowNanos() - failedNanos < UNABLE_NANOS;
  }

  /** Returns true if it has refused a call to the service, or does not answer. */
  boolean isUnable(String service) {
    return isSilentFor(SILENT_NANOS) || isBefore(unableUntilNanos.get(service));
  }

  boolean isAble(String service) {
    return isAnswering && !isUnable(service) && isBefore(ableUntilNanos.get(service));
  }

  private boolean isBefore(@Nullable Long untilNanos) {
    return untilNanos != null && client.nowNanos() - untilNanos < 0;
  }

  private boolean isSilentFor(long nanos) {
    return isAwaiting() && client.nowNanos() - awaitedSinceNanos > nanos;
  }

  private void setUnable(String service) {
    ableUntilNanos.remove(service);
    unableUntilNanos.put(service, client.nowNanos() + UNABLE_NANOS);
  }

  /** Connects to the process, so that calls can be sent through it without a delay. */
  void greet() {
    if (!isAnswering && !isGreeting) {
      restartWaitIfIdle();
      isGreeting = sendNow(new ForwardMessage.Ping(0));
    }
  }

  /**
   * Sends a message once the process has answered.
   *
   * @return false if the link does not take it
   */
  boolean send(ForwardMessage message) {
    if (isAnswering) {
      return sendNow(message);
    }
    greet();
    if (isGreeting) {
      byte[] frame = ForwardCodec.toBytes(message);
      held.add(frame);
      heldBytes += frame.length;
    }
    return isGreeting;
  }

  private boolean sendNow(ForwardMessage message) {
    return link.sendReliably(ForwardCodec.toBytes(message));
  }

  private List<byte[]> takeHeld() {
    List<byte[]> frames = List.copyOf(held);
    held.clear();
    heldBytes = 0;
    return frames;
  }

  /** Asks whether the process can connect to an upstream. */
  void probe(long number, String upstream, Consumer<ProbeOutcome> callback) {
    restartWaitIfIdle();
    probes.put(number, callback);
    if (!send(new ForwardMessage.Probe(number, upstream))) {
      endProbe(number, ProbeOutcome.UNABLE);
    }
  }

  private void endProbe(long number, ProbeOutcome outcome) {
    Consumer<ProbeOutcome> callback = probes.remove(number);
    if (callback != null) {
      callback.accept(outcome);
    }
  }

  /** Tests the link while an answer is awaited, and replaces a link without answers. */
  void checkLink() {
    if (isSilentFor(isAnswering ? DEAD_NANOS : FIRST_ANSWER_NANOS)) {
      link.close();
      link = client.newLink(address, this);
      onLost();
    } else if (isAnswering && isSilentFor(PING_NANOS)) {
      sendNow(new ForwardMessage.Ping(0));
    }
  }

  /** Closes the link if it was not used for some time; returns true if it is closed. */
  boolean closeIfIdle(long nowNanos) {
    return !isAwaiting() && link.closeIfIdle(nowNanos);
  }

  @Override
  public void onFrame(byte[] frame) throws Exception {
    awaitedSinceNanos = client.nowNanos();
    if (!isAnswering) {
      isAnswering = true;
      isGreeting = false;
      takeHeld().forEach(link::sendReliably);
    }
    if (ForwardCodec.isForwardMessage(frame)) {
      ForwardMessage message = ForwardCodec.parse(frame).orElse(null);
      if (message != null) {
        receive(message);
      }
    }
  }

  private void receive(ForwardMessage message) {
    if (message instanceof ForwardMessage.Probed probed) {
      endProbe(probed.number(), ProbeOutcome.parse(probed.outcome()));
      return;
    }
    ForwardedCall call = calls.get(message.number());
    if (call == null) {
      return;
    }
    if (message instanceof ForwardMessage.Content content) {
      call.onContent(content.bytes());
    } else if (message instanceof ForwardMessage.Head head) {
      ableUntilNanos.put(call.box().service(), client.nowNanos() + ABLE_NANOS);
      call.onHead(head);
    } else if (message instanceof ForwardMessage.End) {
      call.onEnd();
    } else if (message instanceof ForwardMessage.Failed failed) {
      receiveFailure(call, failed);
    }
  }

  private void receiveFailure(ForwardedCall call, ForwardMessage.Failed failed) {
    CallFailure.Reason reason = CallFailure.Reason.find(failed.reason());
    if (reason == CallFailure.Reason.PATH_LOST && !failed.isSent()) {
      setUnable(call.box().service());
      call.onUnsent();
    } else if (reason == CallFailure.Reason.NOT_CONNECTED
        && !failed.isSent()
        && !call.isRetried()) {
      // The process may have lost its path without having detected that.
      call.onUnsent();
    } else {
      call.fail(reason == null ? CallFailure.Reason.BROKEN : reason, failed.isSent());
    }
  }

  @Override
  public void onLost() {
    boolean hasAnswered = isAnswering;
    isAnswering = false;
    isGreeting = false;
    takeHeld();
    client.log().write("forward_link_lost", "peer", name, "calls", calls.size());
    List<ForwardedCall> lost = List.copyOf(calls.values());
    calls.clear();
    failedNanos = client.nowNanos();
    for (ForwardedCall call : lost) {
      if (hasAnswered) {
        call.fail(CallFailure.Reason.FORWARDER_LOST, true);
      } else {
        call.onUnsent();
      }
    }
    List.copyOf(probes.keySet()).forEach(number -> endProbe(number, ProbeOutcome.UNABLE));
  }
}
