import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** What groups of upstreams remember: a group drops a repeat of a key for as long as its window lasts from when it ran the key. */
final class Groups {

  private final Stage stage;
  private final long windowNanos;
  private final Map<String, Long> remembered = new HashMap<>();
  private final Map<String, List<String>> effects = new TreeMap<>();
  private int dropped;

  Groups(Stage stage, long windowMillis) {
    this.stage = stage;
    windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
  }

  /** Runs a request whose last byte has come to an upstream; false if the upstream's group dropped it as a repeat. */
  synchronized boolean run(Stage.Upstream at, Stage.Message request) {
    long now = System.nanoTime();
    String key = at.cell + " " + request.header("idempotency-key");
    Long before = remembered.get(key);
    if (before != null && now - before < windowNanos) {
      dropped++;
      return false;
    }
    remembered.put(key, now);
    effects.computeIfAbsent(request.id(), id -> new ArrayList<>()).add(at.id + " of group " + at.cell + " at " + stage.millis() + " ms");
    return true;
  }

  /** Notes what took effect more than once, and returns how many requests did. */
  synchronized int noteRepeated() {
    int twice = 0;
    for (Map.Entry<String, List<String>> e : effects.entrySet()) {
      if (e.getValue().size() > 1) {
        twice++;
        stage.note("BROKEN: request " + e.getKey() + " took effect at " + String.join(", and at ", e.getValue()));
      }
    }
    stage.note(effects.size() + " requests took effect, " + twice + " of them twice; " + dropped + " repeats were dropped by the group that had run them");
    return twice;
  }

  synchronized int count() {
    return effects.size();
  }
}
