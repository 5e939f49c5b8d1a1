package org.shoreroad.intent;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * One record of an intent stream.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param type what it says
 * @param intentId the id of the intent it says it of, unique for ever
 * @param keyHash what stands for account and key
 * @since 0.1
 */
public record IntentRecord(Type type, String intentId, String keyHash) {
  /** What a record says. */
  public enum Type {
    /** Somebody is about to run the key's request. */
    STARTING,
    /** It was not run, and under this intent never will be. */
    WITHDRAWN,
    /** It ran to its end. */
    FINISHED
  }

  /** Returns the bytes of the record. */
  public byte[] toBytes() {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(type.ordinal()).packString(intentId).packString(keyHash);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Returns the record that the bytes hold.
   *
   * @param bytes the bytes, not null
   * @return the record
   * @throws IllegalArgumentException if the bytes hold no record
   */
  public static IntentRecord fromBytes(byte[] bytes) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int ordinal = in.unpackInt();
      if (ordinal < 0 || ordinal >= Type.values().length) {
        throw new IllegalArgumentException("no such type of intent record: " + ordinal);
      }
      return new IntentRecord(Type.values()[ordinal], in.unpackString(), in.unpackString());
    } catch (IOException | MessagePackException e) {
      throw new IllegalArgumentException("not an intent record", e);
    }
  }
}
