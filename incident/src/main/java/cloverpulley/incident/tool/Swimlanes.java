package cloverpulley.incident.tool;

import cloverpulley.incident.Timeline;
import cloverpulley.incident.Timeline.ServerUpdate;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The states of each server over time as each instance received them, with a slow start ("cold") after each start of the server. */
final class Swimlanes {

  /** A period during which the state did not change. */
  record StateInterval(long from, long to, String state) {}

  /** The states of one server as one instance received them. */
  record Lane(String server, String instance, List<StateInterval> intervals) {}

  private Swimlanes() {}

  /** Lanes up to {@code end}; a server is in slow start for {@code warmUpTime} microseconds from its start. */
  static List<Lane> of(Timeline timeline, long end, long warmUpTime) {
    Map<String, Map<String, List<ServerUpdate>>> byServer = new TreeMap<>();
    for (ServerUpdate update : timeline.serverUpdates()) {
      byServer.computeIfAbsent(update.server(), s -> new TreeMap<>()).computeIfAbsent(update.instance(), i -> new ArrayList<>()).add(update);
    }
    List<Lane> lanes = new ArrayList<>();
    byServer.forEach((server, instances) -> instances.forEach((instance, updates) -> {
      updates.sort(Comparator.comparingLong(ServerUpdate::at));
      List<StateInterval> intervals = new ArrayList<>();
      for (int i = 0; i < updates.size(); i++) {
        ServerUpdate update = updates.get(i);
        long to = i + 1 < updates.size() ? updates.get(i + 1).at() : Math.max(end, update.at());
        long warmedUpAt = update.startedMillis() * 1000 + warmUpTime;
        if (update.state().equals("ready") && update.startedMillis() > 0 && warmedUpAt > update.at()) {
          intervals.add(new StateInterval(update.at(), Math.min(to, warmedUpAt), "cold"));
          if (warmedUpAt < to) {
            intervals.add(new StateInterval(warmedUpAt, to, "ready"));
          }
        } else {
          intervals.add(new StateInterval(update.at(), to, update.state()));
        }
      }
      lanes.add(new Lane(server, instance, intervals));
    }));
    return lanes;
  }

  /** Whether two instances had different states of a server for longer than {@code tolerance} microseconds. */
  static boolean differ(List<Lane> lanesOfServer, long tolerance) {
    for (int i = 0; i < lanesOfServer.size(); i++) {
      for (int j = i + 1; j < lanesOfServer.size(); j++) {
        for (StateInterval a : lanesOfServer.get(i).intervals()) {
          for (StateInterval b : lanesOfServer.get(j).intervals()) {
            long overlap = Math.min(a.to, b.to) - Math.max(a.from, b.from);
            if (overlap > tolerance && !a.state.equals(b.state)) {
              return true;
            }
          }
        }
      }
    }
    return false;
  }
}
