package cloverpulley.agree;

import cloverpulley.config.Section;
import cloverpulley.outs.Command;
import cloverpulley.outs.Limit;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Section {@code [agree]} of the operators' file: the fleet that shares a disruption ledger, its voters and its limits.
 *
 * @param fleet the name of the fleet; voters of another fleet are rejected
 * @param name the name of this instance, unique and stable across restarts
 * @param groups the groups of this instance, always including "balancers"
 * @param folder the directory of a voter's journal
 * @param labels additional groups of upstreams, by id
 * @param raftListen address for connections of other voters
 * @param apiListen address of a voter's HTTP API
 */
public record AgreeConfig(String fleet, String name, List<String> groups, Path folder, int pollMillis, int silentMillis, int maxMb,
    List<VoterAddress> voters, Command.Rules rules, Map<String, List<String>> labels, InetSocketAddress raftListen,
    InetSocketAddress apiListen) {

  /** The group of all balancers. */
  public static final String BALANCERS = "balancers";
  /** The group of all upstreams. */
  public static final String UPSTREAMS = "upstreams";
  /** The group of the voters. */
  public static final String VOTERS = "voters";

  private static final int MAX_NAME_LENGTH = 128;

  /** The addresses of a voter. */
  public record VoterAddress(String name, InetSocketAddress raft, InetSocketAddress api) {}

  /** Reads the section. */
  public static AgreeConfig read(Section s, String zone) {
    String name = name(s, "name");
    List<VoterAddress> voters = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (Section v : s.tables("voter")) {
      String voter = name(v, "name");
      if (!names.add(voter)) {
        v.reportError("name", "two voters are called \"" + voter + "\"");
      }
      voters.add(new VoterAddress(voter, v.address("raft", null), v.address("api", null)));
    }
    if (voters.size() != 3 && voters.size() != 5 && voters.size() != 7) {
      s.reportError("voter", "expected three, five or seven voters, got " + voters.size());
    }
    Map<String, Limit> limits = new TreeMap<>();
    for (Section g : s.tables("group")) {
      String group = name(g, "name");
      if (limits.containsKey(group)) {
        g.reportError("name", "two groups are called \"" + group + "\"");
      }
      limits.put(group, new Limit((int) g.integer("most", 0, 100_000, 100_000), g.number("part", 0, 1, 1), (int) g.integer("back", 1, 100_000, 1)));
    }
    int minority = Math.max(0, (voters.size() - 1) / 2);
    if (limits.containsKey(VOTERS) && limits.get(VOTERS).most() > minority) {
      s.reportError("group", "expected most of " + VOTERS + " of " + minority + " or less: more would cost the majority");
    }
    limits.putIfAbsent(VOTERS, new Limit(minority, 1, 1));
    Map<String, List<String>> labels = new TreeMap<>();
    for (Section l : s.tables("label")) {
      labels.put(l.string("upstream"), l.strings("groups", List.of()));
    }
    Command.Rules rules = new Command.Rules(s.integer("version", 1, Long.MAX_VALUE, 1), limits, (int) s.integer("words", 1, 8, 2),
        s.integer("fresh_ms", 100, 3_600_000, 10_000), s.number("dead_part", 0.001, 1, 1), s.number("refused_part", 0.001, 1, 1));
    VoterAddress own = voters.stream().filter(v -> v.name().equals(name)).findFirst().orElse(null);
    return new AgreeConfig(name(s, "fleet"), name, groups(s, own != null, zone), Path.of(s.string("folder", ".")),
        (int) s.integer("poll_ms", 10, 60_000, 200), (int) s.integer("silent_ms", 100, 600_000, 2000), (int) s.integer("most_mb", 1, 1024, 16),
        List.copyOf(voters), rules, labels,
        s.has("raft_listen") || own == null ? s.address("raft_listen", "127.0.0.1:0") : own.raft(),
        s.has("api_listen") || own == null ? s.address("api_listen", "127.0.0.1:0") : own.api());
  }

  private static List<String> groups(Section s, boolean isVoter, String zone) {
    List<String> groups = new ArrayList<>(List.of(BALANCERS));
    if (!zone.isEmpty()) {
      groups.add(BALANCERS + ":" + zone);
    }
    if (isVoter) {
      groups.add(VOTERS);
    }
    groups.addAll(s.strings("groups", List.of()));
    return groups.stream().distinct().sorted().toList();
  }

  private static String name(Section s, String key) {
    String name = s.string(key);
    if (!name.isEmpty() && !isName(name)) {
      s.reportError(key, "expected letters, digits and . : # - _, " + MAX_NAME_LENGTH + " at most, got \"" + name + "\"");
    }
    return name;
  }

  /** Whether a text is a valid name of an instance, a group or a fleet. */
  static boolean isName(String text) {
    return text.length() <= MAX_NAME_LENGTH && text.matches("[\\w.:#-]+");
  }

  /** Whether this instance is a voter. */
  public boolean isVoter() {
    return voters.stream().anyMatch(v -> v.name().equals(name));
  }

  Path journal() {
    return folder.resolve(name + ".ledger");
  }

  /** Creates the journal of a new voter; {@code joining} for one that replaces another. */
  public Path init(boolean joining) throws java.io.IOException {
    RaftJournal.create(journal(), fleet, joining);
    return journal();
  }

  /** The groups of an upstream. */
  public List<String> groupsOf(String id, String zone, int cell) {
    List<String> groups = new ArrayList<>(List.of(UPSTREAMS, "cell:" + cell));
    if (!zone.isEmpty()) {
      groups.add(UPSTREAMS + ":" + zone);
    }
    groups.addAll(labels.getOrDefault(id, List.of()));
    return groups.stream().distinct().sorted().toList();
  }
}
