package cloverpulley.quota.service;

import cloverpulley.config.Section;
import cloverpulley.quota.Leases;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * How instances share the quotas of one installation: {@code [quota.leases]}.
 *
 * @param instance unique name of this instance
 * @param coordinators addresses of the coordinators; the first that responds is used, so all instances need the same order
 * @param listen address on which this instance is a coordinator; null where it is none
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
    Section section = quota.table("leases");
    String instance = section.string("instance");
    if (!instance.matches("[!-~]{1,64}")) {
      section.reportError("instance", "expected 1 to 64 printable characters without spaces");
    }
    List<InetSocketAddress> coordinators = new ArrayList<>();
    for (String text : section.strings("coordinators", List.of())) {
      InetSocketAddress address = Section.address(text);
      if (address == null || !address.getAddress().isLoopbackAddress()) {
        section.reportError("coordinators", "expected numeric loopback addresses with a port, got \"" + text + "\"");
      } else {
        coordinators.add(address);
      }
    }
    if (coordinators.isEmpty()) {
      section.reportError("coordinators", "expected at least one");
    }
    InetSocketAddress listen = section.has("listen") ? section.address("listen", null) : null;
    if (listen != null && !listen.getAddress().isLoopbackAddress()) {
      section.reportError("listen", "expected a loopback address: leases are not authenticated");
    }
    long validMillis = section.integer("valid_ms", 10, 600_000, 10_000);
    long fallMillis = section.integer("fall_ms", 0, 600_000, 10_000);
    long reclaimMillis = section.integer("reclaim_ms", 0, DAY_MS, 0);
    if (reclaimMillis > 0 && reclaimMillis < validMillis + fallMillis) {
      section.reportError("reclaim_ms", "expected 0 or at least the sum of valid_ms and fall_ms, got " + reclaimMillis);
      reclaimMillis = 0;
    }
    long reportMillis = section.integer("report_ms", 5, 60_000, 1000);
    if (reportMillis * 3 > validMillis) {
      section.reportError("report_ms", "expected at most a third of valid_ms, got " + reportMillis);
    }
    return new LeaseConfig(instance, new Leases.Terms((int) section.integer("instances", 1, 10_000), validMillis * 1_000_000, fallMillis * 1_000_000,
        reclaimMillis * 1_000_000), coordinators, listen, reportMillis);
  }
}
