package org.shoreroad.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;
import static org.hamcrest.Matchers.sameInstance;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;
import org.shoreroad.ShoreroadException;
import org.shoreroad.daemon.request.AnswerSink;

/** Guards against an answer that is forwarded twice, or from the wrong process or request. */
public class InFlightRequestsTest {
  private static final AnswerSink SINK =
      new AnswerSink() {
        @Override
        public void onChunk(long sequence, byte[] bytes) {}

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(ShoreroadException failure) {}
      };

  private final InFlightRequests inFlight = new InFlightRequests();

  /** Operation that the model checker interleaves with others. */
  @Operation
  public void add() {
    inFlight.add("r", "owner", SINK);
  }

  /** Operation that the model checker interleaves with others. */
  @Operation
  public boolean remove() {
    return inFlight.remove("r", "owner") != null;
  }

  /** Operation that the model checker interleaves with others. */
  @Operation
  public boolean find() {
    return inFlight.find("r", "owner") != null;
  }

  @Test
  void testInFlight_isLinearizable() {
    new ModelCheckingOptions()
        .iterations(15)
        .invocationsPerIteration(300)
        .threads(2)
        .actorsPerThread(3)
        .check(InFlightRequestsTest.class);
  }

  @Test
  void testFind_onlyForIdAndOwnerOfTheRequest() {
    inFlight.add("r", "owner", SINK);
    assertThat(inFlight.find("r", "other"), is(nullValue()));
    assertThat(inFlight.remove("r", "other"), is(nullValue()));
    assertThat(inFlight.find("x", "owner"), is(nullValue()));
    assertThat(inFlight.remove("r", "owner"), is(sameInstance(SINK)));
    assertThat(inFlight.remove("r", "owner"), is(nullValue()));
  }

  @Test
  void testRemoveAll_onlyRequestsOfTheGivenOwner() {
    inFlight.add("r1", "a", SINK);
    inFlight.add("r2", "b", SINK);
    assertThat(inFlight.removeAll("a").size(), is(1));
    assertThat(inFlight.size(), is(1));
  }
}
