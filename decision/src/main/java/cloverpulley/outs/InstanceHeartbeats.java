package cloverpulley.outs;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The processes of one instance as they were heard. In an upgrade there are two of one name: the instance is there while one of them is, and
 * has acted once all have that are there. One thread at a time.
 */
final class InstanceHeartbeats {

  /** More processes of one name than an upgrade has are a fault; those heard last count. */
  private static final int MOST_PROCESSES = 4;

  private record Process(long atMillis, Heartbeat look) {}

  private final Map<String, Process> processes = new TreeMap<>();
  private List<String> groups = List.of();
  private long atMillis;

  void record(long nowMillis, Heartbeat look, long silentMillis) {
    atMillis = nowMillis;
    groups = look.groups();
    processes.put(look.process(), new Process(nowMillis, look));
    processes.values().removeIf(p -> nowMillis - p.atMillis() > silentMillis);
    while (processes.size() > MOST_PROCESSES) {
      processes.remove(processes.entrySet().stream().min(Map.Entry.comparingByValue((x, y) -> Long.compare(x.atMillis(), y.atMillis())))
          .orElseThrow().getKey());
    }
  }

  /** When the last of them was heard. */
  long atMillis() {
    return atMillis;
  }

  MembershipReconciler.Registration as() {
    return new MembershipReconciler.Registration(MemberKind.BALANCER, groups);
  }

  /** Whether each that is there has acted on all up to an index. One that went silent is not waited for while another of its name is heard. */
  boolean hasActed(long nowMillis, long index, long silentMillis) {
    List<Process> there = processes.values().stream().filter(p -> nowMillis - p.atMillis() <= silentMillis).toList();
    return !there.isEmpty() && there.stream().allMatch(p -> p.look().acted() >= index);
  }

  /** The greatest part of their requests that any of them refuses. */
  double refused() {
    return processes.values().stream().mapToDouble(p -> p.look().refused()).max().orElse(0);
  }
}
