package org.shoreroad.daemon.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.shoreroad.ErrorCode;
import org.shoreroad.Verdict;
import org.shoreroad.codec.BinaryValue;
import org.shoreroad.daemon.request.Submission;
import org.shoreroad.intent.IntentRecord;
import org.shoreroad.member.MembershipMessage;
import org.shoreroad.member.PeerStatus;
import org.shoreroad.member.Rumor;
import org.shoreroad.state.Node;

/**
 * Encodes peer messages in MessagePack: a type number, then the fields in the order of the Java
 * record.
 *
 * <p>All methods are thread-safe.
 *
 * @since 0.1
 */
public final class PeerCodec {
  private static final int HELLO = 1;
  private static final int MEMBERSHIP = 2;
  private static final int SUBMIT = 3;
  private static final int CANCEL = 4;
  private static final int CHUNK = 5;
  private static final int ENDED = 6;
  private static final int FAILED = 7;
  private static final int CATCH_UP_REQUEST = 8;
  private static final int CATCH_UP_STATE = 9;
  private static final int CLAIM_REQUEST = 10;
  private static final int CLAIM_RESPONSE = 11;

  private PeerCodec() {}

  /** Returns the encoded message. */
  public static byte[] toBytes(PeerMessage message) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      pack(out, message);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void pack(MessageBufferPacker out, PeerMessage message) throws IOException {
    if (message instanceof PeerMessage.Chunk chunk) {
      out.packInt(CHUNK).packString(chunk.requestId()).packLong(chunk.sequence());
      packBytes(out, chunk.bytes());
    } else if (message instanceof PeerMessage.Membership membership) {
      out.packInt(MEMBERSHIP);
      packMembership(out, membership.message());
    } else if (message instanceof PeerMessage.Submit submit) {
      out.packInt(SUBMIT);
      packSubmission(out, submit.submission());
    } else if (message instanceof PeerMessage.Cancel cancel) {
      out.packInt(CANCEL).packString(cancel.requestId());
    } else if (message instanceof PeerMessage.Ended ended) {
      out.packInt(ENDED).packString(ended.requestId());
    } else if (message instanceof PeerMessage.Failed failed) {
      out.packInt(FAILED).packString(failed.requestId()).packString(failed.code().toString());
      out.packString(failed.verdict().toString()).packString(failed.message());
      out.packLong(failed.retryAfterMs());
    } else if (message instanceof PeerMessage.Hello hello) {
      out.packInt(HELLO).packString(hello.node().id()).packString(hello.node().peerAddress());
      out.packString(hello.node().availabilityZone()).packString(hello.token());
    } else if (message instanceof PeerMessage.CatchUpRequest request) {
      out.packInt(CATCH_UP_REQUEST).packLong(request.appliedOffset());
    } else if (message instanceof PeerMessage.CatchUpState state) {
      out.packInt(CATCH_UP_STATE);
      packBytes(out, state.checkpoint());
    } else if (message instanceof PeerMessage.ClaimRequest request) {
      out.packInt(CLAIM_REQUEST).packLong(request.callId()).packInt(request.shard());
      packBytes(out, request.record().toBytes());
    } else if (message instanceof PeerMessage.ClaimResponse response) {
      out.packInt(CLAIM_RESPONSE).packLong(response.callId()).packString(response.result().name());
    }
  }

  /**
   * Decodes a message.
   *
   * @param bytes the encoded message, not null
   * @return the message
   * @throws IllegalArgumentException if the bytes are not a valid message
   */
  public static PeerMessage fromBytes(byte[] bytes) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int type = in.unpackInt();
      return switch (type) {
        case HELLO ->
            new PeerMessage.Hello(
                new Node(in.unpackString(), in.unpackString(), in.unpackString()),
                in.unpackString());
        case MEMBERSHIP -> new PeerMessage.Membership(unpackMembership(in));
        case SUBMIT -> new PeerMessage.Submit(unpackSubmission(in, bytes.length));
        case CANCEL -> new PeerMessage.Cancel(in.unpackString());
        case CHUNK ->
            new PeerMessage.Chunk(
                in.unpackString(), in.unpackLong(), BinaryValue.unpack(in, bytes.length));
        case ENDED -> new PeerMessage.Ended(in.unpackString());
        case FAILED ->
            new PeerMessage.Failed(
                in.unpackString(),
                ErrorCode.parse(in.unpackString()),
                Verdict.parse(in.unpackString()),
                in.unpackString(),
                in.unpackLong());
        case CATCH_UP_REQUEST -> new PeerMessage.CatchUpRequest(in.unpackLong());
        case CATCH_UP_STATE -> new PeerMessage.CatchUpState(BinaryValue.unpack(in, bytes.length));
        case CLAIM_REQUEST ->
            new PeerMessage.ClaimRequest(
                in.unpackLong(),
                in.unpackInt(),
                IntentRecord.fromBytes(BinaryValue.unpack(in, bytes.length)));
        case CLAIM_RESPONSE ->
            new PeerMessage.ClaimResponse(in.unpackLong(), ClaimResult.valueOf(in.unpackString()));
        default -> throw new IllegalArgumentException("unknown message type: " + type);
      };
    } catch (IOException | MessagePackException e) {
      throw new IllegalArgumentException("malformed peer message", e);
    }
  }

  private static void packBytes(MessageBufferPacker out, byte[] bytes) throws IOException {
    out.packBinaryHeader(bytes.length).writePayload(bytes);
  }

  private static void packMembership(MessageBufferPacker out, MembershipMessage message)
      throws IOException {
    out.packInt(message.type().ordinal())
        .packLong(message.sequence())
        .packString(message.subject());
    out.packLong(message.appliedOffset()).packArrayHeader(message.rumors().size());
    for (Rumor rumor : message.rumors()) {
      out.packString(rumor.nodeId()).packInt(rumor.status().ordinal());
      out.packLong(rumor.incarnation());
    }
  }

  private static MembershipMessage unpackMembership(MessageUnpacker in) throws IOException {
    MembershipMessage.Type type = ofOrdinal(MembershipMessage.Type.values(), in.unpackInt());
    long sequence = in.unpackLong();
    String subject = in.unpackString();
    long appliedOffset = in.unpackLong();
    List<Rumor> rumors = new ArrayList<>();
    for (int count = in.unpackArrayHeader(); count > 0; count--) {
      rumors.add(
          new Rumor(
              in.unpackString(), ofOrdinal(PeerStatus.values(), in.unpackInt()), in.unpackLong()));
    }
    return new MembershipMessage(type, sequence, subject, appliedOffset, rumors);
  }

  private static <T> T ofOrdinal(T[] values, int ordinal) {
    if (ordinal < 0 || ordinal >= values.length) {
      throw new IllegalArgumentException("unknown enum ordinal: " + ordinal);
    }
    return values[ordinal];
  }

  private static void packSubmission(MessageBufferPacker out, Submission s) throws IOException {
    out.packString(s.requestId()).packLong(s.generation()).packString(s.account());
    out.packInt(s.accountWeight()).packInt(s.priority()).packLong(s.expectedTokens());
    out.packInt(s.costWeight())
        .packLong(s.waitMs())
        .packBoolean(s.isStreaming())
        .packLong(s.resumeAfter());
    packBytes(out, s.body());
  }

  private static Submission unpackSubmission(MessageUnpacker in, int messageBytes)
      throws IOException {
    return new Submission(
        in.unpackString(),
        in.unpackLong(),
        in.unpackString(),
        in.unpackInt(),
        in.unpackInt(),
        in.unpackLong(),
        in.unpackInt(),
        in.unpackLong(),
        in.unpackBoolean(),
        in.unpackLong(),
        BinaryValue.unpack(in, messageBytes));
  }
}
