package cloverpulley;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Windows of all keys, flows and tenants by name; the least recently used one is evicted first. */
final class Windows {

  private static final int MAX_WINDOWS = 8_000;
  /** Windows checked for eviction per lookup: more than the one that a lookup may add, so they can't pile up. */
  private static final int EVICTION_CHECKS = 2;

  private final long windowNanos;
  private final Map<String, Window> windows = new LinkedHashMap<>(64, 0.75f, true);

  Windows(long lengthNanos) {
    windowNanos = lengthNanos;
  }

  Window of(String name, long now) {
    Window w = windows.computeIfAbsent(name, k -> new Window(windowNanos, now));
    // A window that was idle for its length equals a new one. Evicting it bounds the memory where keys are always new.
    Iterator<Window> eldest = windows.values().iterator();
    for (int i = 0; i < EVICTION_CHECKS && windows.size() > 1
        && (windows.size() > MAX_WINDOWS | eldest.next().isIdle(now)); i++) {
      eldest.remove();
    }
    return w;
  }

  /** Returns the totals of the most recently used windows, at most {@code limit}, the last used at the end. */
  Map<String, double[]> totals(long now, int limit) {
    Map<String, double[]> out = new LinkedHashMap<>();
    int skip = windows.size() - limit;
    for (Map.Entry<String, Window> w : windows.entrySet()) {
      if (skip-- <= 0 && !w.getValue().isIdle(now)) {
        out.put(w.getKey(), w.getValue().totals(now));
      }
    }
    return out;
  }

  int size() {
    return windows.size();
  }
}
