package org.shoreroad.edge.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * What a process tells each other one, again and again.
 *
 * @param sender the name of the sender's life
 * @param sentNanos the sender's steady clock at the sending
 * @param echoNanos the receiver's own clock in the last heartbeat that the sender got from it, or 0
 * @param configVersion the version of the configuration that the sender has
 * @param configOffset how far the sender has read the topic of the configuration
 * @param configAgeNanos how long ago the sender had proof that it missed no change
 * @param openByUpstream the requests that the sender has open at each upstream
 * @param suspectedUpstreams the heads that the sender suspects
 * @since 0.2
 */
public record Heartbeat(
    String sender,
    long sentNanos,
    long echoNanos,
    long configVersion,
    long configOffset,
    long configAgeNanos,
    Map<String, Integer> openByUpstream,
    List<String> suspectedUpstreams) {
  /** Copies the collections. */
  public Heartbeat {
    openByUpstream = Map.copyOf(openByUpstream);
    suspectedUpstreams = List.copyOf(suspectedUpstreams);
  }

  /** Returns the bytes of this message. */
  public byte[] toBytes() {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packString(sender).packLong(sentNanos).packLong(echoNanos);
      out.packLong(configVersion).packLong(configOffset).packLong(configAgeNanos);
      out.packMapHeader(openByUpstream.size());
      for (Map.Entry<String, Integer> entry : openByUpstream.entrySet()) {
        out.packString(entry.getKey()).packInt(entry.getValue());
      }
      out.packArrayHeader(suspectedUpstreams.size());
      for (String id : suspectedUpstreams) {
        out.packString(id);
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("a buffer can't fail to be written", e);
    }
  }

  /**
   * Reads a message.
   *
   * @throws IOException if the bytes are no heartbeat
   */
  public static Heartbeat parse(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      String sender = in.unpackString();
      long sentNanos = in.unpackLong();
      long echoNanos = in.unpackLong();
      long configVersion = in.unpackLong();
      long configOffset = in.unpackLong();
      long configAgeNanos = in.unpackLong();
      Map<String, Integer> open = new HashMap<>();
      int entries = in.unpackMapHeader();
      for (int i = 0; i < entries; i++) {
        open.put(in.unpackString(), in.unpackInt());
      }
      List<String> suspected = new ArrayList<>();
      int suspects = in.unpackArrayHeader();
      for (int i = 0; i < suspects; i++) {
        suspected.add(in.unpackString());
      }
      return new Heartbeat(
          sender,
          sentNanos,
          echoNanos,
          configVersion,
          configOffset,
          configAgeNanos,
          open,
          suspected);
    }
  }
}
