package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EventLog;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ReplicaId;

/** Tests the known replica of a box after the store was restored from a copy older than it. */
class OlderCopyTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final String HEAD = "a";
  private static final String NO_REPLICA = "none";

  private long nowNanos = TimeUnit.HOURS.toNanos(1);
  private final EventLog log = new EventLog("t", () -> nowNanos, OutputStream.nullOutputStream());
  private final Fleet fleet = new Fleet(OlderCopyTest::decode, () -> nowNanos, log);

  /** Decodes entries like {@code "OPEN 5"}: the state in the replica and its epoch. */
  private static FleetBox decode(String id, byte[] entry) {
    String[] words = new String(entry, StandardCharsets.UTF_8).split(" ");
    FleetBox box = new FleetBox(id, "s", "h:1", "z", 1, false, "d", null, List.of(), null);
    return words[0].equals(NO_REPLICA)
        ? box
        : box.withEngineState("m", List.of("m"), membership(words[0], Long.parseLong(words[1])));
  }

  private static Membership membership(String state, long epoch) {
    return new Membership(new ReplicaId("r", epoch), 0, MemberState.valueOf(state));
  }

  private void entry(long era, long offset, String state) {
    byte[] bytes = state.getBytes(StandardCharsets.UTF_8);
    fleet.onRecord(new StoreRecord(StorePosition.of(era, offset), HEAD, bytes));
  }

  private void report(MemberState state) {
    fleet.update(fleet.find(HEAD).withEngineState("m", List.of("m"), membership(state.name(), 5)));
  }

  private @Nullable Membership known() {
    return fleet.find(HEAD).membership();
  }

  private void advance(long seconds) {
    nowNanos += seconds * SECOND;
    fleet.reconcile(seconds * SECOND);
  }

  /** Makes the box report an open replica, and then nothing for three seconds. */
  private void openThenPartition() {
    entry(1, 0, NO_REPLICA);
    report(MemberState.OPEN);
    advance(3);
  }

  /** Lists a copy of the store from before the replica. */
  private void listCopy() {
    entry(2, 0, NO_REPLICA);
    fleet.onListed(Set.of(HEAD), StorePosition.of(2, 1));
  }

  @Test
  void copyOlderThanAReplicaDoesNotEndIt() {
    openThenPartition();
    listCopy();
    assertThat(known(), is(membership("OPEN", 5)));
    advance(2);
    assertThat(known(), is(membership("OPEN", 5)));
  }

  @Test
  void replicaKnownFromTheListIsKeptToo() {
    entry(1, 0, NO_REPLICA);
    entry(1, 1, "OPEN 5");
    advance(3);
    listCopy();
    assertThat(known(), is(membership("OPEN", 5)));
  }

  /** Upstreams repeat writes that the copy lacks within seconds; then the list is valid again. */
  @Test
  void entryIsAppliedOnceItMustHaveBeenWrittenAgain() {
    openThenPartition();
    listCopy();
    advance(6);
    assertThat(known(), nullValue());
  }

  @Test
  void reportOfTheBoxIsAppliedAtOnce() {
    openThenPartition();
    entry(2, 0, NO_REPLICA);
    fleet.update(fleet.find(HEAD).withEngineState("m", List.of("m"), null));
    assertThat(known(), nullValue());
  }

  @Test
  void laterFormationInTheListIsAppliedAtOnce() {
    openThenPartition();
    entry(2, 0, "OPEN 7");
    assertThat(known(), is(membership("OPEN", 7)));
  }

  @Test
  void entriesOfTheFirstEraAreAppliedAtOnce() {
    entry(1, 0, "OPEN 5");
    entry(1, 1, NO_REPLICA);
    assertThat(known(), nullValue());
  }
}
