package cloverpulley.membership;

import cloverpulley.membership.Member.Phase;
import cloverpulley.membership.Observation.Addresses;
import cloverpulley.membership.Observation.BrowseFailed;
import cloverpulley.membership.Observation.Browsed;
import cloverpulley.membership.Observation.ServiceRecords;
import cloverpulley.membership.Observation.TextRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** A {@link Membership} on a virtual clock, with resolvers whose answers the test supplies. */
final class MembershipFixture {

  static final String DOMAIN = "_quote._tcp.example.";
  static final long START = 1_800_000_000_000L;

  final Rules rules;
  final Membership membership;
  final List<Change> changes = new ArrayList<>();
  final Map<String, Member> list = new TreeMap<>();
  long now = START;

  MembershipFixture(Rules rules) {
    this.rules = rules;
    membership = new Membership(rules, TextKeys.DEFAULT);
  }

  MembershipFixture(int resolvers) {
    this(Rules.of(resolvers));
  }

  static String name(String label) {
    return label + "." + DOMAIN;
  }

  /** The records that a resolver returns for one server. */
  static final class Server {
    final String label;
    String target;
    int port = 8000;
    String address;
    int priority;
    final Map<String, String> text = new HashMap<>();

    Server(String label, int number) {
      this.label = label;
      target = label + ".hosts.example.";
      address = "10.0." + number / 256 + "." + number % 256;
    }

    Server bootId(String bootId) {
      text.put("started", bootId);
      return this;
    }

    Server phase(String phase) {
      text.put("phase", phase);
      return this;
    }

    Server address(String other) {
      address = other;
      return this;
    }

    Server port(int other) {
      port = other;
      return this;
    }

    Server priority(int other) {
      priority = other;
      return this;
    }
  }

  static Server server(String label, int number) {
    return new Server(label, number);
  }

  /** A resolver answers a browse and all records of these servers. */
  void answer(int resolver, long serial, Server... servers) {
    answer(DOMAIN, resolver, serial, servers);
  }

  void answer(String domain, int resolver, long serial, Server... servers) {
    Set<String> names = new TreeSet<>();
    for (Server s : servers) {
      names.add(s.label + "." + domain);
    }
    observe(new Browsed(resolver, domain, names, serial, 60_000));
    for (Server s : servers) {
      observe(new ServiceRecords(resolver, s.label + "." + domain, List.of(new SrvRecord(s.priority, 0, s.target, s.port))));
      observe(new TextRecord(resolver, s.label + "." + domain, Map.copyOf(s.text)));
      observe(new Addresses(resolver, s.target, false, List.of(s.address)));
    }
    reconcile();
  }

  void fail(int resolver) {
    observe(new BrowseFailed(resolver, DOMAIN));
    reconcile();
  }

  void observe(Observation o) {
    membership.observe(now, o);
  }

  void reconcile() {
    membership.reconcile(now, c -> {
      changes.add(c);
      if (c.member().phase() == Phase.GONE) {
        list.remove(c.member().id());
      } else {
        list.put(c.member().id(), c.member());
      }
    });
  }

  /** Advances the clock and reconciles at every timer on the way. */
  void advance(long millis) {
    long until = now + millis;
    while (membership.nextTimerAt() <= until) {
      now = Math.max(now, membership.nextTimerAt());
      reconcile();
    }
    now = until;
    reconcile();
  }

  /** The phase of the server with this name; null if it is not on the list. */
  Phase phase(String label) {
    return find(label).map(Member::phase).orElse(null);
  }

  java.util.Optional<Member> find(String label) {
    return list.values().stream().filter(m -> m.instance().equals(name(label))).findFirst();
  }

  Member member(String label) {
    return find(label).orElseThrow();
  }

  long readyCount() {
    return list.values().stream().filter(m -> m.phase() == Phase.READY).count();
  }

  Change lastChange() {
    return changes.get(changes.size() - 1);
  }
}
