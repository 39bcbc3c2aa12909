package cloverpulley.dns;

import cloverpulley.dns.wire.Message;
import cloverpulley.dns.wire.Question;
import cloverpulley.names.TtlPolicy;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Answers that were given, by exactly what was asked: nothing that an answer says of other names is used for them, so there is no
 * other name to poison. Bounded in octets; what is asked for least goes first (W-TinyLFU).
 */
final class Cache {

  /** A question, whether DNSSEC records were asked for, whether checks were to be left out, whether recursion was wanted. */
  record Key(Question question, boolean dnssecOk, boolean checkingDisabled, boolean recursion) {

    static Key of(Query q) {
      return new Key(q.question(), q.wantsDnssec(), q.message.has(Message.CD), q.message.has(Message.RD));
    }
  }

  /** An answer and since when it is held. */
  static final class Entry {
    final ResponseTemplate body;
    final long at;
    final long ttl;
    int hits;

    Entry(ResponseTemplate body, long at, long ttl) {
      this.body = body;
      this.at = at;
      this.ttl = ttl;
    }
  }

  private final com.github.benmanes.caffeine.cache.Cache<Key, Entry> entries;
  private final TtlPolicy freshness;

  /** {@code most} octets all in all; 0 keeps none. */
  Cache(long most, TtlPolicy freshness) {
    this.freshness = freshness;
    // On the thread that uses it: its upkeep is a part of the loop's work, not another thread's.
    entries = Caffeine.newBuilder().maximumWeight(most).executor(Runnable::run)
        .weigher((Key k, Entry e) -> e.body.weight() + 2 * k.question().length()).build();
  }

  /** What is held, whatever its age; null for none, or one too old for any use. */
  Entry get(Key key, long now) {
    Entry e = entries.getIfPresent(key);
    if (e != null && freshness.classify(now, e.at, e.ttl, e.hits) == TtlPolicy.Freshness.EXPIRED) {
      entries.invalidate(key);
      return null;
    }
    return e;
  }

  TtlPolicy.Freshness use(Entry e, long now) {
    return freshness.classify(now, e.at, e.ttl, e.hits);
  }

  /** Keeps an answer where its TTL allows it. */
  void put(Key key, ResponseTemplate body, long ttl, boolean negative, long now) {
    long kept = freshness.cacheTtl(ttl, negative);
    if (kept > 0) {
      entries.put(key, new Entry(body, now, kept));
    }
  }

  /** Octets held, as they are reckoned. */
  long weight() {
    entries.cleanUp();
    return entries.policy().eviction().orElseThrow().weightedSize().orElse(0);
  }

  long size() {
    return entries.estimatedSize();
  }
}
