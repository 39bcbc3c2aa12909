package cloverpulley.membership;

import java.util.List;
import java.util.Map;
import java.util.Set;

/** What a resolver has said, or that it has not. Names are in lower case with a dot at their end. */
public sealed interface Observation {

  /** Which of the resolvers, from 0. */
  int resolver();

  /**
   * The instances of a service in a domain, all of them: the answer to a browse (RFC 6763, 4.1).
   *
   * @param domain the name that was browsed
   * @param names none for an answer that says that there are none, or no such name
   * @param serial of the zone, as the resolver gave it (RFC 1982); -1 where it gave none
   */
  record Browsed(int resolver, String domain, Set<String> names, long serial, long ttlMillis) implements Observation {}

  /** The serial of the zone that a resolver answers from, until it says another; what it says from an older one is no news. */
  record ZoneSerial(int resolver, String domain, long serial) implements Observation {}

  /** The service records of an instance; none where it has none. */
  record ServiceRecords(int resolver, String instance, List<SrvRecord> records) implements Observation {}

  /** The text record of an instance; empty where it has none. */
  record TextRecord(int resolver, String instance, Map<String, String> pairs) implements Observation {}

  /** Addresses of a target, in figures, of one family; none where it has none. */
  record Addresses(int resolver, String target, boolean ipv6, List<String> addresses) implements Observation {}

  /**
   * A push (RFC 8765): one instance came to a domain's list, or left it. Worth as much as an answer that says only that.
   *
   * @param added whether it came
   */
  record Pushed(int resolver, String domain, String instance, boolean added) implements Observation {}

  /** No answer came to a browse of this domain, or one that is none. */
  record BrowseFailed(int resolver, String domain) implements Observation {}

  /** The zone is as it was when it was last browsed: what was said then is said again. */
  record Unchanged(int resolver, String domain, long ttlMillis) implements Observation {}

  /**
   * A connection to an instance was refused, or came up.
   *
   * @param resolver none, -1
   */
  record ConnectionProbe(int resolver, String instance, boolean up) implements Observation {
    public ConnectionProbe(String instance, boolean up) {
      this(-1, instance, up);
    }
  }
}
