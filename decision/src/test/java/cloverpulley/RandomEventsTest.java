package cloverpulley;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.Cancel;
import cloverpulley.Balancer.ClientGone;
import cloverpulley.Balancer.Contract;
import cloverpulley.Balancer.DedupScope;
import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Endpoint;
import cloverpulley.Balancer.EndpointUpdate;
import cloverpulley.Balancer.Event;
import cloverpulley.Balancer.Fail;
import cloverpulley.Balancer.Limits;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.Penalties;
import cloverpulley.Balancer.Reject;
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
import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random valid events over seeds and settings; checks the four rules without knowledge of the implementation. */
class RandomEventsTest {

  private static final long MS = 1_000_000L;

  private record SentAttempt(long upstream, String zone, int cell, long at) {}

  /** What the test has seen of one request. */
  private static final class Entry {
    final RequestClass type;
    final long deadline;
    final List<SentAttempt> attempts = new ArrayList<>();
    final List<Status> outcomes = new ArrayList<>();
    boolean answered;

    Entry(RequestClass type, long deadline) {
      this.type = type;
      this.deadline = deadline;
    }

    int inFlight() {
      return (int) outcomes.stream().filter(e -> e == null).count();
    }
  }

  private final Map<String, Entry> requests = new LinkedHashMap<>();
  private final Map<Long, Endpoint> fleet = new LinkedHashMap<>();
  private final List<Long> timers = new ArrayList<>();
  private SplittableRandom random;
  private Settings settings;
  private Balancer module;
  private long now = 5_000_000 * MS;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
  void rulesHold(long seed) {
    random = new SplittableRandom(seed);
    settings = settings();
    module = new Logic(settings, seed);
    for (int i = 0; i < 8; i++) {
      change(i);
    }
    step(new EndpointUpdate(ListKind.CACHED, List.copyOf(fleet.values())));
    int id = 0;
    for (int round = 0; round < 3000; round++) {
      now += random.nextLong(6) * MS;
      fireTimers();
      if (random.nextInt(100) < 4) {
        Endpoint changed = change(random.nextInt(12));
        step(random.nextBoolean() ? new EndpointUpdate(ListKind.DELTA, List.of(changed))
            : new EndpointUpdate(ListKind.FULL, List.copyOf(fleet.values())));
      } else if (random.nextInt(100) < 1) {
        step(new EndpointUpdate(ListKind.FAILED, List.of()));
      }
      for (int n = random.nextInt(4); n > 0; n--) {
        RequestClass type = settings.classes().get(random.nextInt(settings.classes().size()));
        long deadline = now + (20 + random.nextInt(600)) * MS;
        requests.put("r" + id, new Entry(type, deadline));
        step(new Request("r" + id++, type.name(), random.nextBoolean() ? "t" : null,
            random.nextInt(5) == 0 ? null : "k" + random.nextInt(30), deadline, 0, false));
      }
      endAttempts(40);
    }
    for (int round = 0; round < 300; round++) {
      now += 5 * MS;
      fireTimers();
      endAttempts(100);
    }
    requests.forEach((name, e) -> assertTrue(e.answered, "no final answer for " + name));
    long idle = timers.size();
    now += 60_000 * MS;
    fireTimers();
    assertTrue(timers.size() <= 1 && idle <= 2, "state empties when traffic stops: " + timers.size() + " timers");
    assertEquals(0, sizeOf("pending"), "requests still pending");
    assertEquals(0, sizeOf("queue"), "requests still queued");
  }

  /** Returns the size of a private collection of the policy, which can't be seen from outside. */
  private int sizeOf(String field) {
    try {
      Field f = Logic.class.getDeclaredField(field);
      f.setAccessible(true);
      Object collection = f.get(module);
      return collection instanceof Map<?, ?> map ? map.size() : ((Collection<?>) collection).size();
    } catch (ReflectiveOperationException e) {
      throw new AssertionError(e);
    }
  }

  private Settings settings() {
    List<RequestClass> classes = new ArrayList<>();
    for (Effect effect : Effect.values()) {
      for (DedupScope scope : DedupScope.values()) {
        classes.add(new RequestClass(effect + " " + scope, effect, scope, (50 + random.nextInt(300)) * MS,
            (50 + random.nextInt(200)) * MS, 0, 700 * MS, 1 + random.nextInt(3), 0, false));
      }
    }
    return new Settings(0, 1 + random.nextInt(3), "z0", classes, List.of(new Tenant("t", 1, random.nextInt(200))),
        new Limits(random.nextBoolean(), false, false, random.nextBoolean(), true, 1000 * MS, 1 + random.nextInt(6),
            40 + random.nextInt(1000), 1, 100 * MS),
        new Contract(12 * MS, random.nextBoolean() ? 10_000 * MS : 0, 0, 0.2, 5000 * MS, 3, 2000 * MS),
        new Penalties(0, 0, 0), random.nextBoolean(), WeightKind.values()[random.nextInt(4)], 0.1, true, MS);
  }

  /** Gives one upstream a new random state. */
  private Endpoint change(long id) {
    State state = random.nextInt(3) > 0 ? State.READY : random.nextBoolean() ? State.DRAINING : State.GONE;
    Endpoint endpoint = new Endpoint(id, "z" + id % 2, (int) (id / 3 * 2 + id % 2), state,
        random.nextInt(4) == 0 ? now : 0, 1 + random.nextInt(4));
    fleet.put(id, endpoint);
    return endpoint;
  }

  private void fireTimers() {
    List<Long> due = timers.stream().filter(t -> t <= now).toList();
    timers.removeIf(t -> t <= now);
    due.forEach(t -> step(new TimerFired("sweep")));
  }

  /** Ends some attempts: those past the deadline time out, others end at random. */
  private void endAttempts(int percent) {
    for (Map.Entry<String, Entry> entry : List.copyOf(requests.entrySet())) {
      Entry e = entry.getValue();
      for (int i = 0; i < e.attempts.size(); i++) {
        boolean late = now >= e.deadline;
        if (e.outcomes.get(i) == null && (late || random.nextInt(100) < percent / 4)) {
          Status status = e.answered && random.nextBoolean() ? Status.CANCELLED : late ? Status.TIMEOUT
              : random.nextInt(2) == 0 ? Status.SERVED : Status.values()[random.nextInt(Status.values().length)];
          e.outcomes.set(i, status);
          e.answered |= status == Status.SERVED;
          step(new Outcome(entry.getKey(), i, e.attempts.get(i).upstream(), status, now - e.attempts.get(i).at(), e.answered,
              Map.of()));
        }
      }
      if (!e.answered && random.nextInt(2000) == 0) {
        e.answered = true;
        step(new ClientGone(entry.getKey()));
      }
      assertTrue(e.answered || now <= e.deadline + settings.contract().answerSlackNanos(), "late: " + entry.getKey());
    }
    requests.values().removeIf(e -> e.answered && e.inFlight() == 0);
  }

  private void step(Event event) {
    List<Action> actions = new ArrayList<>();
    module.handle(now, event, actions::add);
    for (Action action : actions) {
      if (action instanceof SetTimer t) {
        timers.add(t.atNanos());
      } else if (action instanceof Send s) {
        checkSend(requests.get(s.id()), s);
      } else if (action instanceof Reject r) {
        Entry e = requests.get(r.id());
        assertTrue(!e.answered, "one final answer");
        boolean mayHaveRun = e.outcomes.stream().anyMatch(x -> x == null || !x.provesNotRun());
        assertTrue(!mayHaveRun || e.type.effect() == Effect.SAFE
            || e.type.effect() == Effect.KEYED && e.type.dedupScope() == DedupScope.ALL, "rejected although a retry is not safe");
        e.answered = true;
      } else if (action instanceof Fail f) {
        assertTrue(!requests.get(f.id()).answered, "one final answer");
        requests.get(f.id()).answered = true;
      } else if (action instanceof Cancel) {
        assertTrue(settings.limits().cancel());
      }
    }
  }

  private void checkSend(Entry e, Send s) {
    Endpoint to = fleet.get(s.upstream());
    assertTrue(!e.answered, "sent after the final answer");
    assertEquals(State.READY, to.state(), "sent to a draining or gone upstream");
    assertTrue(e.attempts.size() < settings.limits().maxAttempts(), "too many attempts");
    assertTrue(e.inFlight() == 0 || settings.limits().hedging(), "hedged although hedging is off");
    assertTrue(now < e.deadline, "sent past the deadline");
    for (int i = 0; i < e.attempts.size(); i++) {
      SentAttempt t = e.attempts.get(i);
      if (e.type.effect() != Effect.SAFE && (e.outcomes.get(i) == null || !e.outcomes.get(i).provesNotRun())) {
        assertEquals(Effect.KEYED, e.type.effect(), "unsafe request retried");
        assertTrue(now - t.at() < e.type.dedupWindowNanos(), "retried past the window");
        assertTrue(e.type.dedupScope() == DedupScope.ALL
            || e.type.dedupScope() == DedupScope.ZONE && t.zone().equals(to.zone())
            || e.type.dedupScope() == DedupScope.CELL && t.cell() == to.cell(), "retried outside the group");
      }
    }
    e.attempts.add(new SentAttempt(to.upstream(), to.zone(), to.cell(), now));
    e.outcomes.add(null);
  }
}
