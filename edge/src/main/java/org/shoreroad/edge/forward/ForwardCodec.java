package org.shoreroad.edge.forward;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.shoreroad.codec.BinaryValue;

/**
 * MessagePack codec of the messages on forwarded calls: a mark, the kind, the number, then the
 * fields in order. Kinds and fields at the end that a later release adds are ignored. All methods
 * are thread-safe.
 */
final class ForwardCodec {
  /** First byte, different from that of a notice (1), of room (2) and of a heartbeat (a string). */
  private static final byte MARK = 3;

  private static final int CALL = 1;
  private static final int BODY = 2;
  private static final int CANCEL = 3;
  private static final int READING = 4;
  private static final int PROBE = 5;
  private static final int PING = 6;
  private static final int HEAD = 7;
  private static final int CONTENT = 8;
  private static final int END = 9;
  private static final int FAILED = 10;
  private static final int PROBED = 11;
  private static final int PONG = 12;

  private ForwardCodec() {}

  /** Returns true if the bytes are a message on forwarded calls. */
  static boolean isForwardMessage(byte[] bytes) {
    return bytes.length > 0 && bytes[0] == MARK;
  }

  static byte[] toBytes(ForwardMessage message) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(MARK);
      pack(out, message);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("write to a memory buffer failed", e);
    }
  }

  private static void pack(MessagePacker out, ForwardMessage message) throws IOException {
    if (message instanceof ForwardMessage.Content content) {
      packBytes(start(out, CONTENT, message), content.bytes());
    } else if (message instanceof ForwardMessage.Head head) {
      start(out, HEAD, message).packInt(head.status()).packString(head.reasonPhrase());
      packStrings(out, head.headers());
    } else if (message instanceof ForwardMessage.Call call) {
      packCall(start(out, CALL, message), call);
    } else if (message instanceof ForwardMessage.Body body) {
      packBytes(start(out, BODY, message), body.bytes());
    } else if (message instanceof ForwardMessage.End) {
      start(out, END, message);
    } else if (message instanceof ForwardMessage.Cancel) {
      start(out, CANCEL, message);
    } else if (message instanceof ForwardMessage.Reading reading) {
      start(out, READING, message).packBoolean(reading.isReading());
    } else if (message instanceof ForwardMessage.Failed failed) {
      start(out, FAILED, message).packString(failed.reason()).packBoolean(failed.isSent());
    } else if (message instanceof ForwardMessage.Probe probe) {
      start(out, PROBE, message).packString(probe.upstream());
    } else if (message instanceof ForwardMessage.Probed probed) {
      start(out, PROBED, message).packString(probed.outcome());
    } else {
      start(out, message instanceof ForwardMessage.Ping ? PING : PONG, message);
    }
  }

  private static MessagePacker start(MessagePacker out, int kind, ForwardMessage message)
      throws IOException {
    return out.packInt(kind).packLong(message.number());
  }

  private static void packCall(MessagePacker out, ForwardMessage.Call call) throws IOException {
    out.packString(call.upstream()).packString(call.method()).packString(call.uri());
    packStrings(out, call.headers());
    out.packInt(call.maxConnections()).packInt(call.bodyBytes());
    packBytes(out, call.body());
  }

  private static void packStrings(MessagePacker out, List<String> strings) throws IOException {
    out.packArrayHeader(strings.size());
    for (String string : strings) {
      out.packString(string);
    }
  }

  private static void packBytes(MessagePacker out, byte[] bytes) throws IOException {
    out.packBinaryHeader(bytes.length).addPayload(bytes);
  }

  /**
   * Reads a message.
   *
   * @return the message, or empty if its kind is unknown
   * @throws IOException or an unchecked exception if the bytes are no valid message
   */
  static Optional<ForwardMessage> parse(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      if (in.unpackInt() != MARK) {
        throw new IOException("not a message on forwarded calls");
      }
      return Optional.ofNullable(unpack(in, bytes.length, in.unpackInt(), in.unpackLong()));
    }
  }

  private static @Nullable ForwardMessage unpack(
      MessageUnpacker in, int messageBytes, int kind, long number) throws IOException {
    return switch (kind) {
      case CALL -> unpackCall(in, messageBytes, number);
      case BODY -> new ForwardMessage.Body(number, BinaryValue.unpack(in, messageBytes));
      case CANCEL -> new ForwardMessage.Cancel(number);
      case READING -> new ForwardMessage.Reading(number, in.unpackBoolean());
      case PROBE -> new ForwardMessage.Probe(number, in.unpackString());
      case PING -> new ForwardMessage.Ping(number);
      case HEAD ->
          new ForwardMessage.Head(number, in.unpackInt(), in.unpackString(), unpackStrings(in));
      case CONTENT -> new ForwardMessage.Content(number, BinaryValue.unpack(in, messageBytes));
      case END -> new ForwardMessage.End(number);
      case FAILED -> new ForwardMessage.Failed(number, in.unpackString(), in.unpackBoolean());
      case PROBED -> new ForwardMessage.Probed(number, in.unpackString());
      case PONG -> new ForwardMessage.Pong(number);
      default -> null;
    };
  }

  private static ForwardMessage.Call unpackCall(MessageUnpacker in, int messageBytes, long number)
      throws IOException {
    return new ForwardMessage.Call(
        number,
        in.unpackString(),
        in.unpackString(),
        in.unpackString(),
        unpackStrings(in),
        in.unpackInt(),
        in.unpackInt(),
        BinaryValue.unpack(in, messageBytes));
  }

  private static List<String> unpackStrings(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<String> strings = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      strings.add(in.unpackString());
    }
    return strings;
  }
}
