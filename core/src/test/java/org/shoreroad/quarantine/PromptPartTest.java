package org.shoreroad.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.junit.jupiter.api.Test;

class PromptPartTest {
  private static PromptPart partOf(String model, String id) {
    return PromptPart.allOf("pool", model, List.of(id)).iterator().next();
  }

  @Test
  void equalIdsOfOneModelAreTheSamePart() {
    assertThat(partOf("large", "5c1e"), is(partOf("large", "5c1e")));
    assertThat(partOf("large", "5c1e").hashCode(), is(partOf("large", "5c1e").hashCode()));
    assertThat(partOf("large", "5c1e"), is(not(partOf("small", "5c1e"))));
    assertThat(partOf("large", "5c1e").toString(), is("pool/large/5c1e"));
  }

  @Test
  void longTextsAreShortened() {
    PromptPart part = partOf("m".repeat(9_000), "a".repeat(9_000));
    assertThat(part.toString().length(), is(lessThanOrEqualTo(80)));
    assertThat(part, is(partOf("m".repeat(9_000), "a".repeat(9_000))));
    assertThat(part, is(not(partOf("m".repeat(9_000), "a".repeat(8_999)))));
  }
}
