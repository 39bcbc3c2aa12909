package cloverpulley.outs;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The latest heartbeats of the processes of one instance. During an upgrade two processes have the same instance name: the instance is
 * responsive while one of them is, and has applied a change once all responsive ones have. Not thread-safe.
 */
final class InstanceHeartbeats {

  /** An upgrade has two processes; beyond this limit, which only a fault reaches, the latest heartbeats are kept. */
  private static final int MAX_PROCESSES = 4;

  private record Process(long atMillis, Heartbeat heartbeat) {}

  private final Map<String, Process> processes = new TreeMap<>();
  private List<String> groups = List.of();
  private long atMillis;

  void add(long nowMillis, Heartbeat heartbeat, long silentMillis) {
    atMillis = nowMillis;
    groups = heartbeat.groups();
    processes.put(heartbeat.process(), new Process(nowMillis, heartbeat));
    processes.values().removeIf(p -> nowMillis - p.atMillis() > silentMillis);
    while (processes.size() > MAX_PROCESSES) {
      processes.remove(processes.entrySet().stream().min(Map.Entry.comparingByValue((x, y) -> Long.compare(x.atMillis(), y.atMillis())))
          .orElseThrow().getKey());
    }
  }

  /** When the last heartbeat of any process was received. */
  long atMillis() {
    return atMillis;
  }

  MembershipReconciler.Registration registration() {
    return new MembershipReconciler.Registration(MemberKind.BALANCER, groups);
  }

  /**
   * Whether every responsive process has applied the ledger up to the index. An unresponsive process is not waited for while another one of
   * the instance sends heartbeats.
   */
  boolean hasApplied(long nowMillis, long index, long silentMillis) {
    List<Process> responsive = processes.values().stream().filter(p -> nowMillis - p.atMillis() <= silentMillis).toList();
    return !responsive.isEmpty() && responsive.stream().allMatch(p -> p.heartbeat().acted() >= index);
  }

  /** The highest ratio of rejected requests of any process. */
  double maxRejectionRatio() {
    return processes.values().stream().mapToDouble(p -> p.heartbeat().refused()).max().orElse(0);
  }
}
