package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.sameInstance;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class InputBoundsTest {
  private static RoomRequest request(int priority, long promptTokens, int times) {
    return new RoomRequest(
        new RoomRequest.Key("p", 1),
        "z",
        "a",
        priority,
        promptTokens,
        times,
        times,
        times,
        times,
        times,
        7,
        Set.of("h"),
        true);
  }

  private static HeadState state(int open, long tokens, double slowness, double starts) {
    return new HeadState("h", "z", open, tokens, slowness, true, starts);
  }

  @Test
  void testRequest_inRangeIsKept() {
    RoomRequest request = request(9, 1_000, 100);
    assertThat(InputBounds.clampRequest(request), sameInstance(request));
  }

  @Test
  void testRequest_negativeNumbersBecomeZero() {
    RoomRequest clamped = InputBounds.clampRequest(request(-1, Long.MIN_VALUE, -5));
    assertThat(clamped, is(request(0, 0, 0)));
  }

  @Test
  void testRequest_hugeNumbersCannotOverflowSums() {
    RoomRequest clamped =
        InputBounds.clampRequest(request(Integer.MAX_VALUE, Long.MAX_VALUE, Integer.MAX_VALUE));
    assertThat(clamped.priority(), is(9));
    assertThat(clamped.promptTokens() + clamped.answerTokens(), lessThanOrEqualTo(1L << 31));
    assertThat(clamped.targetLatencyMs(), is(24 * 3_600 * 1_000));
  }

  @Test
  void testRequest_withoutTargetGetsItsDeadline() {
    RoomRequest request =
        new RoomRequest(
            new RoomRequest.Key("p", 1), "z", "a", 0, 1, 1, 1, 0, 1, 5_000, 7, Set.of(), true);
    RoomRequest clamped = InputBounds.clampRequest(request);
    assertThat(clamped.targetLatencyMs(), is(5_000));
    assertThat(InputBounds.isCorrected(request, clamped), is(false));
  }

  @Test
  void testRequest_outOfRangeIsCorrected() {
    for (RoomRequest bad : List.of(request(-1, 1, 1), request(1, -1, 1), request(1, 1, -1))) {
      assertThat(InputBounds.isCorrected(bad, InputBounds.clampRequest(bad)), is(true));
    }
  }

  @Test
  void testRequest_negativeTargetIsCorrected() {
    RoomRequest bad =
        new RoomRequest(
            new RoomRequest.Key("p", 1), "z", "a", 0, 1, 1, 1, -1, 1, 5_000, 7, Set.of(), true);
    assertThat(InputBounds.isCorrected(bad, InputBounds.clampRequest(bad)), is(true));
  }

  @Test
  void testState_isCorrected() {
    HeadState fine = state(3, 100, 1.5, Double.POSITIVE_INFINITY);
    assertThat(InputBounds.clampState(fine), sameInstance(fine));
    assertThat(InputBounds.clampState(state(-1, -1, 0.2, -3)), is(state(0, 0, 1, 0)));
    HeadState noNumbers = state(1, 1, Double.NaN, Double.NaN);
    assertThat(InputBounds.clampState(noNumbers), is(state(1, 1, 1, 0)));
    HeadState huge = state(Integer.MAX_VALUE, Long.MAX_VALUE, 1e300, 1e300);
    assertThat(InputBounds.clampState(huge), is(state(1 << 16, 1L << 30, 100, 1e300)));
  }
}
