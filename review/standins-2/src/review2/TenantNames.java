package review2;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Clients of two tenants send requests; each must run under the name of its own tenant. */
final class TenantNames {
  private static final int REQUESTS = 10;
  private static final String[] KEYS = {"n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"};
  private static final String[] ASCII_NAMES = {"hule930", "kobo212"};
  private static final String[] BENGALI_NAMES = {"রাজমিস্ত্রি", "কাঠমিস্ত্রি"};

  public static void main(String[] args) throws Exception {
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    String[] names = isTrouble ? BENGALI_NAMES : ASCII_NAMES;
    int exit;
    try (Record record = new Record(Path.of(args[1]));
        Site site = new Site(Path.of(args[0]), record)) {
      exit = run(site, record, names) ? 0 : 1;
    } catch (Exception e) {
      e.printStackTrace();
      exit = 2;
    }
    System.exit(exit);
  }

  private static boolean run(Site site, Record record, String[] names) throws Exception {
    site.startServers(2, 5, 5);
    site.putConfig(
        7,
        "{\"name\":\"" + names[0] + "\",\"api_keys\":[\"" + KEYS[0] + "\"],\"priority\":1},"
            + "{\"name\":\"" + names[1] + "\",\"api_keys\":[\"" + KEYS[1] + "\"],\"priority\":1}");
    Edge edge = site.startEdge("front-1", 0);
    record.write("tenants: " + utf8(names[0]) + " and " + utf8(names[1]));
    Map<String, Integer> tenantOfId = new HashMap<>();
    for (int i = 0; i < REQUESTS; i++) {
      String id = site.nextId();
      tenantOfId.put(id, i % 2);
      String request = Site.head("GET", "/a/" + i, id, "").replace(Site.KEY, KEYS[i % 2]);
      Http.Message answer = Http.call(edge.callers(), request, 3_000);
      record.write("client of tenant " + i % 2 + ": " + id + " "
          + (answer == null ? "has no answer" : answer.firstLine()));
    }
    int foreign = 0;
    Set<String> shown = new TreeSet<>();
    for (Site.Arrival arrival : site.arrivals) {
      String id = arrival.request().field("Shoreroad-Attempt-Id");
      String field = arrival.request().field("Shoreroad-Tenant");
      shown.add(Site.escape(field));
      String name = names[tenantOfId.get(id)];
      // Either way of writing a name into a header would do.
      if (!field.equals(utf8Chars(name)) && !field.equals(name)) {
        foreign++;
        record.write(id + " of tenant " + utf8(name) + " ran as that of " + Site.escape(field));
      }
    }
    record.write(site.arrivals.size() + " requests ran, " + foreign
        + " under a name that is not their tenant's; names seen by the servers: " + shown);
    record.write(foreign > 0 ? "UNASKED is broken" : "UNASKED is kept");
    return foreign == 0 && !site.arrivals.isEmpty();
  }

  private static String utf8Chars(String name) {
    return new String(name.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  private static String utf8(String name) {
    return Site.escape(utf8Chars(name));
  }
}
