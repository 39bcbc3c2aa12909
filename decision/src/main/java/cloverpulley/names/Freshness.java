package cloverpulley.names;

/**
 * How long an answer may be kept and what it is good for at its age (RFC 1035, 2308, 8767). Pure. Times are clock readings in
 * nanoseconds, TTLs are seconds.
 */
public final class Freshness {

  private static final long SECOND = 1_000_000_000L;

  /**
   * Bounds.
   *
   * @param most TTLs above count as this
   * @param negativeMost the same for answers that say that there is nothing
   * @param staleFor how long past its TTL an answer may be given when no server answers
   * @param prefetchPart the last part of its life in which an answer is asked for anew while it still holds
   * @param prefetchHits only where it was asked for so often since it came; 0 for never
   */
  public record Config(long most, long negativeMost, long staleFor, double prefetchPart, int prefetchHits) {}

  /** What an answer is good for. */
  public enum Use { FRESH, REFRESH, STALE, GONE }

  private final Config config;

  public Freshness(Config config) {
    this.config = config;
  }

  /** The TTL for which an answer is kept; 0 where it is not. */
  public long kept(long ttl, boolean negative) {
    return Math.max(0, Math.min(ttl, negative ? config.negativeMost() : config.most()));
  }

  /** What an answer kept since {@code at} is good for. */
  public Use use(long now, long at, long ttl, int hits) {
    long age = now - at;
    long life = ttl * SECOND;
    if (age >= life) {
      return age < life + config.staleFor() * SECOND ? Use.STALE : Use.GONE;
    }
    boolean popular = config.prefetchHits() > 0 && hits >= config.prefetchHits();
    return popular && age >= life * (1 - config.prefetchPart()) ? Use.REFRESH : Use.FRESH;
  }
}
