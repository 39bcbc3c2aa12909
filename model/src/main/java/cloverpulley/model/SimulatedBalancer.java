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
 * A balancer: the decision module under test, a stand-in for the engine that executes its actions, and the checks of the invariants, which
 * use the true state of the simulation. All decisions are the module's. Every request must get exactly one final answer by its deadline,
 * and the module is notified of exactly one outcome per attempt.
 */
final class SimulatedBalancer {

  private static final class Attempt {
    final long upstream;
    final long sentAt;
    boolean ended;

    Attempt(long upstream, long sentAt) {
      this.upstream = upstream;
      this.sentAt = sentAt;
    }
  }

  private static final class PendingRequest {
    final RequestClass requestClass;
    final long startedAt;
    final long workNanos;
    final List<Attempt> attempts = new ArrayList<>(1);
    int inFlight;
    boolean answered;
    /** How many times a server has executed the request. */
    int executions;

    PendingRequest(RequestClass requestClass, long startedAt, long workNanos) {
      this.requestClass = requestClass;
      this.startedAt = startedAt;
      this.workNanos = workNanos;
    }
  }

  private final Simulation simulation;
  private final Balancer module;
  private final Map<String, PendingRequest> pending = new HashMap<>();
  private final Map<Long, Long> drainedSince = new HashMap<>();

  SimulatedBalancer(Simulation simulation, Balancer module) {
    this.simulation = simulation;
    this.module = module;
  }

  private void deliver(Event e) {
    module.handle(simulation.now(), e, this::execute);
  }

  void updateEndpoints(ListKind kind, List<Endpoint> endpoints) {
    deliver(new Balancer.EndpointUpdate(kind, endpoints));
  }

  /** Records when this balancer was notified that an upstream is no longer ready, to check that it stops sending within the grace period. */
  void recordEndpointState(long upstream, State state) {
    if (state == State.READY) {
      drainedSince.remove(upstream);
    } else {
      drainedSince.putIfAbsent(upstream, simulation.now());
    }
  }

  void startRequest(String id, RequestClass requestClass, String key, long workNanos) {
    simulation.result.requests++;
    PendingRequest request = new PendingRequest(requestClass, simulation.now(), workNanos);
    pending.put(id, request);
    long deadline = simulation.now() + requestClass.deadlineNanos();
    simulation.scheduleAt(deadline, () -> {
      if (!request.answered) {
        answer(request, "deadline", false);
        deliver(new Balancer.ClientGone(id));
        removeIfDone(id, request);
      }
    });
    deliver(new Balancer.Request(id, requestClass.name(), null, key, deadline, 0, false));
  }

  private void execute(Action a) {
    if (a instanceof Balancer.Send s) {
      send(s);
    } else if (a instanceof Balancer.Reject r) {
      PendingRequest request = pending.get(r.id());
      if (answer(request, r.reason().code(), false)) {
        simulation.result.rejected++;
      }
      removeIfDone(r.id(), request);
    } else if (a instanceof Balancer.Fail f) {
      PendingRequest request = pending.get(f.id());
      answer(request, f.reason().code(), false);
      removeIfDone(f.id(), request);
    } else if (a instanceof Balancer.Cancel c) {
      PendingRequest request = pending.get(c.id());
      Attempt attempt = request == null || c.attempt() >= request.attempts.size() ? null : request.attempts.get(c.attempt());
      if (attempt != null && !attempt.ended) {
        endAttempt(c.id(), request, c.attempt(), Status.CANCELLED);
      }
    } else if (a instanceof Balancer.SetTimer t) {
      simulation.scheduleAt(t.atNanos(), () -> deliver(new Balancer.TimerFired(t.token())));
    } else if (a instanceof Balancer.Watch || a instanceof Balancer.FetchEndpoints) {
      simulation.scheduleAfter((long) (simulation.plan.endpointListMillis() * 1e6),
          () -> updateEndpoints(ListKind.FULL, simulation.endpoints()));
    } else if (a instanceof Balancer.Probe p) {
      simulation.scheduleAfter(2 * simulation.networkDelay(), () -> deliver(new Balancer.ProbeResult(p.upstream(),
          simulation.server(p.upstream(), true).crashed ? Status.CONNECT_FAILED : Status.SERVED, 0, Map.of())));
    }
  }

  private void send(Balancer.Send s) {
    PendingRequest request = pending.get(s.id());
    if (request == null) {
      throw new IllegalStateException("attempt for a request that has completed: " + s.id());
    }
    long now = simulation.now();
    int attemptNumber = request.attempts.size();
    Attempt attempt = new Attempt(s.upstream(), now);
    request.attempts.add(attempt);
    request.inFlight++;
    simulation.result.sent++;
    simulation.result.updateHash(now, s.upstream());
    Long drainingSince = drainedSince.get(s.upstream());
    if (drainingSince != null && now - drainingSince > simulation.plan.settings().contract().drainGraceNanos()) {
      simulation.result.sentAfterDrain++;
    }
    if (s.timeoutNanos() > 0) {
      simulation.scheduleAfter(s.timeoutNanos(), () -> {
        if (!attempt.ended) {
          endAttempt(s.id(), request, attemptNumber, Status.TIMEOUT);
        }
      });
    }
    SimulatedServer server = simulation.server(s.upstream(), true);
    simulation.scheduleAfter(simulation.networkDelay(), () -> server.submit(request.workNanos, status -> {
      if (status == Status.SERVED && ++request.executions > 1 && request.requestClass.effect() == Balancer.Effect.UNSAFE) {
        simulation.result.unsafeReexecutions++;
      }
      simulation.scheduleAfter(simulation.networkDelay(), () -> {
        if (!attempt.ended) {
          endAttempt(s.id(), request, attemptNumber, status);
        }
      });
    }));
  }

  private void endAttempt(String id, PendingRequest request, int attemptNumber, Status status) {
    Attempt attempt = request.attempts.get(attemptNumber);
    attempt.ended = true;
    request.inFlight--;
    if (status == Status.SERVED && !request.answered) {
      answer(request, "served", true);
    }
    if (pending.get(id) == request) {
      deliver(new Balancer.Outcome(id, attemptNumber, attempt.upstream, status, simulation.now() - attempt.sentAt, request.answered, Map.of()));
      removeIfDone(id, request);
    }
  }

  /** Records the final answer to a request; returns false if it already had one. */
  private boolean answer(PendingRequest request, String outcome, boolean served) {
    if (request == null || request.answered) {
      simulation.result.duplicateAnswers += request == null ? 0 : 1;
      return false;
    }
    request.answered = true;
    simulation.result.recordAnswer(request.requestClass, outcome, served, simulation.now() - request.startedAt);
    simulation.result.updateHash(simulation.now(), outcome.hashCode());
    return true;
  }

  private void removeIfDone(String id, PendingRequest request) {
    if (request != null && request.answered && request.inFlight == 0) {
      pending.remove(id);
    }
  }

  /** Counts the requests that have no answer at the end of the simulation. */
  void countUnanswered() {
    pending.values().forEach(request -> simulation.result.unanswered += request.answered ? 0 : 1);
  }
}
