package org.shoreroad.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class AnnouncementTest {
  @Test
  void parseReadsWhatToBytesWrites() {
    Announcement announcement = new Announcement("10.0.0.1:7340", "zone 2");
    assertThat(Announcement.parse(announcement.toBytes()), is(announcement));
  }

  @Test
  void missingZoneIsEmpty() {
    byte[] bytes = "10.0.0.1:7340".getBytes(StandardCharsets.UTF_8);
    assertThat(Announcement.parse(bytes), is(new Announcement("10.0.0.1:7340", "")));
  }

  /** An invalid address would end each round of heartbeats with an exception. */
  @Test
  void invalidBytesAreRejected() {
    String longZone = "10.0.0.1:1 " + "z".repeat(250_000);
    for (String text : List.of("", "h:1 z", "10.0.0.1:x z", "{}", "\u0000", longZone)) {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      assertThrows(IllegalArgumentException.class, () -> Announcement.parse(bytes));
    }
  }
}
