package cloverpulley.names;

/**
 * How long an answer is cached and whether it may be served at its age (RFC 1035, 2308, 8767). Pure. Times are clock readings in
 * nanoseconds, TTLs are seconds.
 */
public final class TtlPolicy {

  private static final long SECOND = 1_000_000_000L;

  /**
   * Bounds.
   *
   * @param maxTtl larger TTLs are capped at this
   * @param maxNegativeTtl the same for negative answers
   * @param staleFor how long past its TTL an answer may be given when no server answers
   * @param prefetchRatio the last part of its TTL, 0 to 1, in which an answer is prefetched while it is still fresh
   * @param prefetchHits hits since it was cached that an answer needs for that; 0 for no prefetching
   */
  public record Config(long maxTtl, long maxNegativeTtl, long staleFor, double prefetchRatio, int prefetchHits) {}

  /** Whether a cached answer may be served: as is, with a prefetch, only if no server answers, or not at all. */
  public enum Freshness { FRESH, PREFETCH, STALE, EXPIRED }

  private final Config config;

  public TtlPolicy(Config config) {
    this.config = config;
  }

  /** The TTL for which an answer is kept; 0 where it is not. */
  public long cacheTtl(long ttl, boolean negative) {
    return Math.max(0, Math.min(ttl, negative ? config.maxNegativeTtl() : config.maxTtl()));
  }

  /** Classifies an answer that was cached at {@code at}. */
  public Freshness classify(long now, long at, long ttl, int hits) {
    long age = now - at;
    long life = ttl * SECOND;
    if (age >= life) {
      return age < life + config.staleFor() * SECOND ? Freshness.STALE : Freshness.EXPIRED;
    }
    boolean popular = config.prefetchHits() > 0 && hits >= config.prefetchHits();
    return popular && age >= life * (1 - config.prefetchRatio()) ? Freshness.PREFETCH : Freshness.FRESH;
  }
}
