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

/** A membership module on a virtual clock, with resolvers that say what a test tells them to. */
final class Bench {

  static final String DOMAIN = "_quote._tcp.example.";
  static final long START = 1_800_000_000_000L;

  final Rules rules;
  final Membership module;
  final List<Change> changes = new ArrayList<>();
  final Map<String, Member> list = new TreeMap<>();
  long now = START;

  Bench(Rules rules) {
    this.rules = rules;
    module = new Membership(rules, TextKeys.DEFAULT);
  }

  Bench(int resolvers) {
    this(Rules.of(resolvers));
  }

  static String name(String label) {
    return label + "." + DOMAIN;
  }

  /** What a resolver tells of one server. */
  static final class Said {
    final String label;
    String target;
    int port = 8000;
    String address;
    int priority;
    final Map<String, String> text = new HashMap<>();

    Said(String label, int number) {
      this.label = label;
      target = label + ".hosts.example.";
      address = "10.0." + number / 256 + "." + number % 256;
    }

    Said boot(String boot) {
      text.put("started", boot);
      return this;
    }

    Said phase(String phase) {
      text.put("phase", phase);
      return this;
    }

    Said at(String other) {
      address = other;
      return this;
    }

    Said port(int other) {
      port = other;
      return this;
    }

    Said priority(int other) {
      priority = other;
      return this;
    }
  }

  static Said said(String label, int number) {
    return new Said(label, number);
  }

  /** A resolver answers in full. */
  void answer(int resolver, long serial, Said... servers) {
    answer(DOMAIN, resolver, serial, servers);
  }

  void answer(String domain, int resolver, long serial, Said... servers) {
    Set<String> names = new TreeSet<>();
    for (Said s : servers) {
      names.add(s.label + "." + domain);
    }
    observe(new Browsed(resolver, domain, names, serial, 60_000));
    for (Said s : servers) {
      observe(new ServiceRecords(resolver, s.label + "." + domain, List.of(new SrvRecord(s.priority, 0, s.target, s.port))));
      observe(new TextRecord(resolver, s.label + "." + domain, Map.copyOf(s.text)));
      observe(new Addresses(resolver, s.target, false, List.of(s.address)));
    }
    settle();
  }

  void fail(int resolver) {
    observe(new BrowseFailed(resolver, DOMAIN));
    settle();
  }

  void observe(Observation o) {
    module.observe(now, o);
  }

  void settle() {
    module.reconcile(now, c -> {
      changes.add(c);
      if (c.member().phase() == Phase.GONE) {
        list.remove(c.member().id());
      } else {
        list.put(c.member().id(), c.member());
      }
    });
  }

  /** Lets time pass, with every conclusion drawn at its time. */
  void pass(long millis) {
    long until = now + millis;
    while (module.nextTimerAt() <= until) {
      now = Math.max(now, module.nextTimerAt());
      settle();
    }
    now = until;
    settle();
  }

  /** The phase of the server that bears a name; null where none is on the list. */
  Phase phase(String label) {
    return of(label).map(Member::phase).orElse(null);
  }

  java.util.Optional<Member> of(String label) {
    return list.values().stream().filter(m -> m.instance().equals(name(label))).findFirst();
  }

  Member member(String label) {
    return of(label).orElseThrow();
  }

  long ready() {
    return list.values().stream().filter(m -> m.phase() == Phase.READY).count();
  }

  Change last() {
    return changes.get(changes.size() - 1);
  }
}
