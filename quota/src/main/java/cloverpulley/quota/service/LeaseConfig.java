package cloverpulley.quota.service;

import cloverpulley.config.Section;
import cloverpulley.quota.Leases;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * How several instances share one installation's quotas: {@code [quota.leases]}.
 *
 * @param instance this one's name, unlike that of any other
 * @param coordinators whom to ask, the first that answers; the same order on all
 * @param listen where this one answers as a coordinator; null where it does not
 */
public record LeaseConfig(String instance, Leases.Terms terms, List<InetSocketAddress> coordinators, InetSocketAddress listen,
    long reportMillis) {

  private static final long DAY_MS = 86_400_000;

  /** Reads the section; null where it is missing. */
  static LeaseConfig read(Section quota) {
    if (!quota.has("leases")) {
      quota.table("leases");
      return null;
    }
    Section s = quota.table("leases");
    String instance = s.text("instance");
    if (!instance.matches("[!-~]{1,64}")) {
      s.wrong("instance", "expected 1 to 64 printable characters without a blank");
    }
    List<InetSocketAddress> coordinators = new ArrayList<>();
    for (String text : s.texts("coordinators", List.of())) {
      InetSocketAddress a = Section.address(text);
      if (a == null || !a.getAddress().isLoopbackAddress()) {
        s.wrong("coordinators", "expected loopback addresses in figures with a port, got \"" + text + "\"");
      } else {
        coordinators.add(a);
      }
    }
    if (coordinators.isEmpty()) {
      s.wrong("coordinators", "expected at least one");
    }
    InetSocketAddress listen = s.has("listen") ? s.address("listen", null) : null;
    if (listen != null && !listen.getAddress().isLoopbackAddress()) {
      s.wrong("listen", "expected a loopback address: leases are not signed");
    }
    long valid = s.whole("valid_ms", 10, 600_000, 10_000);
    long fall = s.whole("fall_ms", 0, 600_000, 10_000);
    long reclaim = s.whole("reclaim_ms", 0, DAY_MS, 0);
    if (reclaim > 0 && reclaim < valid + fall) {
      s.wrong("reclaim_ms", "expected 0, or no less than valid_ms and fall_ms together, got " + reclaim);
      reclaim = 0;
    }
    long report = s.whole("report_ms", 5, 60_000, 1000);
    if (report * 3 > valid) {
      s.wrong("report_ms", "expected no more than a third of valid_ms, got " + report);
    }
    return new LeaseConfig(instance, new Leases.Terms((int) s.whole("instances", 1, 10_000), valid * 1_000_000, fall * 1_000_000,
        reclaim * 1_000_000), coordinators, listen, report);
  }
}
