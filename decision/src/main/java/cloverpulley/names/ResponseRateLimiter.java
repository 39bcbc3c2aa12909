package cloverpulley.names;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the rate of UDP answers per client prefix, as source addresses may be forged. Past the rate, every n-th query gets a
 * truncated answer that asks for TCP, which a real client can use and a forger can't; the others get none. Pure: no clock, no I/O,
 * one thread; constant time and bounded memory.
 */
public final class ResponseRateLimiter {

  private static final double SECOND = 1e9;

  /** What to do with a query: answer it, answer truncated, or drop it. */
  public enum Action { ANSWER, SLIP, DROP }

  /**
   * Limits.
   *
   * @param perSecond answers a second to one prefix, and the burst; 0 for no limit
   * @param slip every slip-th query past the rate gets a truncated answer; 0 for none
   * @param maxPrefixes prefixes tracked; the one idle longest is evicted first. One that is added while the table is
   *     full starts with one token instead of a second's worth
   */
  public record Config(double perSecond, int slip, int maxPrefixes) {
    public Config {
      if (perSecond < 0 || slip < 0 || maxPrefixes < 1) {
        throw new IllegalArgumentException("expected a rate and a slip of 0 or more and at least one prefix");
      }
    }
  }

  private static final class Bucket {
    double tokens;
    long at;
    int overRate;
  }

  private final Config config;
  private final Map<Long, Bucket> buckets = new LinkedHashMap<>(64, 0.75f, true);

  public ResponseRateLimiter(Config config) {
    this.config = config;
  }

  /** Takes a token for a query from a prefix, and returns what to do with the query. */
  public Action onQuery(long now, long prefix) {
    if (config.perSecond() == 0) {
      return Action.ANSWER;
    }
    Bucket b = buckets.get(prefix);
    if (b == null) {
      b = new Bucket();
      // Guards against forged prefixes that overrun the table: once it is full, a new prefix starts without a burst.
      b.tokens = buckets.size() < config.maxPrefixes() ? config.perSecond() : 1;
      b.at = now;
      buckets.put(prefix, b);
      if (buckets.size() > config.maxPrefixes()) {
        buckets.remove(buckets.keySet().iterator().next());
      }
    }
    b.tokens = Math.min(config.perSecond(), b.tokens + (now - b.at) / SECOND * config.perSecond());
    b.at = now;
    if (b.tokens >= 1) {
      b.tokens--;
      b.overRate = 0;
      return Action.ANSWER;
    }
    b.overRate++;
    return config.slip() > 0 && b.overRate % config.slip() == 0 ? Action.SLIP : Action.DROP;
  }

  /** The number of tracked prefixes. */
  public int size() {
    return buckets.size();
  }
}
