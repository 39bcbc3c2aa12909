package cloverpulley.outs;

import java.util.HashMap;
import java.util.TreeSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** How many of each group there are, and are out, in the order of their names, as whoever restores it has it too: kept with each change, so that a check costs a member's groups and no more. */
final class GroupCounts {

  private final Map<String, Set<String>> members = new HashMap<>();
  private final Map<String, Set<String>> out = new HashMap<>();
  private final Map<String, Integer> returning = new HashMap<>();

  void add(String member, List<String> groups) {
    groups.forEach(g -> members.computeIfAbsent(g, k -> new TreeSet<>()).add(member));
  }

  void remove(String member, List<String> groups) {
    groups.forEach(g -> {
      take(members, g, member);
      take(out, g, member);
    });
  }

  void count(String member, List<String> groups, boolean isOut) {
    for (String g : groups) {
      if (isOut) {
        out.computeIfAbsent(g, k -> new TreeSet<>()).add(member);
      } else {
        take(out, g, member);
      }
    }
  }

  private static void take(Map<String, Set<String>> from, String group, String member) {
    Set<String> all = from.get(group);
    if (all != null && all.remove(member) && all.isEmpty()) {
      from.remove(group); // Guards the memory: groups come and go with their members.
    }
  }

  void returning(List<String> groups, int by) {
    groups.forEach(g -> returning.merge(g, by, Integer::sum));
  }

  int members(String group) {
    return members.getOrDefault(group, Set.of()).size();
  }

  int out(String group) {
    return out.getOrDefault(group, Set.of()).size();
  }

  boolean isOut(String group, String member) {
    return out.getOrDefault(group, Set.of()).contains(member);
  }

  int returning(String group) {
    return returning.getOrDefault(group, 0);
  }

  List<String> holders(String group, int most) {
    return out.getOrDefault(group, Set.of()).stream().limit(most).toList();
  }
}
