package cloverpulley.quota;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How many octets an answer will have, by what the answers to its likes had: what is charged before it is known. The mean forgets
 * slowly, so that one large answer does not make the next ones dear, and no answer counts for more than a bound: one that lies about its
 * length would else keep its kind away for so long that nothing could set it right. A kind that is not known is expected to have
 * none: another's answers say nothing of it. Kinds are bounded in number, the one unused longest goes first. Not for several threads.
 */
public final class Expected {

  /** Part of the mean that a new sample makes up, once there were as many; until then each counts alike. */
  private static final double STEP = 1.0 / 16;

  private final Map<String, Mean> kinds;
  private final double most;

  private static final class Mean {
    private double value;
    private int samples;

    void add(double x) {
      samples = samples < Integer.MAX_VALUE ? samples + 1 : samples;
      value += (x - value) * Math.max(STEP, 1.0 / samples);
    }
  }

  /** Keeps so many kinds, 1 at least; an answer counts for so many octets at most, above 0. */
  public Expected(int mostKinds, double mostOctets) {
    if (mostKinds < 1 || !(mostOctets > 0)) {
      throw new IllegalArgumentException("expected 1 kind at least and octets above 0, got " + mostKinds + " and " + mostOctets);
    }
    most = mostOctets;
    kinds = new LinkedHashMap<>(16, 0.75f, true) {
      @Override
      protected boolean removeEldestEntry(Map.Entry<String, Mean> eldest) {
        return size() > mostKinds;
      }
    };
  }

  /** What the next of a kind is expected to have; 0 while none has been seen. */
  public double of(String kind) {
    Mean m = kinds.get(kind);
    return m == null ? 0 : m.value;
  }

  /** One of a kind had so many; fewer than none is refused. */
  public void seen(String kind, double octets) {
    if (!(octets >= 0) || octets == Double.POSITIVE_INFINITY) {
      throw new IllegalArgumentException("octets: expected a number from 0 on, got " + octets);
    }
    kinds.computeIfAbsent(kind, k -> new Mean()).add(Math.min(octets, most));
  }

  int kept() {
    return kinds.size();
  }
}
