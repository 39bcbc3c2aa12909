package cloverpulley;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The windows of all keys, endpoints and tenants, by name; the one idle longest is forgotten first. */
final class Windows {

  /** Kept at most. */
  private static final int MOST = 8_000;
  /** Looked at for each one asked for: more than one new one a time can't pile up. */
  private static final int FORGET = 2;

  private final long length;
  private final Map<String, Window> windows = new LinkedHashMap<>(64, 0.75f, true);

  Windows(long lengthNanos) {
    length = lengthNanos;
  }

  Window of(String name, long now) {
    Window w = windows.computeIfAbsent(name, k -> new Window(length, now));
    // One idle for its length tells what a new one does. Guards the memory: on long days keys are ever new.
    Iterator<Window> eldest = windows.values().iterator();
    for (int i = 0; i < FORGET && windows.size() > 1
        && (windows.size() > MOST | eldest.next().isIdle(now)); i++) {
      eldest.remove();
    }
    return w;
  }

  /** What those used last hold, at most so many, the one used last at the end. */
  Map<String, double[]> totals(long now, int most) {
    Map<String, double[]> out = new LinkedHashMap<>();
    int skip = windows.size() - most;
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
