package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class UnlistedUpstreamsTest {
  private static final long TWO_MINUTES = TimeUnit.MINUTES.toNanos(2);

  private final UnlistedUpstreams unlisted = new UnlistedUpstreams();

  @Test
  void missingUpstreamBecomesFinalOnce() {
    unlisted.add("i-1", 7);
    assertThat(unlisted.contains("i-1"), is(true));
    assertThat(unlisted.isFinal("i-1"), is(false));
    assertThat(unlisted.makeFinal("i-1"), is(true));
    assertThat(unlisted.makeFinal("i-1"), is(false));
    assertThat(unlisted.isFinal("i-1"), is(true));
  }

  @Test
  void listedUpstreamHasNoAbsence() {
    assertThat(unlisted.makeFinal("i-1"), is(false));
    assertThat(unlisted.remove("i-1"), is(false));
    assertThat(unlisted.isOutdated("i-1", Long.MAX_VALUE), is(false));
  }

  @Test
  void firstRemovalTimeIsKept() {
    unlisted.add("i-1", 7);
    unlisted.add("i-1", 9);
    assertThat(unlisted.isOutdated("i-1", 7 + TWO_MINUTES), is(false));
    assertThat(unlisted.isOutdated("i-1", 8 + TWO_MINUTES), is(true));
  }

  @Test
  void relistedUpstreamStartsWithoutAnAbsence() {
    unlisted.addFinal("i-1", 7);
    assertThat(unlisted.remove("i-1"), is(true));
    unlisted.add("i-1", 9);
    assertThat(unlisted.isFinal("i-1"), is(false));
  }

  @Test
  void absenceCanBeCopied() {
    unlisted.addFinal("i-1", 7);
    unlisted.put("i-2", unlisted.find("i-1"));
    unlisted.put("i-3", unlisted.find("i-9"));
    assertThat(unlisted.isFinal("i-2"), is(true));
    assertThat(unlisted.contains("i-3"), is(false));
  }
}
