package cloverpulley.outs;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Members of each group, those that count as out, and the number that is returning. Updated with each change, so that the cost of a check depends
 * only on the number of a member's groups. Members are sorted by name, so that a restored ledger lists the same holders as the others.
 */
final class GroupCounts {

  private final Map<String, Set<String>> members = new HashMap<>();
  private final Map<String, Set<String>> out = new HashMap<>();
  private final Map<String, Integer> returning = new HashMap<>();

  void add(String member, List<String> groups) {
    groups.forEach(g -> members.computeIfAbsent(g, k -> new TreeSet<>()).add(member));
  }

  void remove(String member, List<String> groups) {
    groups.forEach(g -> {
      removeFrom(members, g, member);
      removeFrom(out, g, member);
    });
  }

  void setOut(String member, List<String> groups, boolean isOut) {
    for (String g : groups) {
      if (isOut) {
        out.computeIfAbsent(g, k -> new TreeSet<>()).add(member);
      } else {
        removeFrom(out, g, member);
      }
    }
  }

  private static void removeFrom(Map<String, Set<String>> from, String group, String member) {
    Set<String> all = from.get(group);
    if (all != null && all.remove(member) && all.isEmpty()) {
      from.remove(group); // Bounds the memory: groups come and go with their members.
    }
  }

  void addReturning(List<String> groups, int delta) {
    groups.forEach(g -> returning.merge(g, delta, Integer::sum));
  }

  int memberCount(String group) {
    return members.getOrDefault(group, Set.of()).size();
  }

  int outCount(String group) {
    return out.getOrDefault(group, Set.of()).size();
  }

  boolean isOut(String group, String member) {
    return out.getOrDefault(group, Set.of()).contains(member);
  }

  int returningCount(String group) {
    return returning.getOrDefault(group, 0);
  }

  List<String> holders(String group, int max) {
    return out.getOrDefault(group, Set.of()).stream().limit(max).toList();
  }
}
