package cloverpulley.standins.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** What an observer outside has counted against the rules. */
final class SoakCounts {

  /** Rules and limits; the words are those of the report. */
  enum Breach {
    /** A request without a final answer in time. */
    LOST,
    /** An unsafe request that ran twice, or a keyed one outside its window. */
    DUPLICATE,
    /** A request at an upstream that drained, had gone or was offline for longer than the grace. */
    DRAIN,
    /** More than its share to a server that had just started. */
    SLOW_START,
    /** An attempt that began after its client had left. */
    AFTER_LEAVING,
    /** A time told to a server that is longer than its client's rest. */
    TOLD_TIME,
    /** Memory of a balancer's processes together. */
    MEMORY,
    /** File descriptors of a balancer's processes together. */
    DESCRIPTORS,
    /** A process that ended without being told to, or not well. */
    ENDED,
    /** A process that was still there when SIGKILL may come. */
    OVERDUE,
    /** A start that was not ready in time. */
    NOT_READY,
    /** A call of the management endpoint without a yes in time. */
    CALL
  }

  private static final int MAX_EXAMPLES = 6;

  private final Map<Breach, Integer> counts = new EnumMap<>(Breach.class);
  private final List<String> examples = new ArrayList<>();

  synchronized void add(Breach breach, String example) {
    int count = counts.merge(breach, 1, Integer::sum);
    if (count <= MAX_EXAMPLES) {
      examples.add(breach + ": " + example);
    }
  }

  synchronized int of(Breach breach) {
    return counts.getOrDefault(breach, 0);
  }

  synchronized boolean isEmpty() {
    return counts.isEmpty();
  }

  synchronized Map<Breach, Integer> all() {
    return new EnumMap<>(counts);
  }

  synchronized List<String> examples() {
    return List.copyOf(examples);
  }
}
