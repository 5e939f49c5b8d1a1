package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import org.junit.jupiter.api.Test;

/** Tests the log line of a refused request. */
class RefusalLogTest extends LoopbackRelay {
  private String line() {
    return logged()
        .lines()
        .filter(text -> text.contains("\"request_refused\""))
        .findFirst()
        .orElse("");
  }

  @Test
  void hasThePriorityOfTheRequest() throws Exception {
    assertThat(call("/again/x"), startsWith("HTTP/1.1 503"));
    assertThat(line(), containsString("\"priority\":1,"));
    assertThat(line(), not(containsString("\"why\"")));
  }

  @Test
  void hasNoPriorityWithoutARoute() throws Exception {
    assertThat(call("/unknown"), startsWith("HTTP/1.1 404"));
    assertThat(line(), containsString("\"reason\":\"no_route\""));
    assertThat(line(), not(containsString("\"priority\"")));
  }
}
