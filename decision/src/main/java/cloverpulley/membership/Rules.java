package cloverpulley.membership;

import java.util.List;

/**
 * The limits under which reports of resolvers change the member list. Times are milliseconds.
 *
 * @param weights per resolver, 0 to 1: the share of the corroborated fleet that it may add on its report alone
 * @param floorShare an answer that leaves less than this share of the fleet, 0 to 1, takes effect only with further witnesses
 * @param witnesses resolvers that have to list an instance, or to omit it in an answer below the floor; at most the number of resolvers
 * @param emptyWitnesses resolvers that have to report an empty list before it takes effect
 * @param confirmMillis with a single responding resolver: how long it has to repeat such an answer, in place of a second witness
 * @param settleMillis how long there must be no report of a drain or withdrawal before an instance serves again
 * @param longestTtlMillis the longest that a cache may keep a record; all TTLs are capped at it
 * @param staleMillis how long past its TTL a list is kept while all resolvers are unresponsive
 * @param clockSkewMillis the largest difference between the clocks of publisher and reader
 * @param firstWaitMillis how long the first list waits for a second resolver
 * @param loneWaitMillis how long all others have to be unresponsive before one resolver is trusted alone
 * @param reserveBelow the next priority serves while fewer than this many servers of the better ones can
 * @param maxInstances instances known at one time; further ones are rejected
 */
public record Rules(List<Double> weights, double floorShare, int witnesses, int emptyWitnesses, long confirmMillis,
    long settleMillis, long longestTtlMillis, long staleMillis, long clockSkewMillis, long firstWaitMillis, long loneWaitMillis,
    int reserveBelow, int maxInstances) {

  /** Validates the limits; one that could never be met would freeze the list. */
  public Rules {
    weights = List.copyOf(weights);
    if (weights.isEmpty() || weights.stream().anyMatch(w -> !(w >= 0 && w <= 1))) {
      throw new IllegalArgumentException("expected a weight from 0 to 1 for each resolver, got " + weights);
    } else if (!(floorShare >= 0 && floorShare <= 1)) {
      throw new IllegalArgumentException("expected a floor share from 0 to 1, got " + floorShare);
    } else if (witnesses < 1 || witnesses > weights.size() || emptyWitnesses < witnesses || emptyWitnesses > weights.size()) {
      throw new IllegalArgumentException("expected 1 <= witnesses <= empty witnesses <= resolvers, got " + witnesses + ", "
          + emptyWitnesses + ", " + weights.size());
    } else if (Math.min(Math.min(Math.min(confirmMillis, settleMillis), Math.min(staleMillis, clockSkewMillis)),
        Math.min(firstWaitMillis, loneWaitMillis)) < 0 || longestTtlMillis < 1 || reserveBelow < 0 || maxInstances < 1) {
      throw new IllegalArgumentException("expected no negative time or count, and a longest TTL and an instance limit of at least 1");
    }
  }

  /** The defaults for a number of resolvers: two have to agree if there are two or more, and more than half on an empty list. */
  public static Rules of(int resolvers) {
    return new Rules(java.util.Collections.nCopies(resolvers, resolvers == 1 ? 1 : 1.0 / resolvers), 0.5, Math.min(2, resolvers),
        resolvers / 2 + 1, 10_000, 5_000, 120_000, 3_600_000, 300_000, 2_000, 30_000, 1, 20_000);
  }

  int resolvers() {
    return weights.size();
  }
}
