package cloverpulley.membership;

import java.util.List;
import java.util.Map;
import java.util.Set;

/** An answer, a push or a failure of a resolver, or the result of a connection probe. Names are in lower case, with a trailing dot. */
public sealed interface Observation {

  /** Index of the resolver, from 0. */
  int resolver();

  /**
   * All instances of a service in a domain: the answer to a browse (RFC 6763, 4.1).
   *
   * @param domain the name that was browsed
   * @param names empty for a NODATA or NXDOMAIN answer
   * @param serial the zone's serial as the resolver reported it (RFC 1982); -1 if it reported none
   */
  record Browsed(int resolver, String domain, Set<String> names, long serial, long ttlMillis) implements Observation {}

  /** The serial of the zone that a resolver answers from, until it reports another; answers from an older zone are ignored. */
  record ZoneSerial(int resolver, String domain, long serial) implements Observation {}

  /** The SRV records of an instance; empty if it has none. */
  record ServiceRecords(int resolver, String instance, List<SrvRecord> records) implements Observation {}

  /** The key/value pairs of an instance's TXT record; empty if it has none. */
  record TextRecord(int resolver, String instance, Map<String, String> pairs) implements Observation {}

  /** The numeric addresses of a target, of one address family; empty if it has none. */
  record Addresses(int resolver, String target, boolean ipv6, List<String> addresses) implements Observation {}

  /**
   * A DNS push notification (RFC 8765) that one instance was added to a domain's list or removed from it. It counts as much as an
   * answer with that change alone.
   *
   * @param added false if it was removed
   */
  record Pushed(int resolver, String domain, String instance, boolean added) implements Observation {}

  /** A browse of this domain got no answer, or an unusable one. */
  record BrowseFailed(int resolver, String domain) implements Observation {}

  /** The zone has not changed since it was last browsed: confirms that answer and extends its TTL. */
  record Unchanged(int resolver, String domain, long ttlMillis) implements Observation {}

  /**
   * A connection to an instance was refused, or established.
   *
   * @param resolver always -1
   * @param up whether it was established
   */
  record ConnectionProbe(int resolver, String instance, boolean up) implements Observation {
    public ConnectionProbe(String instance, boolean up) {
      this(-1, instance, up);
    }
  }
}
