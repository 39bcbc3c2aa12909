package cloverpulley.model;

import cloverpulley.Balancer;
import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.Endpoint;
import cloverpulley.Balancer.Event;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.State;
import cloverpulley.Balancer.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One balancer: the real module, what its engine does for it, and an auditor that sees the truth. It decides nothing. Each request is owed
 * one final answer by its deadline; each sending one outcome.
 */
final class SimulatedBalancer {

  private static final class Sending {
    final long upstream;
    final long at;
    boolean over;

    Sending(long upstream, long at) {
      this.upstream = upstream;
      this.at = at;
    }
  }

  private static final class PendingRequest {
    final RequestClass type;
    final long at;
    final long work;
    final List<Sending> sendings = new ArrayList<>(1);
    int out;
    boolean ended;
    /** Whether a server has done it. */
    int ran;

    PendingRequest(RequestClass type, long at, long work) {
      this.type = type;
      this.at = at;
      this.work = work;
    }
  }

  private final Simulation world;
  private final Balancer module;
  private final Map<String, PendingRequest> open = new HashMap<>();
  private final Map<Long, Long> drainedSince = new HashMap<>();

  SimulatedBalancer(Simulation world, Balancer module) {
    this.world = world;
    this.module = module;
  }

  private void tell(Event e) {
    module.handle(world.now(), e, this::perform);
  }

  void news(ListKind kind, List<Endpoint> entries) {
    tell(new Balancer.EndpointUpdate(kind, entries));
  }

  /** The truth of what it has been told, for rule 3. */
  void toldAt(long upstream, State state) {
    if (state == State.READY) {
      drainedSince.remove(upstream);
    } else {
      drainedSince.putIfAbsent(upstream, world.now());
    }
  }

  void take(String id, RequestClass type, String key, long work) {
    world.result.asked++;
    PendingRequest o = new PendingRequest(type, world.now(), work);
    open.put(id, o);
    long deadline = world.now() + type.deadlineNanos();
    world.at(deadline, () -> {
      if (!o.ended) {
        end(o, "deadline", false);
        tell(new Balancer.ClientGone(id));
        forget(id, o);
      }
    });
    tell(new Balancer.Request(id, type.name(), null, key, deadline, 0, false));
  }

  private void perform(Action a) {
    if (a instanceof Balancer.Send s) {
      send(s);
    } else if (a instanceof Balancer.Reject r) {
      PendingRequest o = open.get(r.id());
      if (end(o, r.reason().code(), false)) {
        world.result.refused++;
      }
      forget(r.id(), o);
    } else if (a instanceof Balancer.Fail f) {
      PendingRequest o = open.get(f.id());
      end(o, f.reason().code(), false);
      forget(f.id(), o);
    } else if (a instanceof Balancer.Cancel c) {
      PendingRequest o = open.get(c.id());
      Sending s = o == null || c.attempt() >= o.sendings.size() ? null : o.sendings.get(c.attempt());
      if (s != null && !s.over) {
        outcome(c.id(), o, c.attempt(), Status.CANCELLED);
      }
    } else if (a instanceof Balancer.SetTimer t) {
      world.at(t.atNanos(), () -> tell(new Balancer.TimerFired(t.token())));
    } else if (a instanceof Balancer.Watch || a instanceof Balancer.FetchEndpoints) {
      world.after((long) (world.plan.listMillis() * 1e6), () -> news(ListKind.FULL, world.listed()));
    } else if (a instanceof Balancer.Probe p) {
      world.after(2 * world.network(), () -> tell(new Balancer.ProbeResult(p.upstream(), world.server(p.upstream(), true).dead
          ? Status.CONNECT_FAILED : Status.SERVED, 0, Map.of())));
    }
  }

  private void send(Balancer.Send s) {
    PendingRequest o = open.get(s.id());
    if (o == null) {
      throw new IllegalStateException("sent for a request that is over: " + s.id());
    }
    long now = world.now();
    int attempt = o.sendings.size();
    Sending sending = new Sending(s.upstream(), now);
    o.sendings.add(sending);
    o.out++;
    world.result.sent++;
    world.result.mix(now, s.upstream());
    Long drained = drainedSince.get(s.upstream());
    if (drained != null && now - drained > world.plan.settings().contract().drainGraceNanos()) {
      world.result.afterDrain++;
    }
    if (s.timeoutNanos() > 0) {
      world.after(s.timeoutNanos(), () -> {
        if (!sending.over) {
          outcome(s.id(), o, attempt, Status.TIMEOUT);
        }
      });
    }
    SimulatedServer server = world.server(s.upstream(), true);
    world.after(world.network(), () -> server.take(o.work, status -> {
      if (status == Status.SERVED && ++o.ran > 1 && o.type.effect() == Balancer.Effect.UNSAFE) {
        world.result.unsafeTwice++;
      }
      world.after(world.network(), () -> {
        if (!sending.over) {
          outcome(s.id(), o, attempt, status);
        }
      });
    }));
  }

  private void outcome(String id, PendingRequest o, int attempt, Status status) {
    Sending s = o.sendings.get(attempt);
    s.over = true;
    o.out--;
    if (status == Status.SERVED && !o.ended) {
      end(o, "served", true);
    }
    if (open.get(id) == o) {
      tell(new Balancer.Outcome(id, attempt, s.upstream, status, world.now() - s.at, o.ended, Map.of()));
      forget(id, o);
    }
  }

  /** The one final answer; whether it was the first. */
  private boolean end(PendingRequest o, String word, boolean served) {
    if (o == null || o.ended) {
      world.result.secondAnswers += o == null ? 0 : 1;
      return false;
    }
    o.ended = true;
    world.result.answered(o.type, word, served, world.now() - o.at);
    world.result.mix(world.now(), word.hashCode());
    return true;
  }

  private void forget(String id, PendingRequest o) {
    if (o != null && o.ended && o.out == 0) {
      open.remove(id);
    }
  }

  /** The play is over: whatever has no answer by now never gets one. */
  void over() {
    open.values().forEach(o -> world.result.withoutAnswer += o.ended ? 0 : 1);
  }
}
