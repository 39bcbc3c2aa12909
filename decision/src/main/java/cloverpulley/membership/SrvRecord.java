package cloverpulley.membership;

import java.util.Comparator;

/**
 * An SRV record (RFC 2782).
 *
 * @param priority lower values are preferred
 * @param weight relative weight among records of the same priority; 0 if there is no choice to make
 * @param target the host name, in lower case
 */
public record SrvRecord(int priority, int weight, String target, int port) {

  /** Orders the SRV records of one instance, best first; total, so that all readers select the same one. */
  static final Comparator<SrvRecord> PREFERENCE_ORDER = Comparator.comparingInt(SrvRecord::priority).thenComparingInt(s -> -s.weight)
      .thenComparing(SrvRecord::target).thenComparingInt(SrvRecord::port);
}
