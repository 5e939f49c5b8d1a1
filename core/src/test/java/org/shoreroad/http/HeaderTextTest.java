package org.shoreroad.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HeaderTextTest {
  private static final int TEXTS = 20_000;
  private static final int MAX_CODE_POINT_COUNT = 4;
  private static final int[] FIRST_CODE_POINTS = {' ', 0x80, 0xc0, 0x400, 0x980, 0xe000, 0x1f300};

  private static String randomText(SplittableRandom random) {
    StringBuilder text = new StringBuilder();
    int length = random.nextInt(1, MAX_CODE_POINT_COUNT + 1);
    for (int i = 0; i < length; i++) {
      int first = FIRST_CODE_POINTS[random.nextInt(FIRST_CODE_POINTS.length)];
      text.appendCodePoint(first + random.nextInt(0x40));
    }
    return text.toString();
  }

  /** Guards against two texts that give the same bytes, as with an encoding chosen by text. */
  @Test
  void differentTextsHaveDifferentValuesThatDecodeToThem() {
    SplittableRandom random = new SplittableRandom(78);
    Map<String, String> textByValue = new HashMap<>();
    for (int i = 0; i < TEXTS; i++) {
      String text = randomText(random);
      String value = HeaderText.encode(text);
      assertThat(text, value.chars().allMatch(c -> c <= 0xff), is(true));
      assertThat(text, HeaderText.decode(value), is(text));
      String other = textByValue.put(value, text);
      assertThat(text, other == null || other.equals(text), is(true));
    }
  }

  @Test
  void valueHasTheBytesOfUtf8() {
    String text = "কাঠ";
    assertThat(
        HeaderText.encode(text).getBytes(StandardCharsets.ISO_8859_1),
        is(text.getBytes(StandardCharsets.UTF_8)));
    assertThat(HeaderText.encode("hule930"), is("hule930"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"caf\u00e9", "\u00c0\u0080", "\u00ed\u00a0\u0080", "\u00e0\u00a6", "\u0080"})
  void bytesThatAreNotUtf8HaveNoText(String value) {
    assertThat(HeaderText.decode(value), is(nullValue()));
  }

  @ParameterizedTest
  @ValueSource(strings = {"a", "a b", "a\tb", "é", "\u00a0", "東京", "🏢", "\u0085", "\u2028"})
  void visibleTextsAreCarried(String text) {
    assertThat(HeaderText.findFault(text), is(nullValue()));
  }

  @Test
  void textsThatNoFieldCarriesHaveTheirFault() {
    Map<String, HeaderTextFault> faults = new HashMap<>();
    faults.put("", HeaderTextFault.EMPTY);
    faults.put("a\r\nX: b", HeaderTextFault.CONTROL_CHARACTER);
    faults.put("a\u0000", HeaderTextFault.CONTROL_CHARACTER);
    faults.put("\u007f", HeaderTextFault.CONTROL_CHARACTER);
    faults.put("\u001b[0m", HeaderTextFault.CONTROL_CHARACTER);
    faults.put(" a", HeaderTextFault.OUTER_BLANK);
    faults.put("a\t", HeaderTextFault.OUTER_BLANK);
    faults.put(" ", HeaderTextFault.OUTER_BLANK);
    faults.put("a\ud800", HeaderTextFault.UNPAIRED_SURROGATE);
    faults.put("\udc00\ud800", HeaderTextFault.UNPAIRED_SURROGATE);
    faults.forEach((text, fault) -> assertThat(text, HeaderText.findFault(text), is(fault)));
  }
}
