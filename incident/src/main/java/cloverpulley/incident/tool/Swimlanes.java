package cloverpulley.incident.tool;

import cloverpulley.incident.Timeline;
import cloverpulley.incident.Timeline.ServerUpdate;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Each server's states as each instance was told: pieces of time, a cold start after each start. */
final class Swimlanes {

  /** A piece of a lane. */
  record StateInterval(long from, long to, String state) {}

  /** What one instance was told of one server. */
  record Lane(String server, String instance, List<StateInterval> intervals) {}

  private Swimlanes() {}

  /** Lanes up to {@code end}; a server is cold for {@code warmWithin} microseconds from its start. */
  static List<Lane> of(Timeline timeline, long end, long warmWithin) {
    Map<String, Map<String, List<ServerUpdate>>> by = new TreeMap<>();
    for (ServerUpdate t : timeline.serverUpdates()) {
      by.computeIfAbsent(t.server(), s -> new TreeMap<>()).computeIfAbsent(t.instance(), i -> new ArrayList<>()).add(t);
    }
    List<Lane> lanes = new ArrayList<>();
    by.forEach((server, instances) -> instances.forEach((instance, told) -> {
      told.sort(Comparator.comparingLong(ServerUpdate::at));
      List<StateInterval> intervals = new ArrayList<>();
      for (int i = 0; i < told.size(); i++) {
        ServerUpdate t = told.get(i);
        long to = i + 1 < told.size() ? told.get(i + 1).at() : Math.max(end, t.at());
        long warm = t.startedMillis() * 1000 + warmWithin;
        if (t.state().equals("ready") && t.startedMillis() > 0 && warm > t.at()) {
          intervals.add(new StateInterval(t.at(), Math.min(to, warm), "cold"));
          if (warm < to) {
            intervals.add(new StateInterval(warm, to, "ready"));
          }
        } else {
          intervals.add(new StateInterval(t.at(), to, t.state()));
        }
      }
      lanes.add(new Lane(server, instance, intervals));
    }));
    return lanes;
  }

  /** Whether the instances were told different things of a server at some time, for longer than so many microseconds. */
  static boolean differ(List<Lane> ofOne, long longer) {
    for (int i = 0; i < ofOne.size(); i++) {
      for (int j = i + 1; j < ofOne.size(); j++) {
        for (StateInterval a : ofOne.get(i).intervals()) {
          for (StateInterval b : ofOne.get(j).intervals()) {
            long both = Math.min(a.to, b.to) - Math.max(a.from, b.from);
            if (both > longer && !a.state.equals(b.state)) {
              return true;
            }
          }
        }
      }
    }
    return false;
  }
}
