package cloverpulley.names;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds what is answered over UDP to one prefix of clients, whose addresses may be forged: past its rate every n-th query gets a
 * short answer that asks for TCP, which a forger can't use and a real client can; the others get none. Pure: no clock, no I/O,
 * one thread; constant time and bounded memory.
 */
public final class ResponseLimit {

  private static final double SECOND = 1e9;

  /** What becomes of a query. */
  public enum Finding { ANSWER, SLIP, DROP }

  /**
   * Bounds.
   *
   * @param perSecond answers a second to one prefix, and as many may be saved up; 0 for no limit
   * @param slip every so many queries past the rate get the short answer; 0 for none
   * @param most prefixes kept; the one idle longest is forgotten first; one that comes while the table is
   *     full starts with one answer instead of a second's worth
   */
  public record Config(double perSecond, int slip, int most) {
    public Config {
      if (perSecond < 0 || slip < 0 || most < 1) {
        throw new IllegalArgumentException("a rate and a slip of 0 or more and at least one prefix are needed");
      }
    }
  }

  private static final class Bucket {
    double tokens;
    long at;
    int past;
  }

  private final Config config;
  private final Map<Long, Bucket> buckets = new LinkedHashMap<>(64, 0.75f, true);

  public ResponseLimit(Config config) {
    this.config = config;
  }

  /** A query has come from a prefix. */
  public Finding query(long now, long prefix) {
    if (config.perSecond() == 0) {
      return Finding.ANSWER;
    }
    Bucket b = buckets.get(prefix);
    if (b == null) {
      b = new Bucket();
      // Guards against prefixes made up faster than they can be kept: once the table is full a new one has saved nothing.
      b.tokens = buckets.size() < config.most() ? config.perSecond() : 1;
      b.at = now;
      buckets.put(prefix, b);
      if (buckets.size() > config.most()) {
        buckets.remove(buckets.keySet().iterator().next());
      }
    }
    b.tokens = Math.min(config.perSecond(), b.tokens + (now - b.at) / SECOND * config.perSecond());
    b.at = now;
    if (b.tokens >= 1) {
      b.tokens--;
      b.past = 0;
      return Finding.ANSWER;
    }
    b.past++;
    return config.slip() > 0 && b.past % config.slip() == 0 ? Finding.SLIP : Finding.DROP;
  }

  /** Prefixes that are kept. */
  public int size() {
    return buckets.size();
  }
}
