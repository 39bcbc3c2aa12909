package cloverpulley.model;

import cloverpulley.Balancer;
import cloverpulley.Balancer.Endpoint;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.State;
import java.util.ArrayList;
import java.util.List;

/** Simulates a plan with one policy: the virtual clock, the servers, the clients and the faults. Single-threaded. */
public final class Simulation {

  /** Start of virtual time; no module reads an earlier time. Well above 0, so that the initial servers, started at 0, are older than the run. */
  static final long ORIGIN = 86_400_000_000_000L;
  private static final double NANOS_PER_MILLI = 1e6;

  final ModelPlan plan;
  final RandomStreams random;
  final SimulationResult result = new SimulationResult();
  final List<SimulatedServer> servers = new ArrayList<>();
  private final List<SimulatedBalancer> balancers = new ArrayList<>();
  private final EventQueue events = new EventQueue();
  private final Balancer.Contract contract;
  private long now = ORIGIN;
  private long requests;

  public Simulation(ModelPlan plan, Policy policy, long seed) {
    this.plan = plan;
    random = new RandomStreams(seed);
    contract = plan.settings().contract();
    for (int i = 0; i < plan.servers(); i++) {
      addServer(0);
    }
    for (int i = 0; i < plan.balancers(); i++) {
      balancers.add(new SimulatedBalancer(this, policy.newBalancer(plan.settings(), seed + i)));
    }
  }

  private SimulatedServer addServer(long startedAt) {
    SimulatedServer s = new SimulatedServer(this, 1 + servers.size(), servers.size() / 4, plan.workers(), plan.maxQueue(), startedAt,
        contract.slowStartMinRatio(), contract.slowStartNanos());
    servers.add(s);
    return s;
  }

  long now() {
    return now;
  }

  void scheduleAfter(long delayNanos, Runnable task) {
    events.add(now + Math.max(0, delayNanos), task);
  }

  void scheduleAt(long time, Runnable task) {
    events.add(Math.max(now, time), task);
  }

  /** The delay of a message in one direction. */
  long networkDelay() {
    return (long) (plan.networkMillis() * NANOS_PER_MILLI * (0.5 + random.network.nextDouble()));
  }

  SimulatedServer server(long id, boolean known) {
    if (!known || id < 1 || id > servers.size()) {
      throw new IllegalStateException("no server " + id);
    }
    return servers.get((int) id - 1);
  }

  List<Endpoint> endpoints() {
    List<Endpoint> endpoints = new ArrayList<>();
    for (SimulatedServer s : servers) {
      if (s.state != State.GONE) {
        endpoints.add(endpoint(s));
      }
    }
    return endpoints;
  }

  private Endpoint endpoint(SimulatedServer s) {
    return new Endpoint(s.id, plan.settings().zone(), s.cell, s.state, s.startedAt, 1);
  }

  // ---- Run -----------------------------------------------------------------------------------------------

  /** Runs the simulation, until the requests that are in flight at the end of the plan are past their deadlines. */
  public SimulationResult run() {
    balancers.forEach(b -> b.updateEndpoints(ListKind.CACHED, endpoints()));
    for (ModelPlan.Fault f : plan.faults()) {
      scheduleAt(ORIGIN + (long) (f.atSeconds() * 1e9), () -> inject(f));
    }
    long endOfRun = ORIGIN + (long) (plan.seconds() * 1e9);
    scheduleArrival(endOfRun);
    long lastDeadline = endOfRun + plan.settings().classes().stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0)
        + 1_000_000_000L;
    while (events.size() > 0 && events.nextTime() <= lastDeadline) {
      now = events.nextTime();
      events.poll().run();
      result.events++;
    }
    balancers.forEach(SimulatedBalancer::countUnanswered);
    result.serversUsed = servers.stream().filter(s -> s.served > 0).count();
    return result;
  }

  private void scheduleArrival(long endOfRun) {
    long at = now + Math.max(1, (long) (RandomStreams.exponential(random.arrivals, 1e9 / plan.rate())));
    if (at < endOfRun) {
      events.add(at, () -> {
        startRequest();
        scheduleArrival(endOfRun);
      });
    }
  }

  private void startRequest() {
    List<RequestClass> classes = plan.settings().classes();
    RequestClass requestClass = classes.get(random.arrivals.nextInt(classes.size()));
    double meanWork = plan.workMillis() * NANOS_PER_MILLI;
    long workNanos = Math.max(1, (long) (plan.constantWork() ? meanWork : RandomStreams.exponential(random.work, meanWork)));
    String key = plan.keys() == 0 ? null : "k" + random.arrivals.nextInt(plan.keys());
    balancers.get(random.choice.nextInt(balancers.size())).startRequest("q" + requests++, requestClass, key, workNanos);
  }

  private void inject(ModelPlan.Fault f) {
    int count = (int) Math.ceil(f.serverRatio() * plan.servers());
    List<Endpoint> changed = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      SimulatedServer s = servers.get(i);
      switch (f.kind()) {
        case KILL -> s.crash(); // A crash is not reported in the endpoint list.
        case SLOW -> s.slowdown = f.factor();
        case DRAIN -> {
          s.state = State.DRAINING;
          s.drainedAt = now;
          changed.add(endpoint(s));
        }
        default -> {
          s.crash();
          s.state = State.GONE;
          changed.add(endpoint(s));
          changed.add(endpoint(addServer(now)));
        }
      }
    }
    if (!changed.isEmpty()) {
      for (SimulatedBalancer b : balancers) {
        scheduleAfter((long) (plan.endpointListMillis() * NANOS_PER_MILLI * (0.5 + random.network.nextDouble() / 2)), () -> {
          changed.forEach(e -> b.recordEndpointState(e.upstream(), e.state()));
          b.updateEndpoints(ListKind.DELTA, changed);
        });
      }
    }
  }
}
