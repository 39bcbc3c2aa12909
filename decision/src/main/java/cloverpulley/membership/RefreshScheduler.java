package cloverpulley.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Schedules the refresh of cached records: at 80, 85, 90 and 95% of the TTL (RFC 6762, 5.2, which DNS-SD readers follow), each plus
 * up to 2% of jitter so that readers do not query together. Once these are used up, failures are retried with exponential back-off.
 *
 * @param <K> identifies a query and the server it goes to
 */
public final class RefreshScheduler<K> {

  private static final double[] TTL_FRACTIONS = {0.80, 0.85, 0.90, 0.95};
  private static final double JITTER = 0.02;
  private static final long TICK_MILLIS = 10;
  private static final int MAX_DOUBLINGS = 20;

  private static final class Entry<K> {
    final K key;
    long answeredAt;
    long ttl;
    int fractionIndex;
    int failures;
    /** The time of its latest timer; a timer that fires for another time has been replaced. */
    long at;
    boolean inFlight;
    /** A change was notified while a query was in flight: its answer may predate the change. */
    boolean refreshAgain;

    Entry(K key) {
      this.key = key;
    }
  }

  private record Due<K>(Entry<K> entry, long at) {}

  private final long minTtlMillis;
  private final long maxTtlMillis;
  private final long backOffMillis;
  private final long maxBackOffMillis;
  private final SplittableRandom random;
  private final Map<K, Entry<K>> entries = new HashMap<>();
  private final TimingWheel<Due<K>> wheel;

  /** Bounds of the TTL, and initial and maximum back-off, all in milliseconds. */
  public RefreshScheduler(long startMillis, long minTtlMillis, long maxTtlMillis, long backOffMillis, long maxBackOffMillis, long seed) {
    this.minTtlMillis = minTtlMillis;
    this.maxTtlMillis = maxTtlMillis;
    this.backOffMillis = backOffMillis;
    this.maxBackOffMillis = maxBackOffMillis;
    random = new SplittableRandom(seed);
    wheel = new TimingWheel<>(startMillis, TICK_MILLIS);
  }

  /** Adds a key that is due at once; does nothing if it is known already. */
  public void addIfAbsent(long now, K key) {
    if (!entries.containsKey(key)) {
      Entry<K> e = new Entry<>(key);
      entries.put(key, e);
      scheduleAt(e, now);
    }
  }

  /** Makes a key due at once, whatever its TTL; if a query is in flight, right after its answer. */
  public void refreshNow(long now, K key) {
    Entry<K> e = entries.get(key);
    if (e == null) {
      addIfAbsent(now, key);
    } else if (e.inFlight) {
      e.refreshAgain = true;
    } else {
      scheduleAt(e, now);
    }
  }

  /** Records an answer with this TTL and schedules the next refresh. */
  public void answered(long now, K key, long ttlMillis) {
    Entry<K> e = entries.get(key);
    if (e != null) {
      e.answeredAt = now;
      e.ttl = Math.max(minTtlMillis, Math.min(maxTtlMillis, ttlMillis));
      e.fractionIndex = 0;
      e.failures = 0;
      e.inFlight = false;
      scheduleAt(e, e.refreshAgain ? now : refreshTime(e));
      e.refreshAgain = false;
    }
  }

  /** A long-lived query, such as a session, is making progress: the next failure starts at the initial back-off. */
  public void resetBackOff(K key) {
    Entry<K> e = entries.get(key);
    if (e != null) {
      e.failures = 0;
    }
  }

  /** Records that no answer came: retries at the next fraction of the TTL, then with exponential back-off. */
  public void failed(long now, K key) {
    Entry<K> e = entries.get(key);
    if (e == null) {
      return;
    }
    e.inFlight = false;
    e.refreshAgain = false;
    if (e.ttl > 0 && ++e.fractionIndex < TTL_FRACTIONS.length && refreshTime(e) > now) {
      scheduleAt(e, refreshTime(e));
    } else {
      long delay = Math.min(maxBackOffMillis, backOffMillis << Math.min(MAX_DOUBLINGS, e.failures++));
      scheduleAt(e, now + delay / 2 + random.nextLong(delay / 2 + 1));
    }
  }

  /** Removes a key. */
  public void cancel(K key) {
    Entry<K> e = entries.remove(key);
    if (e != null) {
      e.at = Long.MIN_VALUE;
    }
  }

  /** Whether a query is in flight or due. */
  public boolean isPending(long now, K key) {
    Entry<K> e = entries.get(key);
    return e != null && (e.inFlight || e.at <= now);
  }

  public int size() {
    return entries.size();
  }

  /** Passes every due key to {@code query}, once each until {@link #answered} or {@link #failed} is called for it. */
  public void forEachDue(long now, Consumer<K> query) {
    wheel.advance(now, d -> {
      if (d.entry.at == d.at && !d.entry.inFlight && entries.get(d.entry.key) == d.entry) {
        d.entry.inFlight = true;
        query.accept(d.entry.key);
      }
    });
  }

  private long refreshTime(Entry<K> e) {
    return e.answeredAt + (long) (e.ttl * (TTL_FRACTIONS[Math.min(e.fractionIndex, TTL_FRACTIONS.length - 1)] + random.nextDouble(JITTER)));
  }

  private void scheduleAt(Entry<K> e, long at) {
    e.at = at;
    wheel.schedule(at, new Due<>(e, at));
  }
}
