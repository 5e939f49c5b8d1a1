package org.shoreroad.it;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** The path from a caller to a whole replica and back, and every refusal on the way. */
class WholePathTest {
  private static Site site;

  @BeforeAll
  static void startSite() {
    site = Site.start(3, 1, 5, false);
    site.configure(1);
    site.awaitServing(1);
  }

  @AfterAll
  static void stopSite() {
    site.close();
  }

  @Test
  void testChat_plainFromEveryDaemon() {
    for (int i = 0; i < 3; i++) {
      Site.Answer answer = site.chat(i, "lookup", "", Site.body("plain" + i, 3, false));
      assertThat(answer.toString(), answer.status(), is(200));
      assertThat(answer.body(), containsString("plain" + i + ".0 plain" + i + ".1"));
      assertThat(answer.body(), containsString("\"model\":\"m\""));
      assertThat(answer.headers().get("x-request-id"), notNullValue());
    }
  }

  @Test
  void testChat_streamEndsWithDone() {
    for (int i = 0; i < 3; i++) {
      Site.Answer answer = site.chat(i, "lookup", "", Site.body("stream" + i, 20, true));
      assertThat(answer.toString(), answer.status(), is(200));
      assertThat(answer.body(), containsString("stream" + i + ".19"));
      assertThat(answer.body(), endsWith("data: [DONE]\n\n"));
      assertThat(answer.body(), not(containsString("~")));
    }
  }

  @Test
  void testChat_notRepeatableKindRunsOnce() {
    String key = Site.newKey();
    Site.Answer first = site.chat(0, "bulletin", key, Site.body("once", 3, false));
    Site.Answer second = site.chat(1, "bulletin", key, Site.body("once", 3, false));
    assertThat(first.toString(), first.status(), is(200));
    assertThat(second.toString(), second.status(), is(409));
    // The end is noted in the log after the answer, so "ran" is told a moment later at the latest.
    site.await(
        "the end is noted",
        () -> site.chat(2, "bulletin", key, Site.body("once", 3, false)).verdict().equals("ran"));
    assertThat(
        site.history.events().stream()
            .filter(e -> e.kind().equals("start") && e.requestId().startsWith(idOf(first)))
            .count(),
        is(1L));
  }

  @Test
  void testModels_listed() {
    Site.Answer answer =
        site.call(
            new okhttp3.Request.Builder()
                .url("http://" + Site.text(site.daemons.get(0).callerAddress()) + "/v1/models")
                .header("Authorization", "Bearer " + Site.KEY)
                .build());
    assertThat(answer.body(), containsString("\"id\":\"m\""));
  }

  @Test
  void testService_answered() {
    Site.Answer answer =
        site.call(
            new okhttp3.Request.Builder()
                .url(
                    "http://"
                        + Site.text(site.daemons.get(0).callerAddress())
                        + "/services/plain/x?y=1")
                .header("Authorization", "Bearer " + Site.KEY)
                .header("X-Request-Kind", "lookup")
                .build());
    assertThat(answer.toString(), answer.status(), is(200));
    assertThat(answer.body(), containsString("echo"));
  }

  @Test
  void testRefusals_codedAndNotRun() {
    expect(site.chat(0, "lookup", "", "{\"model\":"), 400, "bad_request");
    expect(site.chat(0, "lookup", "", "{\"model\":\"m\"}"), 400, "bad_request");
    expect(
        site.chat(0, "lookup", "", Site.body("x", 1, false).replace("\"m\"", "\"none\"")),
        404,
        "unknown_model");
    expect(site.chat(0, "nosuch", "", Site.body("x", 1, false)), 400, "unknown_kind");
    expect(site.chat(0, "bulletin", "", Site.body("x", 1, false)), 400, "idempotency_key_required");
    expect(
        site.chat(0, "bulletin", "1234", Site.body("x", 1, false)),
        400,
        "idempotency_key_required");
    expect(
        site.chat(0, "lookup", "", Site.body("x".repeat(5_000_000), 1, false)),
        413,
        "body_too_large");
    okhttp3.Request good = site.chatRequest(0, "lookup", "", Site.body("x", 1, false));
    expect(
        site.call(good.newBuilder().header("Authorization", "Bearer nobody").build()),
        401,
        "unknown_account");
    expect(site.call(good.newBuilder().get().build()), 405, "method_not_allowed");
    expect(
        site.call(good.newBuilder().url(good.url().newBuilder().encodedPath("/x").build()).build()),
        404,
        "not_found");
    assertThat(
        site.metric(0, "shoreroad_refusals_total{code=\"bad_request\",verdict=\"not_run\"}"),
        is(2.0));
  }

  private static String idOf(Site.Answer answer) {
    return String.valueOf(answer.headers().get("x-request-id"));
  }

  private static void expect(Site.Answer answer, int status, String code) {
    assertThat(answer.toString(), answer.status(), is(status));
    assertThat(answer.code(), is(code));
    assertThat(answer.verdict(), is("not_run"));
  }
}
