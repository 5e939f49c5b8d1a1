package org.shoreroad.edge.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.RepeatingTimer;
import org.shoreroad.edge.caller.HeaderNames;
import org.shoreroad.edge.caller.HeldBytes;
import org.shoreroad.edge.http.CallFailure;
import org.shoreroad.edge.http.CallListener;
import org.shoreroad.edge.http.HttpCalls;
import org.shoreroad.edge.http.UpstreamCall;
import org.shoreroad.edge.http.UpstreamCalls;
import org.shoreroad.edge.peer.PeerFrames;
import org.shoreroad.edge.relay.PathCheck;
import org.shoreroad.edge.relay.RelayCounters;
import org.shoreroad.fleet.FleetBox;

/**
 * Sends calls to upstreams for other processes, which have no path to them, and returns the
 * answers.
 *
 * <p>Decides nothing about the requests: choice of the upstream, limits, repeats and keys are the
 * business of the process that has the caller. Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class ForwardServer implements PeerFrames, HeldBytes.Source {
  /** Maximum number of open calls for others; above it they are sent through another process. */
  private static final int MAX_OPEN = 1_000;

  /** Interval at which reading goes on once a connection takes more frames. */
  private static final int RESUME_MS = 10;

  private static final int PROBE_TIMEOUT_MS = 150;

  /** Time for which received bytes prove the path to a service. */
  private static final long PROVEN_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final RepeatingTimer timer;
  private final RelayCounters counters;
  private final HeaderNames headers;
  private final UpstreamCalls calls;
  private final HttpCalls probes;
  private final PathCheck paths;
  private final LongSupplier clockNanos;
  private final Function<String, @Nullable FleetBox> upstreams;
  private final Map<Replies, Link> links = new HashMap<>();
  private final Set<Answer> paused = new HashSet<>();
  private LongPredicate memoryCheck = bytes -> true;
  private boolean isResumeScheduled;
  private boolean isRefusingNew;

  /**
   * Creates a server without calls.
   *
   * @param calls the client that sends calls directly, not null
   * @param probes the client that opens connections to try them, not null
   * @param paths the check whether this process has a path to a service, not null
   * @param upstreams returns the listed upstream with an id, or null, not null
   */
  public ForwardServer(
      RepeatingTimer timer,
      RelayCounters counters,
      HeaderNames headers,
      UpstreamCalls calls,
      HttpCalls probes,
      PathCheck paths,
      LongSupplier clockNanos,
      Function<String, @Nullable FleetBox> upstreams) {
    this.timer = timer;
    this.counters = counters;
    this.headers = headers;
    this.calls = calls;
    this.probes = probes;
    this.paths = paths;
    this.clockNanos = clockNanos;
    this.upstreams = upstreams;
  }

  /**
   * Sets the check of the memory for the bodies of requests; without it, there is enough for all.
   *
   * @param check returns true and takes the memory if so many bytes fit, not null
   */
  public void setMemoryCheck(LongPredicate check) {
    memoryCheck = check;
  }

  /** Takes no new calls from now on, so that open ones can end in time. */
  public void refuseNew() {
    isRefusingNew = true;
  }

  /** Returns the number of open calls for other processes. */
  public int openCount() {
    int count = 0;
    for (Link link : links.values()) {
      count += link.answers.size();
    }
    return count;
  }

  /** Returns the bytes of the requests of open calls. */
  @Override
  public long requestBytes() {
    long bytes = 0;
    for (Link link : links.values()) {
      for (Answer answer : link.answers.values()) {
        bytes += answer.message.bodyBytes();
      }
    }
    return bytes;
  }

  /** Returns the bytes of answers that wait to be sent to other processes. */
  @Override
  public long answerBytes() {
    return links.keySet().stream().mapToLong(Replies::pendingBytes).sum();
  }

  @Override
  public boolean accepts(byte[] frame) {
    return ForwardCodec.isForwardMessage(frame);
  }

  @Override
  public void receive(byte[] frame, Replies replies) throws IOException {
    ForwardMessage message = ForwardCodec.parse(frame).orElse(null);
    if (message != null) {
      links.computeIfAbsent(replies, this::open).receive(message);
    }
  }

  private Link open(Replies replies) {
    Link link = new Link(replies);
    replies.onClose(
        () -> {
          links.remove(replies);
          link.cancelAll();
        });
    return link;
  }

  private void scheduleResume() {
    if (!isResumeScheduled) {
      isResumeScheduled = true;
      timer.once(RESUME_MS, "forwarded answers", this::resume);
    }
  }

  private void resume() {
    isResumeScheduled = false;
    for (Answer answer : List.copyOf(paused)) {
      answer.updateReading();
    }
    if (!paused.isEmpty()) {
      scheduleResume();
    }
  }

  /** Connection to another process and the calls for it. */
  private final class Link {
    private final Replies replies;
    private final Map<Long, Answer> answers = new HashMap<>();

    Link(Replies replies) {
      this.replies = replies;
    }

    void receive(ForwardMessage message) throws IOException {
      if (message instanceof ForwardMessage.Call call) {
        begin(call);
      } else if (message instanceof ForwardMessage.Ping) {
        send(new ForwardMessage.Pong(message.number()));
      } else if (message instanceof ForwardMessage.Probe probe) {
        probe(probe);
      } else {
        Answer answer = answers.get(message.number());
        if (answer != null) {
          receive(answer, message);
        }
      }
    }

    private void receive(Answer answer, ForwardMessage message) throws IOException {
      if (message instanceof ForwardMessage.Body body) {
        answer.addBody(body.bytes());
      } else if (message instanceof ForwardMessage.Cancel) {
        answer.cancel();
      } else if (message instanceof ForwardMessage.Reading reading) {
        answer.setWanted(reading.isReading());
      }
    }

    private void begin(ForwardMessage.Call message) throws IOException {
      FleetBox box = upstreams.apply(message.upstream());
      if (isRefusingNew || openCount() >= MAX_OPEN) {
        refuse(message.number(), CallFailure.Reason.PATH_LOST);
      } else if (box == null) {
        refuse(message.number(), CallFailure.Reason.NOT_CONNECTED);
      } else if (!memoryCheck.test(message.bodyBytes())) {
        // Another process may have both a path and memory.
        refuse(message.number(), CallFailure.Reason.PATH_LOST, "memory_full");
      } else {
        Answer answer = new Answer(this, message, box);
        answers.put(message.number(), answer);
        answer.addBody(message.body());
        confirmPath(box, answer::onPathChecked);
      }
    }

    /** Finds out whether this process has a path to the service, if no bytes prove it. */
    private void confirmPath(FleetBox box, Consumer<Boolean> callback) {
      paths.confirm(box.service(), clockNanos.getAsLong() - PROVEN_NANOS, callback);
    }

    void refuse(long number, CallFailure.Reason reason) {
      refuse(number, reason, reason.code());
    }

    private void refuse(long number, CallFailure.Reason reason, String code) {
      counters.count("shoreroad.calls.for_others", code);
      send(new ForwardMessage.Failed(number, reason.name(), false));
    }

    private void probe(ForwardMessage.Probe message) {
      FleetBox box = upstreams.apply(message.upstream());
      if (box == null) {
        sendOutcome(message.number(), ProbeOutcome.UNABLE);
      } else {
        confirmPath(box, isReached -> probe(message.number(), box, isReached));
      }
    }

    private void probe(long number, FleetBox box, boolean isReached) {
      if (isReached) {
        probes.probe(
            box.address(), PROBE_TIMEOUT_MS, failure -> sendOutcome(number, outcome(failure)));
      } else {
        sendOutcome(number, ProbeOutcome.UNABLE);
      }
    }

    private void sendOutcome(long number, ProbeOutcome outcome) {
      send(new ForwardMessage.Probed(number, outcome.name()));
    }

    private static ProbeOutcome outcome(CallFailure.@Nullable Reason failure) {
      if (failure == null) {
        return ProbeOutcome.CONNECTED;
      }
      return failure == CallFailure.Reason.REFUSED ? ProbeOutcome.REFUSED : ProbeOutcome.UNREACHED;
    }

    void send(ForwardMessage message) {
      replies.sendReliably(ForwardCodec.toBytes(message));
    }

    void cancelAll() {
      List.copyOf(answers.values()).forEach(Answer::cancel);
    }
  }

  /** Call for another process and its answer. */
  private final class Answer implements CallListener {
    private final Link link;
    private final ForwardMessage.Call message;
    private final FleetBox box;
    private final ByteBuf body;
    private @Nullable UpstreamCall call;
    private boolean isWanted = true;
    private boolean isReading = true;
    private boolean isPathChecked;
    private boolean isStarted;
    private boolean isOver;

    Answer(Link link, ForwardMessage.Call message, FleetBox box) {
      this.link = link;
      this.message = message.withoutBody();
      this.box = box;
      this.body = Unpooled.buffer(Math.max(0, message.body().length));
    }

    void addBody(byte[] bytes) throws IOException {
      if (isStarted || body.readableBytes() + bytes.length > message.bodyBytes()) {
        throw new IOException("the body is longer than announced");
      }
      body.writeBytes(bytes);
      startIfReady();
    }

    void onPathChecked(boolean isReached) {
      if (isOver) {
        return;
      }
      isPathChecked = true;
      if (!isReached) {
        refuse(CallFailure.Reason.PATH_LOST);
      } else if (calls.isPathLost(box)) {
        refuse(CallFailure.Reason.NOT_CONNECTED);
      } else {
        startIfReady();
      }
    }

    private void refuse(CallFailure.Reason reason) {
      end();
      body.release();
      link.refuse(message.number(), reason);
    }

    private void startIfReady() {
      if (!isPathChecked || body.readableBytes() < message.bodyBytes()) {
        return;
      }
      isStarted = true;
      counters.count("shoreroad.calls.for_others", "taken");
      // The connections of the process that asks are not used, so they are added to those here.
      int maxConnections = message.maxConnections() * (1 + links.size());
      call = calls.send(box, toRequest(), Math.max(message.maxConnections(), maxConnections), this);
    }

    private FullHttpRequest toRequest() {
      FullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.valueOf(message.method()), message.uri(), body);
      HeaderFields.addTo(request.headers(), message.headers());
      return request;
    }

    private String requestId() {
      List<String> fields = message.headers();
      for (int i = 0; i + 1 < fields.size(); i += 2) {
        if (fields.get(i).equalsIgnoreCase(headers.attemptId())) {
          return fields.get(i + 1);
        }
      }
      return "";
    }

    void cancel() {
      end();
      if (call != null) {
        call.cancel();
      } else if (!isStarted) {
        body.release();
      }
    }

    private void end() {
      isOver = true;
      link.answers.remove(message.number());
      paused.remove(this);
    }

    void setWanted(boolean wanted) {
      isWanted = wanted;
      updateReading();
    }

    /** Reads the answer while the caller does and the connection takes it. */
    void updateReading() {
      boolean isTaken = link.replies.isWritable();
      if (isTaken) {
        paused.remove(this);
      } else if (paused.add(this)) {
        scheduleResume();
      }
      boolean shallRead = isWanted && isTaken;
      if (call != null && shallRead != isReading) {
        isReading = shallRead;
        call.setReading(shallRead);
      }
    }

    @Override
    public boolean onHead(HttpResponse head) {
      if (headers.isOfOtherRequest(head, requestId())) {
        return false;
      }
      link.send(
          new ForwardMessage.Head(
              message.number(),
              head.status().code(),
              head.status().reasonPhrase(),
              HeaderFields.toList(head.headers())));
      return true;
    }

    @Override
    public void onContent(ByteBuf content) {
      link.send(new ForwardMessage.Content(message.number(), ByteBufUtil.getBytes(content)));
      updateReading();
    }

    @Override
    public void onEnd() {
      end();
      link.send(new ForwardMessage.End(message.number()));
    }

    @Override
    public void onFailure(CallFailure failure) {
      end();
      if (failure.isSent() && failure.reason() == CallFailure.Reason.BROKEN) {
        // A connection also ends if this process loses its path; the upstream is then sound.
        paths.confirm(box.service(), clockNanos.getAsLong(), this::reportBroken);
      } else {
        report(failure.reason(), failure.isSent());
      }
    }

    private void reportBroken(boolean isReached) {
      report(isReached ? CallFailure.Reason.BROKEN : CallFailure.Reason.FORWARDER_LOST, true);
    }

    private void report(CallFailure.Reason reason, boolean isSent) {
      link.send(new ForwardMessage.Failed(message.number(), reason.name(), isSent));
    }
  }
}
