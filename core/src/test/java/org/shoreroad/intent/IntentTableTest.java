package org.shoreroad.intent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Tests that all readers find the same winning intent for a key, and that another intent can win
 * only after the first one is withdrawn.
 */
class IntentTableTest {
  private static IntentRecord record(IntentRecord.Type type, String intent, String key) {
    return new IntentRecord(type, intent, key);
  }

  @Property(tries = 300, seed = "7")
  void testApply_oneWinnerBetweenWithdrawals(@ForAll long seed) {
    Random random = new Random(seed);
    List<IntentRecord> records = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      IntentRecord.Type type = IntentRecord.Type.values()[random.nextInt(3)];
      int key = random.nextInt(5);
      records.add(record(type, "i" + random.nextInt(12) + "-" + key, "k" + key));
    }
    IntentTable early = new IntentTable();
    IntentTable late = new IntentTable();
    Map<String, Set<String>> winners = new HashMap<>();
    for (int i = 0; i < records.size(); i++) {
      IntentRecord record = records.get(i);
      KeyState before = early.find(record.keyHash()).orElse(null);
      early.apply(i + 1, record);
      KeyState after = early.find(record.keyHash()).orElse(null);
      boolean isNewWinner =
          after != null && (before == null || !after.intentId().equals(before.intentId()));
      if (isNewWinner) {
        assertThat(before == null || before.status() == KeyState.Status.WITHDRAWN, is(true));
        winners.computeIfAbsent(record.keyHash(), k -> new HashSet<>()).add(after.intentId());
      }
    }
    for (int i = 0; i < records.size(); i++) {
      late.apply(i + 1, records.get(i));
      late.apply(i + 1, records.get(random.nextInt(records.size())));
    }
    for (String key : winners.keySet()) {
      assertThat(late.find(key), is(early.find(key)));
    }
  }

  @Test
  void testApply_noIntentWinsAfterFinished() {
    IntentTable table = new IntentTable();
    table.apply(1, record(IntentRecord.Type.STARTING, "a", "k"));
    table.apply(2, record(IntentRecord.Type.FINISHED, "a", "k"));
    table.apply(3, record(IntentRecord.Type.WITHDRAWN, "a", "k"));
    table.apply(4, record(IntentRecord.Type.STARTING, "b", "k"));
    assertThat(table.find("k").orElseThrow().intentId(), is("a"));
    assertThat(table.find("k").orElseThrow().status(), is(KeyState.Status.FINISHED));
  }

  @Test
  void testRemoveBefore_removesOnlyExpiredKeys() {
    IntentTable table = new IntentTable();
    table.apply(1, record(IntentRecord.Type.STARTING, "a", "k1"));
    table.apply(2, record(IntentRecord.Type.STARTING, "b", "k2"));
    table.removeBefore(2);
    assertThat(table.find("k1").isPresent(), is(false));
    assertThat(table.find("k2").isPresent(), is(true));
  }

  @Test
  void testCodec_recordRoundTrips() {
    IntentRecord record = record(IntentRecord.Type.WITHDRAWN, "i", "k");
    assertThat(IntentRecord.fromBytes(record.toBytes()), is(record));
    assertThrows(IllegalArgumentException.class, () -> IntentRecord.fromBytes(new byte[] {77}));
  }

  @Test
  void testRequestKey_checksCreationTimeAgainstWindow() {
    long now = 1_790_000_000_000L;
    RequestKey key = RequestKey.of("a", now, UUID.randomUUID());
    assertThat(key.createdAtMs(), is(now));
    assertThat(key.key().version(), is(7));
    assertThat(RequestKey.parse("a", key.key().toString()), is(key));
    assertThat(key.findWindowExcess(now + 1_000, 1_000).isPresent(), is(false));
    assertThat(key.findWindowExcess(now + 1_001, 1_000).getAsLong(), is(1L));
    assertThat(
        key.findWindowExcess(now - RequestKey.MAX_AHEAD_MS - 1, 1_000).isPresent(), is(true));
    assertThrows(
        IllegalArgumentException.class, () -> RequestKey.parse("a", UUID.randomUUID().toString()));
  }

  @Test
  void testRequestKey_accountsHaveDifferentHashes() {
    UUID key = RequestKey.of("a", 1, UUID.randomUUID()).key();
    boolean isSame = new RequestKey("a", key).toHash().equals(new RequestKey("b", key).toHash());
    assertThat(isSame, is(false));
  }
}
