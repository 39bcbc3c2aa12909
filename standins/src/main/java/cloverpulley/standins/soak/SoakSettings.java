package cloverpulley.standins.soak;

import java.util.List;
import java.util.stream.Collectors;

/** The configuration of a balancer in the soak test. */
final class SoakSettings {

  /** Deduplication window: how long an upstream drops repeats of a keyed request. */
  static final long WINDOW_MILLIS = 2000;
  /** How long new requests may still go to an upstream after the notification that it drains. */
  static final long GRACE_MILLIS = 2000;

  private SoakSettings() {}

  /** Returns the configuration as JSON. Endpoint lists are pushed with odd seeds and requested with even ones. */
  static String text(Soak.Plan plan, SoakNode node, int discoveryPort, long maxDeadlineMillis, List<SoakServer> servers, int number) {
    String members = servers.stream()
        .map(s -> "{\"id\":\"" + s.id + "\",\"host_port\":\"" + s.address() + "\",\"locality\":\"a\",\"cell\":0,\"phase\":\"ready\",\"size\":1.0,\"up_since_ms\":0}")
        .collect(Collectors.joining(","));
    String categories = category("lookup", "idempotent", maxDeadlineMillis) + "," + category("issue", "deduplicated", maxDeadlineMillis) + ","
        + category("order", "at_most_once", maxDeadlineMillis);
    return "{\"name\":\"n" + number + "\",\"listen\":\"127.0.0.1:" + node.port + "\",\"discovery\":\"127.0.0.1:" + discoveryPort + "\","
        + "\"seed\":\"" + Long.toHexString(plan.seed() & 0xffffff) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + plan.memoryMb()
        + ",\"sockets\":1024},\"known\":{\"revision\":1,\"complete\":true,\"members\":[" + members + "]},\"settings\":{\"me\":" + number
        + ",\"group-size\":" + plan.nodes() + ",\"zone\":\"a\",\"registry-mode\":\"" + (plan.seed() % 2 == 0 ? "on_request" : "pushed")
        + "\",\"categories\":[" + categories + "],\"limits\":{\"cancel\":true,\"probing\":true,\"peers\":false,\"second-copies\":true,"
        + "\"retry-after\":true,\"max-retry-after-ns\":2000000000,\"max-attempts\":4,\"connect-timeout-ns\":200000000,\"conn-idle-ns\":5000000000},"
        + "\"contract\":{\"answer-slack-ns\":8000000,\"ask-within-ns\":10000000000,\"cold-from\":0.32,\"drain-grace-ns\":" + GRACE_MILLIS
        + "000000,\"fall-multiple\":3.0,\"overload-for-ns\":3000000000,\"warm-within-ns\":8500000000},\"report\":{\"how\":\"none\"}}}";
  }

  private static String category(String name, String effect, long deadlineMillis) {
    return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"dedup-scope\":\"cell\",\"window-ns\":" + WINDOW_MILLIS
        + "000000,\"aim-ns\":" + deadlineMillis / 4 + "000000,\"deadline-ns\":" + deadlineMillis + "000000}";
  }
}
