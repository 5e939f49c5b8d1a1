package org.shoreroad.daemon.ops;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;

class OpsCallsTest {
  /**
   * Calls without the parts of a process, since a bad argument is rejected before they are used.
   */
  @SuppressWarnings("NullAway")
  private final OpsCalls calls = new OpsCalls(null, null, null, null, null, null, null, null);

  @Test
  void aVersionThatIsNoNumberIsRejected() {
    for (String version : new String[] {"", "x", "1.5", "99999999999999999999", "1/2"}) {
      ShoreroadException thrown =
          assertThrows(
              ShoreroadException.class,
              () -> calls.call("GET", "in-force/" + version, Map.of(), ""));
      assertThat(thrown.code(), is(ErrorCode.BAD_REQUEST));
      assertThat(thrown.getMessage(), containsString("version"));
    }
  }
}
