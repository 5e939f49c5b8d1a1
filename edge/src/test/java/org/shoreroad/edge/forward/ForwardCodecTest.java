package org.shoreroad.edge.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.shoreroad.http.HeaderText;

class ForwardCodecTest {
  private static ForwardMessage copyOf(ForwardMessage message) throws Exception {
    return ForwardCodec.parse(ForwardCodec.toBytes(message)).orElseThrow();
  }

  @Test
  void callKeepsItsFields() throws Exception {
    ForwardMessage.Call call =
        (ForwardMessage.Call)
            copyOf(
                new ForwardMessage.Call(
                    7,
                    "i-1",
                    "POST",
                    "/x?y",
                    List.of("A", "b", "A", "c"),
                    3,
                    5,
                    new byte[] {1, 2}));
    assertThat(call.number(), is(7L));
    assertThat(call.upstream(), is("i-1"));
    assertThat(call.method() + call.uri(), is("POST/x?y"));
    assertThat(call.headers(), contains("A", "b", "A", "c"));
    assertThat(call.maxConnections(), is(3));
    assertThat(call.bodyBytes(), is(5));
    assertThat(call.body(), is(new byte[] {1, 2}));
  }

  /** Guards against a name in UTF-8 that another process sends in another encoding. */
  @Test
  void bytesOfHeadersAreKept() throws Exception {
    String value = HeaderText.encode("রাজমিস্ত্রি");
    ForwardMessage.Call call =
        new ForwardMessage.Call(7, "i-1", "GET", "/", List.of("A", value), 3, 0, new byte[0]);
    ForwardMessage.Call copy = (ForwardMessage.Call) copyOf(call);
    assertThat(copy.headers(), contains("A", value));
    assertThat(HeaderFields.areWellFormed(copy.headers()), is(true));
  }

  /** Guards against a stated length for which memory is allocated before the bytes are there. */
  @Test
  void valueLongerThanItsMessageIsRejected() {
    byte[] message = ForwardCodec.toBytes(new ForwardMessage.Content(2, new byte[300]));
    int header = message.length - 300 - 3;
    message[header] = (byte) 0xc6;
    message[header + 1] = 0x7f;
    assertThrows(IOException.class, () -> ForwardCodec.parse(message));
  }

  @Test
  void answersKeepTheirFields() throws Exception {
    ForwardMessage.Head head =
        (ForwardMessage.Head) copyOf(new ForwardMessage.Head(1, 503, "Busy", List.of("K", "v")));
    assertThat(head.status() + head.reasonPhrase(), is("503Busy"));
    assertThat(head.headers(), contains("K", "v"));
    ForwardMessage.Content content =
        (ForwardMessage.Content) copyOf(new ForwardMessage.Content(2, new byte[] {9}));
    assertThat(content.bytes(), is(new byte[] {9}));
    ForwardMessage.Failed failed =
        (ForwardMessage.Failed) copyOf(new ForwardMessage.Failed(3, "BROKEN", true));
    assertThat(failed.reason() + failed.isSent(), is("BROKENtrue"));
    ForwardMessage.Probed probed =
        (ForwardMessage.Probed) copyOf(new ForwardMessage.Probed(4, "REFUSED"));
    assertThat(probed.outcome(), is("REFUSED"));
  }

  @Test
  void messagesWithoutFieldsKeepTheirKind() throws Exception {
    assertThat(copyOf(new ForwardMessage.End(1)), instanceOf(ForwardMessage.End.class));
    assertThat(copyOf(new ForwardMessage.Cancel(1)), instanceOf(ForwardMessage.Cancel.class));
    assertThat(copyOf(new ForwardMessage.Ping(0)), instanceOf(ForwardMessage.Ping.class));
    assertThat(copyOf(new ForwardMessage.Pong(0)), instanceOf(ForwardMessage.Pong.class));
    ForwardMessage.Reading reading =
        (ForwardMessage.Reading) copyOf(new ForwardMessage.Reading(1, true));
    assertThat(reading.isReading(), is(true));
  }

  @Test
  void unknownKindIsIgnored() throws Exception {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(3).packInt(99).packLong(1);
      assertThat(ForwardCodec.parse(out.toByteArray()), is(Optional.empty()));
    }
  }

  @Test
  void truncatedMessagesAreRejected() {
    byte[] whole =
        ForwardCodec.toBytes(
            new ForwardMessage.Call(7, "i-1", "POST", "/x", List.of("A", "b"), 3, 2, new byte[2]));
    for (int length = 1; length < whole.length; length++) {
      byte[] part = Arrays.copyOf(whole, length);
      assertThrows(Exception.class, () -> ForwardCodec.parse(part));
    }
  }
}
