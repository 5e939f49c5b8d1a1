package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EventLog;
import org.shoreroad.fleet.FleetBox;

class EntryReaderTest {
  private static final int ENTRIES = 25;
  private static final int LONG_TEXT = 250_000;

  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private final EventLog log = new EventLog("t", () -> 0, written);
  private final List<EntryFault> faults = new ArrayList<>();
  private final EntryReader reader = new EntryReader(EntryReaderTest::decode, log);

  /** Decodes an entry that consists of the name of the service. */
  private static FleetBox decode(String id, byte[] entry) {
    String service = new String(entry, StandardCharsets.UTF_8);
    return new FleetBox(id, service, "10.0.0.1:80", "z", 1, false, null, null, List.of(), null);
  }

  private static byte[] entryOf(String service) {
    return service.getBytes(StandardCharsets.UTF_8);
  }

  private String log() {
    log.flush();
    return written.toString(StandardCharsets.UTF_8);
  }

  /** Guards against a log that grows by the size of entries that other writers have written. */
  @Test
  void longTextsOfUnusableEntriesAreNotLoggedWhole() {
    reader.setServiceCheck("s"::equals);
    reader.setFaultListener(faults::add);
    for (int i = 0; i < ENTRIES; i++) {
      assertThat(
          reader.read("odd-" + i, entryOf(i + "x".repeat(LONG_TEXT))).isPresent(), is(false));
    }
    assertThat(faults.size(), is(ENTRIES));
    assertThat(log().lines().count(), is((long) ENTRIES));
    assertThat(log().length(), is(lessThan(ENTRIES * 1_000)));
  }

  @Test
  void faultIsLoggedOncePerReason() {
    reader.setServiceCheck("s"::equals);
    for (int i = 0; i < 3; i++) {
      reader.read("odd", entryOf("other"));
    }
    assertThat(log().lines().count(), is(1L));
    assertThat(reader.read("odd", entryOf("s")).isPresent(), is(true));
    reader.read("odd", entryOf("other"));
    assertThat(log().lines().count(), is(2L));
  }

  @Test
  void messageContainsTheStartOfALongText() {
    UnusableEntryException e =
        new UnusableEntryException(EntryFault.UNKNOWN_STATE, "x".repeat(LONG_TEXT));
    assertThat(e.getMessage(), is("unknown_state: " + "x".repeat(200)));
  }
}
