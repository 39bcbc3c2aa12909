package cloverpulley.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * When what was asked is asked again: at 80, 85, 90 and 95% of its TTL (RFC 6762, 5.2, which DNS-SD readers follow), each with up to
 * 2% of it more, so that readers don't ask together; after a failure with a delay that doubles.
 *
 * @param <K> what is asked, whom
 */
public final class RefreshScheduler<K> {

  private static final double[] PARTS = {0.80, 0.85, 0.90, 0.95};
  private static final double JITTER = 0.02;
  private static final long TICK_MILLIS = 10;
  private static final int MOST_DOUBLINGS = 20;

  private static final class Entry<K> {
    final K key;
    long heardAt;
    long ttl;
    int part;
    int failures;
    /** The latest time it was put at: what comes due for another has been put again since. */
    long at;
    boolean asked;
    /** Something changed while it was being asked: that answer may be from before. */
    boolean again;

    Entry(K key) {
      this.key = key;
    }
  }

  private record Due<K>(Entry<K> entry, long at) {}

  private final long leastTtlMillis;
  private final long mostTtlMillis;
  private final long backOffMillis;
  private final long mostBackOffMillis;
  private final SplittableRandom random;
  private final Map<K, Entry<K>> entries = new HashMap<>();
  private final TimingWheel<Due<K>> wheel;

  /** Bounds of the TTLs and of the delay after a failure, all in milliseconds. */
  public RefreshScheduler(long startMillis, long leastTtlMillis, long mostTtlMillis, long backOffMillis, long mostBackOffMillis, long seed) {
    this.leastTtlMillis = leastTtlMillis;
    this.mostTtlMillis = mostTtlMillis;
    this.backOffMillis = backOffMillis;
    this.mostBackOffMillis = mostBackOffMillis;
    random = new SplittableRandom(seed);
    wheel = new TimingWheel<>(startMillis, TICK_MILLIS);
  }

  /** It is wanted: due at once, unless it is known already. */
  public void addIfAbsent(long now, K key) {
    if (!entries.containsKey(key)) {
      Entry<K> e = new Entry<>(key);
      entries.put(key, e);
      put(e, now);
    }
  }

  /** It is to be asked at once, whatever was heard: something has changed. */
  public void refreshNow(long now, K key) {
    Entry<K> e = entries.get(key);
    if (e == null) {
      addIfAbsent(now, key);
    } else if (e.asked) {
      e.again = true;
    } else {
      put(e, now);
    }
  }

  /** An answer has come that is good for this long. */
  public void answered(long now, K key, long ttlMillis) {
    Entry<K> e = entries.get(key);
    if (e != null) {
      e.heardAt = now;
      e.ttl = Math.max(leastTtlMillis, Math.min(mostTtlMillis, ttlMillis));
      e.part = 0;
      e.failures = 0;
      e.asked = false;
      put(e, e.again ? now : partAt(e));
      e.again = false;
    }
  }

  /** What was asked goes on well, and is not over: the next failure counts as the first. */
  public void resetBackOff(K key) {
    Entry<K> e = entries.get(key);
    if (e != null) {
      e.failures = 0;
    }
  }

  /** No answer has come: asked again at the next part of its TTL, or once that is over with ever longer delays. */
  public void failed(long now, K key) {
    Entry<K> e = entries.get(key);
    if (e == null) {
      return;
    }
    e.asked = false;
    e.again = false;
    if (e.ttl > 0 && ++e.part < PARTS.length && partAt(e) > now) {
      put(e, partAt(e));
    } else {
      long delay = Math.min(mostBackOffMillis, backOffMillis << Math.min(MOST_DOUBLINGS, e.failures++));
      put(e, now + delay / 2 + random.nextLong(delay / 2 + 1));
    }
  }

  /** It is not wanted any more. */
  public void cancel(K key) {
    Entry<K> e = entries.remove(key);
    if (e != null) {
      e.at = Long.MIN_VALUE;
    }
  }

  /** Whether it is being asked, or is about to be. */
  public boolean isPending(long now, K key) {
    Entry<K> e = entries.get(key);
    return e != null && (e.asked || e.at <= now);
  }

  public int size() {
    return entries.size();
  }

  /** Hands out what is to be asked now; each once, until it is {@link #answered} or {@link #failed}. */
  public void forEachDue(long now, Consumer<K> ask) {
    wheel.advance(now, d -> {
      if (d.entry.at == d.at && !d.entry.asked && entries.get(d.entry.key) == d.entry) {
        d.entry.asked = true;
        ask.accept(d.entry.key);
      }
    });
  }

  private long partAt(Entry<K> e) {
    return e.heardAt + (long) (e.ttl * (PARTS[Math.min(e.part, PARTS.length - 1)] + random.nextDouble(JITTER)));
  }

  private void put(Entry<K> e, long at) {
    e.at = at;
    wheel.schedule(at, new Due<>(e, at));
  }
}
