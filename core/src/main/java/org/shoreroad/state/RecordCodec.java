package org.shoreroad.state;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.shoreroad.Box;
import org.shoreroad.config.ConfigChange;
import org.shoreroad.config.ConfigEntry;
import org.shoreroad.config.ConfigJson;

/**
 * Encodes the records of the control stream as MessagePack and decodes them.
 *
 * <p>An encoded record consists of a type number, the id and the fields in the order of the Java
 * record. All methods are thread-safe.
 *
 * @since 0.1
 */
public final class RecordCodec {
  private static final int CONFIG_CHANGED = 1;
  private static final int REPLICA_FORMED = 2;
  private static final int REPLICA_DISSOLVED = 3;
  private static final int BOX_RELEASED = 4;
  private static final int NODE_JOINED = 5;
  private static final int NODE_LEFT = 6;

  private RecordCodec() {}

  /** Returns the encoded record. */
  public static byte[] toBytes(LogRecord record) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      if (record instanceof LogRecord.ConfigChanged changed) {
        out.packInt(CONFIG_CHANGED).packString(changed.id()).packLong(changed.baseVersion());
        out.packString(changed.operator());
        packChange(out, changed.change());
      } else if (record instanceof LogRecord.ReplicaFormed formed) {
        out.packInt(REPLICA_FORMED).packString(formed.id()).packString(formed.model());
        packBoxes(out, formed.boxes());
      } else if (record instanceof LogRecord.ReplicaDissolved dissolved) {
        out.packInt(REPLICA_DISSOLVED).packString(dissolved.id()).packLong(dissolved.generation());
        out.packString(dissolved.reason().name());
      } else if (record instanceof LogRecord.BoxReleased released) {
        out.packInt(BOX_RELEASED).packString(released.id()).packLong(released.generation());
        out.packString(released.box());
      } else if (record instanceof LogRecord.NodeJoined joined) {
        out.packInt(NODE_JOINED).packString(joined.id());
        packNode(out, joined.node());
      } else if (record instanceof LogRecord.NodeLeft left) {
        out.packInt(NODE_LEFT).packString(left.id()).packString(left.nodeId());
        out.packLong(left.joinedAt());
      }
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
  public static LogRecord fromBytes(byte[] bytes) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int type = in.unpackInt();
      String id = in.unpackString();
      return switch (type) {
        case CONFIG_CHANGED ->
            new LogRecord.ConfigChanged(id, in.unpackLong(), in.unpackString(), unpackChange(in));
        case REPLICA_FORMED -> new LogRecord.ReplicaFormed(id, in.unpackString(), unpackBoxes(in));
        case REPLICA_DISSOLVED ->
            new LogRecord.ReplicaDissolved(
                id, in.unpackLong(), DissolveReason.valueOf(in.unpackString()));
        case BOX_RELEASED -> new LogRecord.BoxReleased(id, in.unpackLong(), in.unpackString());
        case NODE_JOINED -> new LogRecord.NodeJoined(id, unpackNode(in));
        case NODE_LEFT -> new LogRecord.NodeLeft(id, in.unpackString(), in.unpackLong());
        default -> throw new IllegalArgumentException("unknown record type: " + type);
      };
    } catch (IOException | MessagePackException e) {
      throw new IllegalArgumentException("malformed record", e);
    }
  }

  static void packBoxes(MessageBufferPacker out, List<Box> boxes) throws IOException {
    out.packArrayHeader(boxes.size());
    for (Box box : boxes) {
      out.packString(box.name()).packString(box.address());
      out.packString(box.fabricDomain()).packString(box.availabilityZone());
    }
  }

  static List<Box> unpackBoxes(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<Box> boxes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      boxes.add(
          new Box(in.unpackString(), in.unpackString(), in.unpackString(), in.unpackString()));
    }
    return boxes;
  }

  static void packNode(MessageBufferPacker out, Node node) throws IOException {
    out.packString(node.id()).packString(node.peerAddress()).packString(node.availabilityZone());
  }

  static Node unpackNode(MessageUnpacker in) throws IOException {
    return new Node(in.unpackString(), in.unpackString(), in.unpackString());
  }

  static void packEntries(MessageBufferPacker out, List<ConfigEntry> entries) throws IOException {
    out.packArrayHeader(entries.size());
    for (ConfigEntry entry : entries) {
      out.packString(entry.key()).packString(ConfigJson.toJson(entry));
    }
  }

  static List<ConfigEntry> unpackEntries(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<ConfigEntry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(ConfigJson.parse(in.unpackString(), in.unpackString()));
    }
    return entries;
  }

  private static void packChange(MessageBufferPacker out, ConfigChange change) throws IOException {
    packEntries(out, change.upserts());
    out.packArrayHeader(change.removals().size());
    for (String key : change.removals()) {
      out.packString(key);
    }
  }

  private static ConfigChange unpackChange(MessageUnpacker in) throws IOException {
    List<ConfigEntry> upserts = unpackEntries(in);
    int count = in.unpackArrayHeader();
    List<String> removals = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      removals.add(in.unpackString());
    }
    return new ConfigChange(upserts, removals);
  }
}
