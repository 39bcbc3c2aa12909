package cloverpulley.membership;

import java.util.List;

/**
 * What it takes for the list to change. Times are milliseconds.
 *
 * @param weights of each resolver, 0 to 1: the part of the corroborated fleet that it may add by its word alone
 * @param floorShare an answer that leaves less of the fleet than this, 0 to 1, is not believed without a second witness
 * @param witnesses resolvers that have to name an instance, or to miss it in a shrunken answer; at most as many as there are
 * @param emptyWitnesses resolvers that have to say that there is nothing at all
 * @param confirmMillis with a single resolver: how long it has to say the same in place of a second witness
 * @param settleMillis how long nobody may say that an instance drains or is gone before it serves again
 * @param longestTtlMillis the longest that a cache may keep a record, to which all TTLs are cut
 * @param staleMillis how long past its TTL a list is kept while all resolvers are silent
 * @param clockSkewMillis the most by which the clocks of publisher and reader differ
 * @param firstWaitMillis how long a first list waits for a second resolver
 * @param loneWaitMillis how long all others have to be silent for one resolver to be believed alone
 * @param reserveBelow the next priority serves once fewer than this many of the better ones can
 * @param maxInstances instances known at one time; further ones are not taken
 */
public record Rules(List<Double> weights, double floorShare, int witnesses, int emptyWitnesses, long confirmMillis,
    long settleMillis, long longestTtlMillis, long staleMillis, long clockSkewMillis, long firstWaitMillis, long loneWaitMillis,
    int reserveBelow, int maxInstances) {

  /** Checks the figures; a rule that could never be met would hold the list for ever. */
  public Rules {
    weights = List.copyOf(weights);
    if (weights.isEmpty() || weights.stream().anyMatch(w -> !(w >= 0 && w <= 1))) {
      throw new IllegalArgumentException("expected a weight from 0 to 1 for each resolver, got " + weights);
    } else if (!(floorShare >= 0 && floorShare <= 1)) {
      throw new IllegalArgumentException("expected a floor from 0 to 1, got " + floorShare);
    } else if (witnesses < 1 || witnesses > weights.size() || emptyWitnesses < witnesses || emptyWitnesses > weights.size()) {
      throw new IllegalArgumentException("expected 1 <= witnesses <= empty witnesses <= resolvers, got " + witnesses + ", "
          + emptyWitnesses + ", " + weights.size());
    } else if (Math.min(Math.min(Math.min(confirmMillis, settleMillis), Math.min(staleMillis, clockSkewMillis)),
        Math.min(firstWaitMillis, loneWaitMillis)) < 0 || longestTtlMillis < 1 || reserveBelow < 0 || maxInstances < 1) {
      throw new IllegalArgumentException("expected no negative time or count");
    }
  }

  /** The usual figures for so many resolvers: two have to agree where there are two, and more than half on an empty list. */
  public static Rules of(int resolvers) {
    return new Rules(java.util.Collections.nCopies(resolvers, resolvers == 1 ? 1 : 1.0 / resolvers), 0.5, Math.min(2, resolvers),
        resolvers / 2 + 1, 10_000, 5_000, 120_000, 3_600_000, 300_000, 2_000, 30_000, 1, 20_000);
  }

  int resolvers() {
    return weights.size();
  }
}
