package org.shoreroad.it;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.net.URI;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A process that is cut off stops in time, and one that is only cut from the log goes on. */
class PartitionTest {
  private Site site;
  private CutProxy logProxy;
  private List<CutProxy> peerProxies;

  @BeforeEach
  void startSite() {
    site = Site.start(0, 1, 4, false);
    logProxy = CutProxy.start(URI.create(site.log.url()).getPort());
    peerProxies = List.of(CutProxy.start(0), CutProxy.start(0), CutProxy.start(0));
    for (int i = 0; i < 3; i++) {
      int port = freePort();
      peerProxies.get(i).setTargetPort(port);
      String logUrl = i == 2 ? "http://127.0.0.1:" + logProxy.port() : site.log.url();
      site.addDaemonWith("q" + i, port, "127.0.0.1:" + peerProxies.get(i).port(), logUrl);
    }
    site.await("all ready", () -> site.opsUrls.stream().allMatch(site::isReady));
    site.configure(1);
    site.awaitServing(1);
    site.await("the third knows it", () -> site.metric(2, "shoreroad_control_config_version") > 0);
  }

  private static int freePort() {
    try (java.net.ServerSocket socket = new java.net.ServerSocket(0)) {
      return socket.getLocalPort();
    } catch (java.io.IOException e) {
      throw new AssertionError(e);
    }
  }

  @AfterEach
  void stopSite() {
    site.close();
    logProxy.close();
    peerProxies.forEach(CutProxy::close);
  }

  private Site.Answer chat(int daemon) {
    return site.chat(daemon, "lookup", "", Site.body("p", 2, false));
  }

  /** Cuts the third process off from log and peers; the others keep the log, which is enough. */
  private void cutOffThird(boolean cut) {
    logProxy.setCut(cut);
    peerProxies.forEach(proxy -> proxy.setCut(cut));
  }

  @Test
  void testCutOff_stopsServingAndNeverServesAnOldConfiguration() {
    cutOffThird(true);
    site.await("it refuses", () -> chat(2).code().equals("out_of_contact"));
    assertThat(chat(2).verdict(), is("not_run"));
    assertThat(chat(2).headers().containsKey("retry-after"), is(true));
    assertThat(site.isReady(site.opsUrls.get(2)), is(false));
    double before = site.metric(2, "shoreroad_control_config_version");
    String changed = site.yaml(1, (long) before).replace("max_queued: 512", "max_queued: 9");
    assertThat(site.ops(0, "POST", "config", changed).status(), is(200));
    for (int i = 0; i < 20; i++) {
      assertThat(chat(2).code(), is("out_of_contact"));
    }
    cutOffThird(false);
    site.await("it serves again", () -> chat(2).status() == 200);
    assertThat(site.metric(2, "shoreroad_control_config_version"), greaterThan(before));
  }

  @Test
  void testCutFromTheLogAlone_goesOnAndCatchesUpFromPeers() {
    logProxy.setCut(true);
    site.await("noticed", () -> site.metric(2, "shoreroad_control_log_reachable") == 0);
    double before = site.metric(2, "shoreroad_control_config_version");
    String changed = site.yaml(1, (long) before).replace("max_queued: 512", "max_queued: 9");
    assertThat(site.ops(0, "POST", "config", changed).status(), is(200));
    site.await(
        "the change reaches it through its peers",
        () -> site.metric(2, "shoreroad_control_config_version") > before);
    site.await("it serves", () -> chat(2).status() == 200);
    assertThat(
        site.metric(2, "shoreroad_control_catchups_total{source=\"peer\"}"), greaterThan(0.0));
  }
}
