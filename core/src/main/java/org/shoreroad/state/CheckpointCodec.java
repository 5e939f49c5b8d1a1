package org.shoreroad.state;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;
import org.shoreroad.config.Configuration;

/**
 * Encodes a complete {@link ClusterState} as MessagePack and decodes it.
 *
 * <p>The encoding is used for checkpoints in the log and for a peer's answer to a process that
 * catches up.
 *
 * <p>All methods are thread-safe.
 *
 * @since 0.1
 */
public final class CheckpointCodec {
  private static final int FORMAT = 1;

  private CheckpointCodec() {}

  /** Returns the encoded state. */
  public static byte[] toBytes(ClusterState state) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(FORMAT).packLong(state.appliedOffset()).packLong(state.configVersion());
      RecordCodec.packEntries(out, List.copyOf(state.configuration().entries().values()));
      packChangedAt(out, state.changedAt());
      out.packArrayHeader(state.generations().size());
      for (Generation generation : state.generations().values()) {
        packGeneration(out, generation);
      }
      out.packArrayHeader(state.nodes().size());
      for (ClusterState.JoinedNode joined : state.nodes().values()) {
        out.packLong(joined.joinedAt());
        RecordCodec.packNode(out, joined.node());
      }
      out.packArrayHeader(state.idByOffset().size());
      for (String id : state.idByOffset().values()) {
        packOutcome(out, id, state.outcomeById().get(id));
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Decodes a state.
   *
   * @param bytes the encoded state, not null
   * @return the state
   * @throws IllegalArgumentException if the bytes are malformed or of another format version
   */
  public static ClusterState fromBytes(byte[] bytes) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      if (in.unpackInt() != FORMAT) {
        throw new IllegalArgumentException("unsupported checkpoint format");
      }
      return unpackState(in);
    } catch (IOException | MessagePackException e) {
      throw new IllegalArgumentException("malformed checkpoint", e);
    }
  }

  private static ClusterState unpackState(MessageUnpacker in) throws IOException {
    long appliedOffset = in.unpackLong();
    long configVersion = in.unpackLong();
    Configuration configuration = Configuration.of(RecordCodec.unpackEntries(in));
    PMap<String, Long> changedAt = unpackChangedAt(in);
    TreePMap<Long, Generation> generations = TreePMap.empty();
    PMap<String, Long> generationByBox = HashTreePMap.empty();
    for (int count = in.unpackArrayHeader(); count > 0; count--) {
      Generation generation = unpackGeneration(in);
      generations = generations.plus(generation.number(), generation);
      for (String box : generation.heldBoxes()) {
        generationByBox = generationByBox.plus(box, generation.number());
      }
    }
    PMap<String, ClusterState.JoinedNode> nodes = HashTreePMap.empty();
    for (int count = in.unpackArrayHeader(); count > 0; count--) {
      long joinedAt = in.unpackLong();
      Node node = RecordCodec.unpackNode(in);
      nodes = nodes.plus(node.id(), new ClusterState.JoinedNode(node, joinedAt));
    }
    PMap<String, Outcome> outcomeById = HashTreePMap.empty();
    TreePMap<Long, String> idByOffset = TreePMap.empty();
    for (int count = in.unpackArrayHeader(); count > 0; count--) {
      String id = in.unpackString();
      Outcome outcome =
          new Outcome(in.unpackLong(), Outcome.Kind.valueOf(in.unpackString()), in.unpackString());
      outcomeById = outcomeById.plus(id, outcome);
      idByOffset = idByOffset.plus(outcome.offset(), id);
    }
    return new ClusterState(
        appliedOffset,
        configVersion,
        configuration,
        changedAt,
        generations,
        generationByBox,
        nodes,
        outcomeById,
        idByOffset);
  }

  private static void packChangedAt(MessageBufferPacker out, PMap<String, Long> changedAt)
      throws IOException {
    out.packMapHeader(changedAt.size());
    for (var entry : changedAt.entrySet()) {
      out.packString(entry.getKey()).packLong(entry.getValue());
    }
  }

  private static PMap<String, Long> unpackChangedAt(MessageUnpacker in) throws IOException {
    PMap<String, Long> changedAt = HashTreePMap.empty();
    for (int count = in.unpackMapHeader(); count > 0; count--) {
      changedAt = changedAt.plus(in.unpackString(), in.unpackLong());
    }
    return changedAt;
  }

  private static void packGeneration(MessageBufferPacker out, Generation generation)
      throws IOException {
    out.packLong(generation.number()).packString(generation.model());
    RecordCodec.packBoxes(out, generation.boxes());
    out.packString(generation.dissolved() == null ? "" : generation.dissolved().name());
    out.packLong(generation.fencingNumber());
    List<String> held = new ArrayList<>(generation.heldBoxes());
    out.packArrayHeader(held.size());
    for (String box : held) {
      out.packString(box);
    }
  }

  private static Generation unpackGeneration(MessageUnpacker in) throws IOException {
    long number = in.unpackLong();
    String model = in.unpackString();
    var boxes = RecordCodec.unpackBoxes(in);
    String reason = in.unpackString();
    long fencingNumber = in.unpackLong();
    Set<String> held = new HashSet<>();
    for (int count = in.unpackArrayHeader(); count > 0; count--) {
      held.add(in.unpackString());
    }
    DissolveReason dissolved = reason.isEmpty() ? null : DissolveReason.valueOf(reason);
    return new Generation(number, model, boxes, dissolved, fencingNumber, held);
  }

  private static void packOutcome(MessageBufferPacker out, String id, @Nullable Outcome outcome)
      throws IOException {
    if (outcome == null) {
      throw new IllegalStateException("no outcome for record " + id);
    }
    out.packString(id).packLong(outcome.offset());
    out.packString(outcome.kind().name()).packString(outcome.message());
  }
}
