package org.shoreroad.intent;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * A record of an intent stream.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param type the type
 * @param intentId the id of the intent, never reused
 * @param keyHash the hash of account and key, see {@link RequestKey#toHash}
 * @since 0.1
 */
public record IntentRecord(Type type, String intentId, String keyHash) {
  /** The types of record. The ordinals are stored in the log. */
  public enum Type {
    /** A process is about to run the request. */
    STARTING,
    /** The request was not run, and never will be under this intent. */
    WITHDRAWN,
    /** The request ran to its end. */
    FINISHED
  }

  /** Returns the encoded record. */
  public byte[] toBytes() {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(type.ordinal()).packString(intentId).packString(keyHash);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Decodes a record.
   *
   * @param bytes the encoded record, not null
   * @return the record
   * @throws IllegalArgumentException if the bytes are malformed or the type is unknown
   */
  public static IntentRecord fromBytes(byte[] bytes) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int ordinal = in.unpackInt();
      if (ordinal < 0 || ordinal >= Type.values().length) {
        throw new IllegalArgumentException("unknown intent record type: " + ordinal);
      }
      return new IntentRecord(Type.values()[ordinal], in.unpackString(), in.unpackString());
    } catch (IOException | MessagePackException e) {
      throw new IllegalArgumentException("malformed intent record", e);
    }
  }
}
