package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import java.io.OutputStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against requests that end upstream after upstream, in whatever way these end. */
@Timeout(60)
class EndingUpstreamTest {
  private static final int ALLOWED_ENDS = 3;
  private static final int MAX_LATE_ARRIVALS = 3;
  private static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final int UPSTREAMS = 8;
  private static final int PLAY_MS = 9_000;
  private static final int CALL_GAP_MS = 100;
  private static final String UNFRAMED_HEAD =
      "HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Seal: s\r\n\r\n";

  /** How an upstream ends under a request. */
  private enum Way {
    BEFORE_THE_HEAD("i-", "/again") {
      @Override
      boolean answer(EndingSite site, String id, String request, OutputStream out)
          throws Exception {
        site.end(id);
        return false;
      }
    },
    AFTER_BYTES_THAT_ARE_NO_ANSWER("i-", "/again") {
      @Override
      boolean answer(EndingSite site, String id, String request, OutputStream out)
          throws Exception {
        LoopbackRelay.write(out, "\u0000no answer\r\n\r\n");
        site.endAfter(30, id);
        return true;
      }
    },
    AFTER_A_HEAD_WITHOUT_SEAL("i-", "/again") {
      @Override
      boolean answer(EndingSite site, String id, String request, OutputStream out)
          throws Exception {
        LoopbackRelay.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
        site.endAfter(30, id);
        return true;
      }
    },
    AFTER_THE_DEADLINE("i-", "/again") {
      @Override
      boolean answer(EndingSite site, String id, String request, OutputStream out) {
        site.endAfter(1_300, id);
        return true;
      }
    },
    AFTER_A_SERVER_ERROR("i-", "/again") {
      @Override
      boolean answer(EndingSite site, String id, String request, OutputStream out)
          throws Exception {
        LoopbackRelay.write(
            out,
            "HTTP/1.1 500 No\r\nX-Attempt: "
                + FakeUpstream.header(request, "X-Attempt")
                + "\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n");
        site.endAfter(30, id);
        return true;
      }
    },
    AFTER_AN_EVENT_OF_AN_ANSWER_WITHOUT_LENGTH(LoopbackRelay.HEAD_PREFIX, "/llm") {
      @Override
      boolean answer(EndingSite site, String id, String request, OutputStream out)
          throws Exception {
        String head = UNFRAMED_HEAD.formatted(FakeUpstream.header(request, "X-Attempt"));
        LoopbackRelay.write(out, head + LoopbackRelay.FIRST_EVENT);
        site.endAfter(20, id);
        return false;
      }
    };

    private final String prefix;
    private final String path;

    Way(String prefix, String path) {
      this.prefix = prefix;
      this.path = path;
    }

    abstract boolean answer(EndingSite site, String id, String request, OutputStream out)
        throws Exception;
  }

  private static void play(EndingSite site, String path) throws Exception {
    site.sendSound("/again/sound");
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PLAY_MS);
    while (System.nanoTime() - endNanos < 0) {
      site.call(path + EndingSite.ENDING);
      Thread.sleep(CALL_GAP_MS);
    }
  }

  @ParameterizedTest
  @EnumSource(Way.class)
  void requestIsRefusedAfterThreeUpstreamsHaveEndedUnderIt(Way way) throws Exception {
    try (EndingSite site = new EndingSite(way.prefix, UPSTREAMS, way::answer)) {
      play(site, way.path);
      assertThat("ends", site.endNanos().size(), greaterThanOrEqualTo(ALLOWED_ENDS));
      long lateNanos = site.endNanos().get(ALLOWED_ENDS - 1) + CONTACT_NANOS;
      assertThat(
          "late", site.arrivalsAfter(lateNanos), lessThanOrEqualTo((long) MAX_LATE_ARRIVALS));
      assertThat(site.call(way.path + EndingSite.ENDING), startsWith("HTTP/1.1 503"));
    }
  }

  /** While all upstreams are down, no process can tell their end from the loss of its path. */
  @Test
  void requestIsRefusedAfterItHasEndedAllUpstreamsOfItsService() throws Exception {
    try (EndingSite site = new EndingSite("i-", ALLOWED_ENDS, Way.BEFORE_THE_HEAD::answer)) {
      play(site, "/again");
      assertThat("ends", site.endNanos().size(), lessThanOrEqualTo(ALLOWED_ENDS));
    }
  }

  /** Upstreams that only lose single connections have not crashed. */
  @Test
  void requestWhoseConnectionsWereResetAtSoundUpstreamsIsServed() throws Exception {
    AtomicInteger resets = new AtomicInteger();
    EndingSite.Ending resetting =
        (site, id, request, out) -> {
          if (resets.incrementAndGet() > 2 * ALLOWED_ENDS) {
            LoopbackRelay.write(out, LoopbackRelay.wholeAnswer(request, "served"));
            return true;
          }
          LoopbackRelay.write(
              out,
              UNFRAMED_HEAD
                      .formatted(FakeUpstream.header(request, "X-Attempt"))
                      .replace("\r\n\r\n", "\r\nContent-Length: 9\r\n\r\n")
                  + "half");
          return false;
        };
    try (EndingSite site = new EndingSite("i-", UPSTREAMS, resetting)) {
      String answer = "";
      for (int i = 0; i < 2 * ALLOWED_ENDS && !answer.endsWith("served"); i++) {
        answer = site.call("/again" + EndingSite.ENDING);
        Thread.sleep(CALL_GAP_MS);
      }
      assertThat(answer, startsWith("HTTP/1.1 200"));
    }
  }
}
