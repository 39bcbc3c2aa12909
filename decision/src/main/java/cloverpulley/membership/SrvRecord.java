package cloverpulley.membership;

import java.util.Comparator;

/**
 * A service record (RFC 2782).
 *
 * @param priority lower values are preferred
 * @param weight part among those of the same priority; 0 where there is nothing to choose
 * @param target in lower case
 */
public record SrvRecord(int priority, int weight, String target, int port) {

  /** Orders the SRV records of one instance, best first; total, so that all readers select the same one. */
  static final Comparator<SrvRecord> PREFERENCE_ORDER = Comparator.comparingInt(SrvRecord::priority).thenComparingInt(s -> -s.weight)
      .thenComparing(SrvRecord::target).thenComparingInt(SrvRecord::port);
}
