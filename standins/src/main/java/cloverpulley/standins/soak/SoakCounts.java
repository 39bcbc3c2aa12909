package cloverpulley.standins.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Counts rule breaches that were observed from outside the balancers. Thread-safe. */
final class SoakCounts {

  /** Rules and limits; the report prints the names of the constants. */
  enum Breach {
    /** A request without a final response in time. */
    LOST,
    /** An unsafe request that ran twice, or a keyed one that ran again after the end of its deduplication window. */
    DUPLICATE,
    /**
     * A request sent to an upstream that had been draining or administratively offline for longer than the grace period, which starts for a
     * drain when the balancer counts as notified.
     */
    DRAIN,
    /** A server that had just restarted received more requests than slow start allows, relative to the median of the other servers. */
    SLOW_START,
    /** An attempt that began after its client had disconnected. */
    AFTER_LEAVING,
    /** A balancer told a server, in the request's expiry header, of more time than the client had left. */
    TOLD_TIME,
    /** The processes of a balancer together exceed the memory limit. */
    MEMORY,
    /** The processes of a balancer together exceed the limit on file descriptors. */
    DESCRIPTORS,
    /** A process that exited without a signal, or with an unexpected status after SIGTERM. */
    ENDED,
    /** A process that was still running when the time that it has to exit after SIGTERM was over; it is then sent SIGKILL. */
    OVERDUE,
    /** A process that was not ready in time after its start. */
    NOT_READY,
    /** A management call to take an upstream offline or bring it back online that did not succeed in time, on a running process without faults. */
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
