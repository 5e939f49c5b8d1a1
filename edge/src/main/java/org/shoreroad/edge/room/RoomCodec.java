package org.shoreroad.edge.room;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.shoreroad.admission.GrantEnd;
import org.shoreroad.admission.ReturnPlan.Ticket;
import org.shoreroad.admission.RoomDecision;
import org.shoreroad.admission.RoomRefusal;
import org.shoreroad.admission.RoomRequest;

/**
 * MessagePack codec of the messages on room: a mark, the kind, then the fields in order. Kinds,
 * fields at the end, and reasons that a later release adds are passed over. All methods are
 * thread-safe.
 */
final class RoomCodec {
  /** First byte, different from that of a notice (1) and of a heartbeat (a string). */
  private static final byte MARK = 2;

  private static final int ASK = 1;
  private static final int WAITING = 2;
  private static final int DECIDED = 3;
  private static final int END = 4;
  private static final int RENEWAL = 5;
  private static final int TICKETS = 6;
  private static final int RENEWED = 7;

  private RoomCodec() {}

  /** Returns true if the bytes are a message on room. */
  static boolean isRoomMessage(byte[] bytes) {
    return bytes.length > 0 && bytes[0] == MARK;
  }

  static byte[] toBytes(RoomMessage message) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(MARK);
      pack(out, message);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("write to a memory buffer failed", e);
    }
  }

  private static void pack(MessagePacker out, RoomMessage message) throws IOException {
    if (message instanceof RoomMessage.Ask ask) {
      out.packInt(ASK).packString(ask.service()).packString(ask.model());
      packRequest(out, ask.request());
    } else if (message instanceof RoomMessage.Waiting waiting) {
      packKey(out.packInt(WAITING), waiting.key());
    } else if (message instanceof RoomMessage.Decided decided) {
      packDecision(out.packInt(DECIDED), decided);
    } else if (message instanceof RoomMessage.End end) {
      packKey(out.packInt(END), end.key()).packString(end.end().name());
    } else if (message instanceof RoomMessage.Renewal renewal) {
      packNumbers(out.packInt(RENEWAL).packString(renewal.holder()), renewal.numbers());
    } else if (message instanceof RoomMessage.Renewed renewed) {
      packNumbers(out.packInt(RENEWED).packString(renewed.holder()), renewed.held());
      packNumbers(out, renewed.lost());
    } else if (message instanceof RoomMessage.Tickets tickets) {
      out.packInt(TICKETS).packString(tickets.service()).packString(tickets.model());
      out.packArrayHeader(tickets.tickets().size());
      for (Ticket ticket : tickets.tickets()) {
        out.packLong(ticket.contentHash()).packInt(ticket.dueMs()).packInt(ticket.ageMs());
      }
    }
  }

  private static void packNumbers(MessagePacker out, Set<Long> numbers) throws IOException {
    out.packArrayHeader(numbers.size());
    for (long number : numbers) {
      out.packLong(number);
    }
  }

  private static MessagePacker packKey(MessagePacker out, RoomRequest.Key key) throws IOException {
    out.packString(key.holder()).packLong(key.number());
    return out;
  }

  private static void packRequest(MessagePacker out, RoomRequest request) throws IOException {
    packKey(out, request.key()).packString(request.zone()).packString(request.account());
    out.packInt(request.priority()).packLong(request.promptTokens());
    out.packInt(request.answerTokens()).packInt(request.ageMs());
    out.packInt(request.targetLatencyMs()).packInt(request.targetGapMs());
    out.packInt(request.remainingMs()).packLong(request.contentHash());
    out.packArrayHeader(request.excludedHeads().size());
    for (String head : request.excludedHeads()) {
      out.packString(head);
    }
    out.packBoolean(request.isFinal());
  }

  private static void packDecision(MessagePacker out, RoomMessage.Decided decided)
      throws IOException {
    RoomDecision decision = decided.decision();
    String head = decision.headId();
    RoomRefusal refusal = decision.refusal();
    packKey(out, decision.key()).packBoolean(head != null);
    out.packString(head != null ? head : refusal == null ? "" : refusal.name());
    out.packInt(decision.retryAfterMs()).packInt(decided.freeCount());
  }

  /**
   * Reads a message.
   *
   * @return the message, or empty if it is of a kind that a later release added
   * @throws IOException or an unchecked exception if the bytes are no valid message
   */
  static Optional<RoomMessage> parse(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      in.unpackInt();
      return Optional.ofNullable(unpack(in, in.unpackInt()));
    }
  }

  private static @Nullable RoomMessage unpack(MessageUnpacker in, int kind) throws IOException {
    return switch (kind) {
      case ASK -> unpackAsk(in);
      case WAITING -> new RoomMessage.Waiting(unpackKey(in));
      case DECIDED -> unpackDecided(in);
      case END -> new RoomMessage.End(unpackKey(in), unpackEnd(in.unpackString()));
      case RENEWAL -> new RoomMessage.Renewal(in.unpackString(), unpackNumbers(in));
      case RENEWED ->
          new RoomMessage.Renewed(in.unpackString(), unpackNumbers(in), unpackNumbers(in));
      case TICKETS -> unpackTickets(in);
      default -> null;
    };
  }

  private static RoomRequest.Key unpackKey(MessageUnpacker in) throws IOException {
    return new RoomRequest.Key(in.unpackString(), in.unpackLong());
  }

  private static RoomMessage unpackAsk(MessageUnpacker in) throws IOException {
    String service = in.unpackString();
    String model = in.unpackString();
    RoomRequest.Key key = unpackKey(in);
    String zone = in.unpackString();
    String account = in.unpackString();
    int priority = notNegative(in.unpackInt());
    long promptTokens = in.unpackLong();
    if (promptTokens < 0) {
      throw new IllegalArgumentException("negative tokens: " + promptTokens);
    }
    RoomRequest request =
        new RoomRequest(
            key,
            zone,
            account,
            priority,
            promptTokens,
            notNegative(in.unpackInt()),
            notNegative(in.unpackInt()),
            notNegative(in.unpackInt()),
            notNegative(in.unpackInt()),
            in.unpackInt(),
            in.unpackLong(),
            unpackHeads(in),
            in.unpackBoolean());
    return new RoomMessage.Ask(request, service, model);
  }

  private static int notNegative(int number) {
    if (number < 0) {
      throw new IllegalArgumentException("negative number: " + number);
    }
    return number;
  }

  private static Set<String> unpackHeads(MessageUnpacker in) throws IOException {
    Set<String> heads = new HashSet<>();
    for (int count = in.unpackArrayHeader(); count > 0; count--) {
      heads.add(in.unpackString());
    }
    return heads;
  }

  private static RoomMessage unpackDecided(MessageUnpacker in) throws IOException {
    RoomRequest.Key key = unpackKey(in);
    boolean isGranted = in.unpackBoolean();
    String text = in.unpackString();
    int retryAfterMs = notNegative(in.unpackInt());
    int freeCount = notNegative(in.unpackInt());
    RoomDecision decision =
        isGranted
            ? RoomDecision.granted(key, text)
            : RoomDecision.refused(key, unpackRefusal(text), retryAfterMs);
    return new RoomMessage.Decided(decision, freeCount);
  }

  private static RoomRefusal unpackRefusal(String name) {
    for (RoomRefusal refusal : RoomRefusal.values()) {
      if (refusal.name().equals(name)) {
        return refusal;
      }
    }
    return RoomRefusal.TARGET_OUT_OF_REACH;
  }

  private static GrantEnd unpackEnd(String name) {
    for (GrantEnd end : GrantEnd.values()) {
      if (end.name().equals(name)) {
        return end;
      }
    }
    return GrantEnd.USED;
  }

  private static Set<Long> unpackNumbers(MessageUnpacker in) throws IOException {
    Set<Long> numbers = new HashSet<>();
    for (int count = in.unpackArrayHeader(); count > 0; count--) {
      numbers.add(in.unpackLong());
    }
    return numbers;
  }

  private static RoomMessage unpackTickets(MessageUnpacker in) throws IOException {
    String service = in.unpackString();
    String model = in.unpackString();
    List<Ticket> tickets = new ArrayList<>();
    for (int count = in.unpackArrayHeader(); count > 0; count--) {
      tickets.add(new Ticket(in.unpackLong(), in.unpackInt(), in.unpackInt()));
    }
    return new RoomMessage.Tickets(service, model, tickets);
  }
}
