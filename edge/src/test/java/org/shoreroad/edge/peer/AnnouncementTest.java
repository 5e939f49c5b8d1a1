package org.shoreroad.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class AnnouncementTest {
  @Test
  void whatIsWrittenIsRead() {
    Announcement announcement = new Announcement("10.0.0.1:7340", "zone 2");
    assertThat(Announcement.parse(announcement.toBytes()), is(announcement));
  }

  @Test
  void withoutAZoneItIsTheEmptyOne() {
    byte[] bytes = "10.0.0.1:7340".getBytes(StandardCharsets.UTF_8);
    assertThat(Announcement.parse(bytes), is(new Announcement("10.0.0.1:7340", "")));
  }
}
