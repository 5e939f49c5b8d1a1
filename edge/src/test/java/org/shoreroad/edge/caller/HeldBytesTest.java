package org.shoreroad.edge.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

class HeldBytesTest {
  private static final long MB = 1_048_576;

  private final HeldBytes held =
      new HeldBytes(new HeldBytesRule(16 * MB, 3_000), HeldBytes.Listener.NONE);

  @Test
  void requestsLeaveRoomForAnswers() {
    held.addRequest(12 * MB);
    assertThat(held.hasRoomForRequest(1), is(false));
    assertThat("no caller is ended for the requests of others", held.add(4 * MB), is(false));
    assertThat(held.add(1), is(true));
  }

  @Test
  void answersLeaveNoRoomForRequests() {
    held.add(15 * MB);
    assertThat(held.hasRoomForRequest(MB), is(true));
    assertThat(held.hasRoomForRequest(MB + 1), is(false));
  }

  @Test
  void aCheckForgetsWhatIsNoLongerHeld() {
    held.addRequest(12 * MB);
    held.check(List.of(), 0);
    assertThat(held.estimatedBytes(), is(0L));
    assertThat(held.hasRoomForRequest(12 * MB), is(true));
  }

  @Test
  void bytesThatAreHeldElsewhereLeaveNoMemory() {
    held.addSource(
        new HeldBytes.Source() {
          @Override
          public long requestBytes() {
            return 10 * MB;
          }

          @Override
          public long answerBytes() {
            return 3 * MB;
          }
        });
    held.check(List.of(), 0);
    assertThat(held.estimatedBytes(), is(13 * MB));
    assertThat(held.hasRoomForRequest(2 * MB), is(true));
    assertThat(held.hasRoomForRequest(2 * MB + 1), is(false));
    assertThat(held.hasRoomForAnswer(MB), is(true));
    assertThat(held.hasRoomForAnswer(2 * MB), is(false));
  }

  @Test
  void reservedMemoryIsTakenUntilItIsReleased() {
    held.reserve(14 * MB);
    assertThat(held.hasRoomForAnswer(MB), is(false));
    held.reserve(-2 * MB);
    assertThat(held.hasRoomForAnswer(MB), is(true));
  }
}
