package cloverpulley;

import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.Contract;
import cloverpulley.Balancer.DedupScope;
import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Endpoint;
import cloverpulley.Balancer.EndpointUpdate;
import cloverpulley.Balancer.Event;
import cloverpulley.Balancer.Limits;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.Penalties;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.Send;
import cloverpulley.Balancer.SetTimer;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.State;
import cloverpulley.Balancer.Status;
import cloverpulley.Balancer.Tenant;
import cloverpulley.Balancer.TimerFired;
import cloverpulley.Balancer.WeightKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Drives one instance with a virtual clock, its timers and the attempts that are in flight. */
final class Driver {

  static final long MS = 1_000_000L;

  final Balancer module;
  final List<Long> timers = new ArrayList<>();
  final List<Sent> outstanding = new ArrayList<>();
  final Map<String, Integer> rejections = new HashMap<>();
  final Map<String, Integer> attempts = new HashMap<>();
  long now = 1_000_000_000_000L;
  private int ids;

  /** An attempt that has no outcome yet. */
  record Sent(String id, int attempt, long upstream, long at) {}

  Driver(Settings settings) {
    this(settings, 7);
  }

  Driver(Settings settings, long seed) {
    module = new Logic(settings, seed);
  }

  static RequestClass type(String name, Effect effect, DedupScope scope) {
    return new RequestClass(name, effect, scope, 2000 * MS, 400 * MS, 0, 2000 * MS, 1, 0, false);
  }

  static Settings settings(boolean onRequest, List<Tenant> tenants, RequestClass... classes) {
    return new Settings(0, 1, "a", List.of(classes), tenants,
        new Limits(true, false, false, true, true, 1000 * MS, 4, 10_000, 1, 200 * MS),
        new Contract(8 * MS, onRequest ? 10_000 * MS : 0, 250 * MS, 0.3, 8000 * MS, 3, 3000 * MS),
        new Penalties(0, 0, 0), onRequest, WeightKind.NONE, 0.2, true, MS);
  }

  static Settings safe() {
    return settings(false, List.of(), type("c", Effect.SAFE, DedupScope.ALL));
  }

  static Endpoint up(long id) {
    return new Endpoint(id, "a", 0, State.READY, 0, 1);
  }

  List<Action> step(Event event) {
    List<Action> actions = new ArrayList<>();
    module.handle(now, event, actions::add);
    for (Action action : actions) {
      if (action instanceof SetTimer t) {
        timers.add(t.atNanos());
      } else if (action instanceof Balancer.Reject r) {
        rejections.merge(r.id().substring(0, 1), 1, Integer::sum);
      } else if (action instanceof Send s) {
        outstanding.add(new Sent(s.id(), attempts.merge(s.id(), 1, Integer::sum) - 1, s.upstream(), now));
      }
    }
    return actions;
  }

  List<Action> list(ListKind kind, Endpoint... entries) {
    return step(new EndpointUpdate(kind, List.of(entries)));
  }

  Driver upstreams(int n) {
    Endpoint[] entries = new Endpoint[n];
    for (int i = 0; i < n; i++) {
      entries[i] = up(100 + i);
    }
    list(ListKind.CACHED, entries);
    return this;
  }

  String nextId() {
    return "r" + ids++;
  }

  List<Action> request(String id, String type, String key) {
    return request(id, type, null, key, 0);
  }

  List<Action> request(String id, String type, String tenant, String key, long hint) {
    return step(new Request(id, type, tenant, key, now + 2000 * MS, hint, false));
  }

  /** Ends the attempt of a request at an upstream. */
  List<Action> end(String id, long upstream, Status status, long latencyNanos) {
    Sent sent = outstanding.stream().filter(s -> s.id().equals(id) && s.upstream() == upstream).findFirst().get();
    return end(sent, status, latencyNanos);
  }

  List<Action> end(Sent sent, Status status, long latencyNanos) {
    outstanding.remove(sent);
    return step(new Outcome(sent.id(), sent.attempt(), sent.upstream(), status, latencyNanos,
        status == Status.SERVED, Map.of()));
  }

  /** Advances the clock with upstreams that end every attempt after the latency. */
  void serveFor(long nanos, Status status, long latencyNanos) {
    for (long end = now + nanos; now < end; ) {
      pass(Math.min(5 * MS, end - now));
      for (Sent s : List.copyOf(outstanding)) {
        if (now - s.at() >= latencyNanos && outstanding.contains(s)) {
          end(s, status, now - s.at());
        }
      }
    }
  }

  /** Sends one request, which is served after a latency; returns its upstream, or -1 if it was not sent. */
  long serve(String key, long latencyNanos) {
    String id = nextId();
    long upstream = sentTo(request(id, "c", key));
    if (upstream >= 0) {
      pass(latencyNanos);
      end(id, upstream, Status.SERVED, latencyNanos);
    }
    return upstream;
  }

  /** Advances the clock and fires the timers that expire; returns all actions. */
  List<Action> pass(long nanos) {
    List<Action> actions = new ArrayList<>();
    long end = now + nanos;
    while (true) {
      long due = timers.stream().mapToLong(t -> t).min().orElse(Long.MAX_VALUE);
      if (due > end) {
        break;
      }
      timers.remove(due);
      now = Math.max(now, due);
      actions.addAll(step(new TimerFired("sweep")));
    }
    now = end;
    return actions;
  }

  static long sentTo(List<Action> actions) {
    return actions.stream().filter(a -> a instanceof Send).mapToLong(a -> ((Send) a).upstream()).findFirst().orElse(-1);
  }

  static boolean has(List<Action> actions, Class<? extends Action> kind) {
    return actions.stream().anyMatch(kind::isInstance);
  }
}
