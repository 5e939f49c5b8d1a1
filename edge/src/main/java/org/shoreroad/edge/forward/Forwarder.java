package org.shoreroad.edge.forward;

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
 * services to which it has a path. Not thread-safe: used on the event loop.
 */
final class Forwarder implements PeerLink.Listener {
  /** Time for which a process that could not send a call is not asked again. */
  private static final long UNABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Time for which a process that has sent a call counts as able to send others. */
  private static final long ABLE_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Time without a message, while calls are open, after which the link is tested. */
  private static final long PING_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Time without a message, while calls are open, after which the link is lost. */
  private static final long DEAD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

  private final String name;
  private final ForwardClient client;
  private final Map<Long, ForwardedCall> calls = new HashMap<>();
  private final Map<Long, Consumer<ProbeOutcome>> probes = new HashMap<>();
  private final Map<String, Long> unableUntilNanos = new HashMap<>();
  private final Map<String, Long> ableUntilNanos = new HashMap<>();
  private final PeerLink link;
  private boolean isOpen;
  private long receivedNanos;

  Forwarder(String name, ForwardClient client) {
    this.name = name;
    this.client = client;
    this.link = client.newLink(name, this);
  }

  String name() {
    return name;
  }

  void add(long number, ForwardedCall call) {
    if (calls.isEmpty()) {
      receivedNanos = client.nowNanos();
    }
    calls.put(number, call);
  }

  void remove(long number) {
    calls.remove(number);
  }

  int openCount() {
    return calls.size();
  }

  boolean isUnable(String service) {
    return client.nowNanos() - unableUntilNanos.getOrDefault(service, Long.MIN_VALUE / 2) < 0;
  }

  boolean isAble(String service) {
    return client.nowNanos() - ableUntilNanos.getOrDefault(service, Long.MIN_VALUE / 2) < 0;
  }

  private void setUnable(String service) {
    ableUntilNanos.remove(service);
    unableUntilNanos.put(service, client.nowNanos() + UNABLE_NANOS);
  }

  /** Sends a message; returns false if the link does not take it. */
  boolean send(ForwardMessage message) {
    return link.sendReliably(ForwardCodec.toBytes(message));
  }

  /** Asks whether the process can connect to an upstream. */
  void probe(long number, String upstream, Consumer<ProbeOutcome> callback) {
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

  /** Tests the link if calls wait there, and replaces a link that does not answer. */
  void checkLink() {
    long silentNanos = client.nowNanos() - receivedNanos;
    if (calls.isEmpty()) {
      return;
    }
    if (silentNanos > DEAD_NANOS) {
      client.forget(name);
      link.close();
      onLost();
    } else if (silentNanos > PING_NANOS) {
      send(new ForwardMessage.Ping(0));
    }
  }

  /** Closes the link if it was not used for some time; returns true if it is closed. */
  boolean closeIfIdle(long nowNanos) {
    return calls.isEmpty() && probes.isEmpty() && link.closeIfIdle(nowNanos);
  }

  @Override
  public void onOpen() {
    isOpen = true;
    receivedNanos = client.nowNanos();
  }

  @Override
  public void onFrame(byte[] frame) throws Exception {
    receivedNanos = client.nowNanos();
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
      setAble(call);
      call.onHead(head);
    } else if (message instanceof ForwardMessage.End) {
      call.onEnd();
    } else if (message instanceof ForwardMessage.Failed failed) {
      receiveFailure(call, failed);
    }
  }

  private void setAble(ForwardedCall call) {
    ableUntilNanos.put(call.box().service(), client.nowNanos() + ABLE_NANOS);
  }

  private void receiveFailure(ForwardedCall call, ForwardMessage.Failed failed) {
    CallFailure.@Nullable Reason reason = CallFailure.Reason.find(failed.reason());
    if (reason == CallFailure.Reason.PATH_LOST && !failed.isSent()) {
      setUnable(call.box().service());
      call.onUnsent();
    } else if (reason == CallFailure.Reason.NOT_CONNECTED
        && !failed.isSent()
        && !call.isRetried()) {
      // Its path may be lost too, which it has not found yet.
      call.onUnsent();
    } else {
      call.fail(reason == null ? CallFailure.Reason.BROKEN : reason, failed.isSent());
    }
  }

  @Override
  public void onLost() {
    boolean wasOpen = isOpen;
    isOpen = false;
    client.log().write("forward_link_lost", "peer", name, "calls", calls.size());
    List<ForwardedCall> lost = List.copyOf(calls.values());
    calls.clear();
    for (ForwardedCall call : lost) {
      setUnable(call.box().service());
    }
    for (ForwardedCall call : lost) {
      if (wasOpen) {
        call.fail(CallFailure.Reason.FORWARDER_LOST, true);
      } else {
        call.onUnsent();
      }
    }
    List.copyOf(probes.keySet()).forEach(number -> endProbe(number, ProbeOutcome.UNABLE));
  }
}
