package cloverpulley.model;

import cloverpulley.Balancer;
import cloverpulley.Balancer.Endpoint;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.State;
import java.util.ArrayList;
import java.util.List;

/** One play of a plan with one policy: the virtual clock, the servers, the clients and the faults. Single-threaded. */
public final class Simulation {

  /** Before it no module's clock reading lies: servers are older than the play. */
  static final long ORIGIN = 86_400_000_000_000L;
  private static final double MILLI = 1e6;

  final ModelPlan plan;
  final RandomStreams draws;
  final SimulationResult result = new SimulationResult();
  final List<SimulatedServer> servers = new ArrayList<>();
  private final List<SimulatedBalancer> balancers = new ArrayList<>();
  private final EventQueue agenda = new EventQueue();
  private final Balancer.Contract contract;
  private long now = ORIGIN;
  private long requests;

  public Simulation(ModelPlan plan, Policy policy, long seed) {
    this.plan = plan;
    draws = new RandomStreams(seed);
    contract = plan.settings().contract();
    for (int i = 0; i < plan.servers(); i++) {
      server(0);
    }
    for (int i = 0; i < plan.balancers(); i++) {
      balancers.add(new SimulatedBalancer(this, policy.make(plan.settings(), seed + i)));
    }
  }

  private SimulatedServer server(long startedAt) {
    SimulatedServer s = new SimulatedServer(this, 1 + servers.size(), servers.size() / 4, plan.workers(), plan.queueMost(), startedAt,
        contract.slowStartMinRatio(), contract.slowStartNanos());
    servers.add(s);
    return s;
  }

  long now() {
    return now;
  }

  void after(long nanos, Runnable task) {
    agenda.put(now + Math.max(0, nanos), task);
  }

  void at(long time, Runnable task) {
    agenda.put(Math.max(now, time), task);
  }

  /** One way of a message. */
  long network() {
    return (long) (plan.networkMillis() * MILLI * (0.5 + draws.network.nextDouble()));
  }

  SimulatedServer server(long id, boolean known) {
    if (!known || id < 1 || id > servers.size()) {
      throw new IllegalStateException("no server " + id);
    }
    return servers.get((int) id - 1);
  }

  List<Endpoint> listed() {
    List<Endpoint> all = new ArrayList<>();
    for (SimulatedServer s : servers) {
      if (s.state != State.GONE) {
        all.add(entry(s));
      }
    }
    return all;
  }

  private Endpoint entry(SimulatedServer s) {
    return new Endpoint(s.id, plan.settings().zone(), s.cell, s.state, s.startedAt, 1);
  }

  // ---- The play ------------------------------------------------------------------------------------------

  /** Plays it, and what is in hand at its end to its end. */
  public SimulationResult run() {
    balancers.forEach(b -> b.news(ListKind.CACHED, listed()));
    for (ModelPlan.Fault f : plan.faults()) {
      at(ORIGIN + (long) (f.atSeconds() * 1e9), () -> befall(f));
    }
    long end = ORIGIN + (long) (plan.seconds() * 1e9);
    arrival(end);
    long last = end + plan.settings().classes().stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0) + 1_000_000_000L;
    while (agenda.size() > 0 && agenda.nextAt() <= last) {
      now = agenda.nextAt();
      agenda.take().run();
      result.events++;
    }
    balancers.forEach(SimulatedBalancer::over);
    result.serversUsed = servers.stream().filter(s -> s.served > 0).count();
    return result;
  }

  private void arrival(long end) {
    long at = now + Math.max(1, (long) (RandomStreams.exponential(draws.arrivals, 1e9 / plan.rate())));
    if (at < end) {
      agenda.put(at, () -> {
        request();
        arrival(end);
      });
    }
  }

  private void request() {
    List<RequestClass> classes = plan.settings().classes();
    RequestClass type = classes.get(draws.arrivals.nextInt(classes.size()));
    double work = plan.workMillis() * MILLI;
    long nanos = Math.max(1, (long) (plan.steady() ? work : RandomStreams.exponential(draws.work, work)));
    String key = plan.keys() == 0 ? null : "k" + draws.arrivals.nextInt(plan.keys());
    balancers.get(draws.choice.nextInt(balancers.size())).take("q" + requests++, type, key, nanos);
  }

  private void befall(ModelPlan.Fault f) {
    int count = (int) Math.ceil(f.part() * plan.servers());
    List<Endpoint> news = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      SimulatedServer s = servers.get(i);
      switch (f.kind()) {
        case KILL -> s.die(); // The list does not know.
        case SLOW -> s.slowness = f.factor();
        case DRAIN -> {
          s.state = State.DRAINING;
          s.drainedAt = now;
          news.add(entry(s));
        }
        default -> {
          s.die();
          s.state = State.GONE;
          news.add(entry(s));
          news.add(entry(server(now)));
        }
      }
    }
    if (!news.isEmpty()) {
      for (SimulatedBalancer b : balancers) {
        after((long) (plan.listMillis() * MILLI * (0.5 + draws.network.nextDouble() / 2)), () -> {
          news.forEach(l -> b.toldAt(l.upstream(), l.state()));
          b.news(ListKind.DELTA, news);
        });
      }
    }
  }
}
