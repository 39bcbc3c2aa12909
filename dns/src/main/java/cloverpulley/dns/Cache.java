package cloverpulley.dns;

import cloverpulley.dns.wire.Message;
import cloverpulley.dns.wire.Question;
import cloverpulley.names.TtlPolicy;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * The response cache, keyed by the exact question: records for other names in a response are never used to answer queries for those names,
 * so that a response can't poison them. Bounded in bytes, with W-TinyLFU eviction.
 */
final class Cache {

  /** The question and the flags that affect the answer: DO, CD and RD. */
  record Key(Question question, boolean dnssecOk, boolean checkingDisabled, boolean recursion) {

    static Key of(Query q) {
      return new Key(q.question(), q.wantsDnssec(), q.message.has(Message.CD), q.message.has(Message.RD));
    }
  }

  /** A cached answer and the time at which it was stored. */
  static final class Entry {
    final ResponseTemplate template;
    final long storedAt;
    final long ttl;
    int hits;

    Entry(ResponseTemplate template, long storedAt, long ttl) {
      this.template = template;
      this.storedAt = storedAt;
      this.ttl = ttl;
    }
  }

  private final com.github.benmanes.caffeine.cache.Cache<Key, Entry> entries;
  private final TtlPolicy ttlPolicy;

  /** Caches at most {@code maxBytes}; 0 disables the cache. */
  Cache(long maxBytes, TtlPolicy ttlPolicy) {
    this.ttlPolicy = ttlPolicy;
    // Maintenance runs on the calling thread, so that it is part of the event loop's work.
    entries = Caffeine.newBuilder().maximumWeight(maxBytes).executor(Runnable::run)
        .weigher((Key k, Entry e) -> e.template.weight() + 2 * k.question().length()).build();
  }

  /** The cached answer, which may be stale; null if there is none or it has expired even for stale use. */
  Entry get(Key key, long now) {
    Entry e = entries.getIfPresent(key);
    if (e != null && ttlPolicy.classify(now, e.storedAt, e.ttl, e.hits) == TtlPolicy.Freshness.EXPIRED) {
      entries.invalidate(key);
      return null;
    }
    return e;
  }

  TtlPolicy.Freshness freshness(Entry e, long now) {
    return ttlPolicy.classify(now, e.storedAt, e.ttl, e.hits);
  }

  /** Stores an answer if its TTL allows caching. */
  void put(Key key, ResponseTemplate template, long ttl, boolean negative, long now) {
    long cacheTtl = ttlPolicy.cacheTtl(ttl, negative);
    if (cacheTtl > 0) {
      entries.put(key, new Entry(template, now, cacheTtl));
    }
  }

  /** The estimated size in bytes. */
  long weight() {
    entries.cleanUp();
    return entries.policy().eviction().orElseThrow().weightedSize().orElse(0);
  }

  long size() {
    return entries.estimatedSize();
  }
}
