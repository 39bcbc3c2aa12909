package cloverpulley;

import cloverpulley.Window.Metric;
import cloverpulley.state.BalancerSnapshot;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Every decision of a balancer; its interface (settings, events, actions) is in Balancer.java. Ordinary path:
 * {@link #admit} refuses at the allowed rate, {@link #place} picks by bounded load, {@link #learn} looks.
 */
public final class Logic implements Balancer {

  private static final long SECOND = 1_000_000_000L;
  /** The window in longest aims, a second at least: long enough for a mean, short enough to see it change. */
  private static final double WINDOW_AIMS = 2;
  /** The line, in parts of the class's aim: half an aim is healthy, a whole one critical. */
  private static final double MIN_VALUE = 0.5;
  private static final double MAX_VALUE = 1.0;
  /** maxRate is what the key was offered in the window and a tenth more; minRate this part of it. */
  private static final double HEADROOM = 1.1;
  /** So many samples count as much as what is known without them: for a key the fleet's mean, for the fleet
   * health. Guards against one slow answer among few, where traffic is spread thin over many balancers. */
  private static final double FEW = 5;
  private static final double MIN_PART = 0.02;
  /** The line of worthless excess lies at this part of the latencies: gone before in-share work suffers. */
  private static final double EXCESS_EARLY = 0.3;
  /** An upstream with fewer answers in the window has no room worth reckoning with. */
  private static final int ENOUGH = 10;
  /** Windows over which a healthy fleet's usual in-flight is learned: slower than a crowd forms. */
  private static final double USUAL_WINDOWS = 2;
  /** Bounded load: an upstream may hold half more than the mean of in-flight requests. */
  private static final double SLACK = 0.5;
  /** A key goes to this many upstreams, and to this many times its share of all as well. */
  private static final int KEY_SPREAD = 2;
  /** How slow an upstream is against the fleet: a mean over this time, of which one sample moves this part at
   * most and counts for this many means at most; forgotten over the longer time. Keys are kept by a power. */
  private static final double SLOW_MEAN = 2 * SECOND;
  private static final double SLOW_STEP = 0.3;
  private static final double SLOW_MOST = 4;
  private static final double SLOW_KEPT = 10 * SECOND;
  private static final double SLOW_POWER = 3;
  /** From this slowness of the best near choice a key leaves its zone: guards a zone that gets too much. */
  private static final double LEAVE_AT = 3;
  /** Room: in-flight requests at which the mean latency would be this part of the aim (Little's law). */
  private static final double ROOM_PART = 0.36;
  /** Room never falls below this, or no upstream could show that it is idle. */
  private static final int ROOM_LEAST = 2;
  /** A request without an upstream is held for this part of its aim, then refused: still early. */
  private static final double HOLD_PART = 0.3;
  /** Held requests tried in vain after an outcome: bounds the work where nothing has room. */
  private static final int HELD_TRIES = 4;
  /** An upstream is silent after this many times the usual time between its answers, and this part of the
   * shortest aim: heavy requests cause shorter silences, and under so many samples nothing is usual. */
  private static final double SILENT_GAPS = 8;
  private static final int SILENT_SAMPLES = 4;
  private static final double SILENT_PART = 0.3;
  /** Ring points of an upstream of ordinary weight: enough for a spread within some 10%. */
  private static final int POINTS = 100;
  /** A weight counts for this many times the median at most, and no less than its inverse. */
  private static final double WEIGHT_MOST = 4;
  /** The sweep over requests in hand comes this many times in the shortest aim. */
  private static final int SWEEPS = 8;
  /** Failures in a row that eject an upstream, the first and the longest ejection. */
  private static final int EJECT_AFTER = 3;
  private static final long EJECT_FIRST = SECOND / 2;
  private static final long EJECT_MOST = 8 * SECOND;
  /** With more than this share of the ready upstreams ejected or silent, both are ignored (panic floor). */
  private static final double PANIC_SHARE = 0.5;
  /** Back-off of calls for the list. */
  private static final long ASK_FIRST = SECOND / 2;
  private static final long ASK_MOST = 2 * SECOND;
  /** Share of the cold budget's window that may be sent at once. */
  private static final double COLD_BURST = 0.25;
  /** Sends a second that all balancers together may always give to a cold upstream. */
  private static final double COLD_TRICKLE = 2;
  /** The usual sends to an upstream are forgotten over this time: longer than most outages. */
  private static final long SENDS_KEPT = 30 * SECOND;

  /** The timer of requests that have to be sent or ended before their deadline. */
  private static final String ANSWER = "answer";

  private Settings settings;
  private final SplittableRandom random;
  private final long window;
  private long shortestAim;
  private long sweep;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Windows windows;
  private final Shares shares;
  private final Hints hints;
  private final Upstreams upstreams;
  private final Map<String, Open> open = new LinkedHashMap<>();
  /** Requests without an attempt out, the most valuable first, then the oldest. */
  private final TreeSet<Open> held = new TreeSet<>(Comparator.comparingDouble((Open r) -> -value(r))
      .thenComparingLong(r -> r.arrived).thenComparing(r -> r.request.id()));
  private final Window fleet;
  private double baselineInFlight;
  private double baselineSendRate;
  /** The ready upstreams by id, and the ring of which they are the members. */
  private Upstream[] owners = {};
  private Ring ring;
  private int ready;
  private boolean panic;
  private double readyLoad;
  private double referenceWeight;
  private long visits;
  private final RetryBudget retries = new RetryBudget();
  private boolean sweeping;
  /** Processes that serve as this balancer: what it may as a whole is divided among them. */
  private int processes = 1;
  private int askFailures;
  private long askAt = Long.MAX_VALUE;
  private long now;
  private Consumer<Action> out;

  /** Makes the decisions of one balancer; the seed is its only source of randomness. */
  public Logic(Settings settings, long seed) {
    random = new SplittableRandom(seed);
    tune(settings);
    long longest = settings.classes().stream().mapToLong(RequestClass::aimNanos).max().getAsLong();
    window = Math.max(SECOND, (long) (WINDOW_AIMS * longest));
    fleet = new Window(window, 0);
    upstreams = new Upstreams(window / 2);
    windows = new Windows(window);
    shares = new Shares(settings, windows);
    hints = new Hints(shortestAim);
  }

  /** The windows keep their length: what they hold would be lost with it. */
  private void tune(Settings to) {
    settings = to;
    classes.clear();
    to.classes().forEach(c -> classes.put(c.name(), c));
    shortestAim = to.classes().stream().mapToLong(RequestClass::aimNanos).min().getAsLong();
    sweep = shortestAim / SWEEPS;
  }

  @Override
  public void handle(long nowNanos, Event event, Consumer<Action> actions) {
    now = nowNanos;
    out = actions;
    if (event instanceof Request e) {
      onRequest(e);
    } else if (event instanceof Outcome e) {
      onOutcome(e);
    } else if (event instanceof TimerFired e && e.token().equals(ANSWER)) {
      // What is held past the time by which it has to be sent or ended.
      held.stream().filter(r -> answerDue(r)).toList().forEach(this::advance);
    } else if (event instanceof TimerFired) {
      onSweep();
    } else if (event instanceof EndpointUpdate e) {
      onList(e);
    } else if (event instanceof UpstreamSetOffline e) {
      upstreams.takeOut(e.upstream(), now - e.offlineNanos());
      rebuildRing();
    } else if (event instanceof UpstreamSetOnline e) {
      upstreams.callBack(now, e.upstream());
      rebuildRing();
    } else if (event instanceof SnapshotRequested) {
      out.accept(new PublishSnapshot(new BalancerSnapshot(upstreams.all().map(u -> u.known(now)).toList(),
          windows.totals(now, BalancerSnapshot.MAX_WINDOWS), fleet.totals(now), baselineInFlight,
          baselineSendRate, hints.usual, referenceWeight, retries.tokens)));
    } else if (event instanceof SettingsChanged e) {
      tune(e.settings());
      shares.retune(settings);
    } else if (event instanceof ProcessCountChanged e) {
      processes = e.processes();
    } else if (event instanceof SnapshotRestored e) {
      inherit(e.snapshot());
    } else if (event instanceof ClientGone e) {
      if (open.containsKey(e.id()) && !open.get(e.id()).ended) {
        release(open.get(e.id()));
      }
    } else if (event instanceof AnswerStarted e) {
      onAnswerStarted(e);
    } else if (event instanceof BodyEnded e && open.get(e.id()) != null) {
      onBodyEnded(open.get(e.id()), e.deadlineNanos());
    } else if (event instanceof BodyDiscarded e && open.get(e.id()) != null) {
      open.get(e.id()).once = true;
    }
    if (!sweeping && (!open.isEmpty() || askAt != Long.MAX_VALUE)) {
      sweeping = true;
      out.accept(new SetTimer("sweep", now + sweep));
    }
  }

  // ---- Admission: the straight line ---------------------------------------------------------------------

  /** The published line: from maxRate at or below minValue down to minRate at or above maxValue. */
  static double allowedRate(double mean, double minValue, double maxValue, double maxRate, double minRate) {
    double part = Math.min(1, Math.max(0, (mean - minValue) / (maxValue - minValue)));
    return maxRate + part * (minRate - maxRate);
  }

  private void onRequest(Request request) {
    RequestClass type = classes.get(request.className());
    if (type == null) {
      throw new IllegalArgumentException("request of unknown class " + request.className());
    }
    boolean excess = shares.isOver(now, request.tenant());
    String endpoint = request.className() + ' ' + request.tenant() + (excess ? " over" : "");
    Window key = windows.of(endpoint + ' ' + request.key(), now);
    Open r = new Open(request, type, now, excess, windows.of(endpoint, now), key,
        hints.load(request.workHintNanos()), settings.limits().maxAttempts());
    boolean repeat = !request.priorAttempts().isEmpty();
    request.priorAttempts().forEach(e -> r.attempts.add(upstreams.priorAttempt(e)));
    boolean full = open.size() >= settings.limits().maxPending();
    // A repeat is a further attempt of what was admitted once: the retry budget bounds it, not the line.
    if (full || !repeat && !admit(r)) {
      answer(r, full ? Reason.TABLE_FULL : Reason.OVER_RATE);
      return;
    }
    open.put(request.id(), r);
    if (!repeat) {
      retries.earn();
    }
    if (!advance(r) && request.answerByNanos() > 0) {
      out.accept(new SetTimer(ANSWER, request.answerByNanos()));
    }
  }

  int upstreamsKept() {
    return (int) upstreams.all().count();
  }

  int windowsKept() {
    return windows.size();
  }

  /** Refuses at the allowed rate; the key is the endpoint: class, tenant, within or over quota. Overload of
   * the fleet is nobody's key, so the line takes the worse of its mean and the fleet's. Work over a quota is
   * worth less, so its line falls sooner: one tenant throttles itself first. */
  private boolean admit(Open r) {
    r.key.add(now, Metric.OFFERED, 1);
    r.endpoint.add(now, Metric.OFFERED, 1);
    fleet.add(now, Metric.OFFERED, 1);
    double all = fleet.mean(now, MIN_VALUE / 2, FEW);
    double mean = Math.max(r.endpoint.mean(now, all, FEW), all);
    double maxRate = r.endpoint.total(now, Metric.OFFERED) * HEADROOM;
    double early = r.excess ? EXCESS_EARLY + (1 - EXCESS_EARLY) * settings.overShareWorth() : 1;
    double allowed = allowedRate(mean, MIN_VALUE * early, MAX_VALUE * early, maxRate, maxRate * MIN_PART);
    // Guards work inside a quota from what this balancer did not cause: no more is out than while healthy.
    boolean idle = shares.has(r.request.tenant())
        && readyLoad + held.size() < baselineInFlight * ready / processes;
    if (r.endpoint.total(now, Metric.ADMITTED) >= allowed && (r.excess || !idle)) {
      return false;
    }
    r.endpoint.add(now, Metric.ADMITTED, 1);
    return true;
  }

  private double value(Open r) {
    return r.type.worth() * (r.excess ? settings.overShareWorth() : 1);
  }

  private long retryAfter() {
    long most = settings.limits().retryAfter() ? settings.limits().maxRetryAfterNanos() : 0;
    return (long) (most * random.nextDouble());
  }

  // ---- Placement: bounded-load hashing on a ring of ready upstreams -------------------------------------

  private void rebuildRing() {
    Upstream[] before = owners;
    owners = upstreams.all().filter(upstreams::serves)
        .sorted(Comparator.comparingLong(u -> u.id)).toArray(Upstream[]::new);
    if (Arrays.equals(before, owners)) {
      return; // Building is the dearest step in a large fleet; most news is of drains that end.
    }
    ready = owners.length;
    readyLoad = Arrays.stream(owners).mapToDouble(u -> u.load).sum();
    boolean sized = settings.weightKind() == WeightKind.NOMINAL || settings.weightKind() == WeightKind.ROUGH;
    if (referenceWeight == 0 && ready > 0) {
      // Kept for life, so that a change of the list moves the changed upstream's keys only.
      referenceWeight =
          Arrays.stream(owners).mapToDouble(u -> u.listed.weight()).sorted().toArray()[ready / 2];
    }
    ring = new Ring(Arrays.stream(owners).mapToLong(u -> u.id).toArray(),
        Arrays.stream(owners).mapToInt(u -> (int) Math.round(POINTS * (sized ? share(u) : 1))).toArray());
  }

  private double share(Upstream u) {
    return referenceWeight <= 0 ? 1
        : Math.min(WEIGHT_MOST, Math.max(1 / WEIGHT_MOST, u.listed.weight() / referenceWeight));
  }

  /** The first upstream from the key's place on the ring that may take it, own zone first; or null. */
  private Upstream place(Open r) {
    long point = r.request.key() == null ? random.nextLong() : Ring.mix(Ring.mix(r.request.key().hashCode()));
    int start = ready == 0 ? 0 : ring.start(point);
    // Guards against keys that leave their warm upstreams in a crowd: each move is work, and so more crowd.
    double share = r.key.total(now, Metric.OFFERED) / Math.max(1, fleet.total(now, Metric.OFFERED));
    double most = settings.warmKeys() ? KEY_SPREAD + Math.ceil(KEY_SPREAD * ready * share) : ready;
    Upstream away = null;
    Upstream passed = null;
    visits++;
    for (int i = 0, seen = 0, tried = 0; seen < ready && tried < most; i++) {
      Upstream u = owners[ring.member(start + i)];
      if (u.visit == visits) {
        continue;
      }
      u.visit = visits;
      seen++;
      if (mayGoTo(r, u) && usable(u)) {
        boolean near = u.listed.zone().equals(settings.zone());
        boolean hasRoom = u.load < bound(u);
        // With under one in flight at each no cap tells a crowded one: a slow one keeps a part of its keys.
        boolean keeps = hasRoom && Ring.fraction(point, u.id) * Math.pow(slowness(u), SLOW_POWER) < 1;
        if (near && keeps) {
          return u;
        }
        passed = near && hasRoom && (passed == null || slowness(u) < slowness(passed)) ? u : passed;
        tried += near ? 1 : 0;
        away = away == null && keeps ? u : away;
      }
    }
    return passed == null || away != null && slowness(passed) > LEAVE_AT ? away : passed;
  }

  private double slowness(Upstream u) {
    return u.slowness(now, SLOW_KEPT);
  }

  private void learnSlowness(Upstream u, double part) {
    double against = Math.min(SLOW_MOST, fleet.mean(now) > 0 ? part / fleet.mean(now) : Math.max(1, part));
    u.addSlowness(now, against, SLOW_MEAN, SLOW_STEP, SLOW_KEPT);
  }

  private boolean mayGoTo(Open r, Upstream u) {
    return Repeats.mayGoTo(r, u, ready, now, settings.tickNanos());
  }

  private boolean usable(Upstream u) {
    return (panic || u.ejectedUntil <= now && !silent(u))
        && (warmth(u) >= 1 || slowStartTokens(u) >= 1);
  }

  /** The load up to which an upstream may take a request. */
  private double bound(Upstream u) {
    return Math.max(1, Math.min(Math.ceil((1 + SLACK) * (readyLoad + 1) / ready), room(u)));
  }

  /** Little's law: answers a second times the latency wanted. Guards against bursts that wait in a queue past
   * their aim, of which the line learns too late. No bound before enough answers: a restart would starve. */
  private double room(Upstream u) {
    if (u.firstServed == 0
        || now - u.firstServed < window / 4 && u.window.total(now, Metric.SAMPLES) < ENOUGH) {
      return Double.MAX_VALUE;
    }
    long served = Math.min(window / 2, Math.max(sweep, now - u.firstServed));
    return Math.max(ROOM_LEAST, ROOM_PART * u.window.total(now, Metric.AIMS) * SECOND / served);
  }

  /** Nothing heard for far longer than its answers usually lie apart: frozen or dead, before a time-out. */
  private boolean silent(Upstream u) {
    return u.inFlight > 0 && u.window.total(now, Metric.SAMPLES) >= SILENT_SAMPLES && now - u.heardAt
        > Math.max(SILENT_GAPS * u.window.mean(now) / u.inFlight, SILENT_PART * shortestAim);
  }

  // ---- Rule 4: cold upstreams ---------------------------------------------------------------------------

  /** The part of its capacity that an upstream surely has: from cold-from, evenly, to the whole. */
  private double warmth(Upstream u) {
    double part = Math.max(0, now - u.started) / (double) Math.max(1, settings.contract().slowStartNanos());
    return u.started <= 0 || part >= 1 ? 1 : settings.contract().slowStartMinRatio() * (1 - part) + part;
  }

  /** Sends that a cold upstream may still get: its warmth's part of what a warm one usually gets from this
   * balancer. The trickle guards against a fleet that is cold all at once and would wait for traffic to be
   * allowed traffic. */
  private double slowStartTokens(Upstream u) {
    double rate = Math.max(COLD_TRICKLE / settings.groupSize(), warmth(u) * baselineSendRate) / processes;
    double window = rate * settings.contract().overloadWindowNanos() / SECOND;
    return u.cold.fill(now, rate, Math.max(1, window * COLD_BURST));
  }

  // ---- Life of a request --------------------------------------------------------------------------------

  /** Sends a request that has no attempt out, or ends it, or holds it; true if it was sent or ended. */
  private boolean advance(Open r) {
    boolean first = r.attempts.isEmpty();
    boolean over = r.once || r.attempts.size() >= r.maxAttempts || !retries.allows(r)
        || Repeats.areOver(r, now, settings.tickNanos()) || now >= r.deadline - 2 * sweep
        || answerDue(r)
        || !r.request.priorAttempts().isEmpty() && Arrays.stream(owners).noneMatch(u -> mayGoTo(r, u));
    Upstream u = over ? null : place(r);
    if (u != null) {
      retries.take(r);
      held.remove(r);
      send(r, u);
    } else if (over || first && now >= r.arrived + HOLD_PART * r.type.aimNanos() || !first && ready == 0) {
      finish(r);
    } else {
      held.add(r);
      return false;
    }
    return true;
  }

  private void send(Open r, Upstream u) {
    // Guards the window of repeats from a connection that comes up late.
    long leavesBy = Repeats.until(r, settings.tickNanos());
    r.attempts.add(new Attempt(u, now));
    r.out++;
    u.heardAt = u.inFlight == 0 ? now : u.heardAt;
    u.inFlight++;
    u.load += r.load;
    u.cold.tokens -= warmth(u) < 1 ? 1 : 0;
    readyLoad += r.load;
    fleet.add(now, Metric.ADMITTED, 1);
    out.accept(new Send(r.request.id(), u.id, r.deadline - now, leavesBy));
  }

  /** A second copy past a silent upstream, where class and settings allow it and the fleet is healthy. */
  private void hedge(Open r) {
    Attempt last = r.attempts.get(r.attempts.size() - 1);
    if (!settings.limits().hedging() || !settings.limits().cancel() || !silent(last.upstream)
        || !retries.allowsCopy() || fleet.mean(now) > MIN_VALUE || now - r.arrived > r.type.aimNanos()
        || r.once || r.attempts.size() >= r.maxAttempts) {
      return;
    }
    Upstream u = r.type.effect() == Effect.UNSAFE ? null : place(r);
    if (u != null) {
      retries.takeCopy();
      send(r, u);
    }
  }

  private boolean answerDue(Open r) {
    return r.request.answerByNanos() > 0 && now >= r.request.answerByNanos();
  }

  private void finish(Open r) {
    answer(r, why(r));
    release(r);
  }

  private void answer(Open r, Reason why) {
    out.accept(Repeats.mayRefuse(r) ? new Reject(r.request.id(), retryAfter(), why)
        : new Fail(r.request.id(), why));
  }

  private Reason why(Open r) {
    return now >= r.deadline - 2 * sweep ? Reason.DEADLINE : ready == 0 ? Reason.NO_UPSTREAM
        : r.type.effect() != Effect.SAFE && r.mayHaveRun() ? Reason.MAY_HAVE_RUN
        : r.attempts.size() >= r.maxAttempts ? Reason.ATTEMPTS
        : !retries.allows(r) ? Reason.RETRY_BUDGET : Reason.NO_ROOM;
  }

  /** The request has its final answer: stops what it still has out, forgets it once nothing is. */
  private void release(Open r) {
    r.ended = true;
    held.remove(r);
    if (r.out == 0) {
      open.remove(r.request.id());
    }
    cancelAllBut(r, null);
  }

  private void cancelAllBut(Open r, Attempt kept) {
    for (int i = 0; i < r.attempts.size() && settings.limits().cancel(); i++) {
      if (r.attempts.get(i).out && r.attempts.get(i) != kept) {
        out.accept(new Cancel(r.request.id(), i));
      }
    }
  }

  private void onOutcome(Outcome o) {
    Open r = open.get(o.id());
    if (r == null || o.attempt() >= r.attempts.size() || !r.attempts.get(o.attempt()).out) {
      return;
    }
    Attempt a = r.attempts.get(o.attempt());
    a.out = false;
    a.mayHaveRun = !o.status().provesNotRun();
    a.unseen = o.status() == Status.FULL;
    r.out--;
    if (!a.passing) {
      heard(r, a);
    }
    if (!a.passing || o.status() != Status.SERVED) {
      learn(r, a, o);
    }
    if (r.ended && r.out == 0) {
      open.remove(o.id());
    } else if (!r.ended && o.finished()) {
      release(r);
    } else if (!r.ended && r.out == 0) {
      advance(r);
    }
    int tries = HELD_TRIES;
    for (Open h = held.isEmpty() ? null : held.first(); h != null && tries > 0; h = held.higher(h)) {
      tries -= advance(h) ? 0 : 1;
    }
  }

  /** The upstream has answered, or nothing more is expected of it. */
  private void heard(Open r, Attempt a) {
    a.upstream.inFlight--;
    a.upstream.load -= a.upstream.inFlight == 0 ? a.upstream.load : r.load;
    a.upstream.heardAt = now;
    readyLoad -= upstreams.serves(a.upstream) ? r.load : 0;
  }

  /** Guards what is known of load and latency from clients that take long to read: what counts is when the
   * answer began. */
  private void onAnswerStarted(AnswerStarted e) {
    Open r = open.get(e.id());
    if (r == null || r.ended || e.attempt() >= r.attempts.size() || !r.attempts.get(e.attempt()).out) {
      return;
    }
    Attempt a = r.attempts.get(e.attempt());
    r.streaming = true;
    a.passing = true;
    heard(r, a);
    learn(r, a, new Outcome(e.id(), e.attempt(), e.upstream(), Status.SERVED, e.latencyNanos(), false,
        Map.of()));
    cancelAllBut(r, a);
  }

  private void onBodyEnded(Open r, long deadline) {
    boolean waits = held.remove(r);
    r.arrived = now;
    r.deadline = deadline;
    if (waits) {
      held.add(r);
    }
  }

  private void learn(Open r, Attempt a, Outcome o) {
    Upstream u = a.upstream;
    if (o.status() == Status.SERVED) {
      u.failures = 0;
      u.ejections = 0;
      u.firstServed = u.firstServed == 0 ? now : u.firstServed;
      u.window.add(now, Metric.AIMS, r.load * r.type.aimNanos() / SECOND);
      u.window.add(now, Metric.SAMPLES, 1);
      u.window.add(now, Metric.SUM, r.load * o.latencyNanos());
      learnSlowness(u, (double) o.latencyNanos() / r.type.aimNanos());
      sample(r, (double) (now - r.arrived) / r.type.aimNanos());
    } else if (o.status() == Status.FULL) {
      learnSlowness(u, Double.MAX_VALUE);
    } else if (o.status() != Status.CANCELLED && o.status() != Status.NOT_SENT) {
      learnSlowness(u, (double) r.type.deadlineNanos() / r.type.aimNanos());
      // A time-out adds its limit, another failure its latency and no less than the mean: quick ones must not
      // pull it down. Guards work that others could do: charged the limit, a few resets had it all refused.
      double took = (double) (now - r.arrived) / r.type.aimNanos();
      sample(r, o.status() == Status.TIMEOUT ? (double) r.type.deadlineNanos() / r.type.aimNanos()
          : Math.max(took, Math.max(r.endpoint.mean(now), fleet.mean(now))));
      if (++u.failures >= EJECT_AFTER && u.ejectedUntil <= now) {
        long backoff = Math.min(EJECT_MOST, EJECT_FIRST << Math.min(u.ejections++, 10));
        u.ejectedUntil = now + (long) (backoff * (0.5 + random.nextDouble() / 2));
      }
    }
  }

  /** Response time as the client sees it, in parts of the aim. */
  private void sample(Open r, double part) {
    for (Window w : List.of(r.endpoint, fleet)) {
      w.add(now, Metric.SAMPLES, 1);
      w.add(now, Metric.SUM, part);
    }
  }

  /** Held requests are tried again, silent upstreams passed by a copy; nothing is kept past its deadline. */
  private void onSweep() {
    sweeping = false;
    long bad = Arrays.stream(owners).filter(u -> u.ejectedUntil > now || silent(u)).count();
    panic = bad > PANIC_SHARE * ready;
    if (fleet.mean(now) <= MIN_VALUE) {
      baselineInFlight +=
          (readyLoad / Math.max(1, ready) - baselineInFlight) * sweep / (USUAL_WINDOWS * window);
    }
    baselineSendRate = Math.max(baselineSendRate * (1 - sweep / (double) SENDS_KEPT),
        fleet.total(now, Metric.ADMITTED) * SECOND / window / Math.max(1, ready));
    for (Open r : List.copyOf(open.values())) {
      for (Attempt a : r.attempts) {
        // Guards against upstreams that hang: a time-out may come seconds after the aim.
        if (a.out && !a.passing && !a.late
            && now - Math.max(a.sentAt, r.arrived) > r.type.aimNanos()) {
          a.late = true;
          learnSlowness(a.upstream, Double.MAX_VALUE);
        }
      }
      if (r.out == 1 && !r.ended && !r.streaming) {
        hedge(r);
      }
    }
    List.copyOf(held).forEach(this::advance);
    if (now >= askAt) {
      askAt = Long.MAX_VALUE;
      out.accept(new Watch(true));
    }
  }

  // ---- Following the list -------------------------------------------------------------------------------

  private void onList(EndpointUpdate news) {
    if (news.kind() == ListKind.FAILED) {
      // Full jitter, or all balancers would come back to the list service at once.
      long backoff = Math.min(ASK_MOST, ASK_FIRST << Math.min(askFailures++, 10));
      askAt = now + (long) (backoff * random.nextDouble());
      return;
    }
    if (news.kind() != ListKind.CACHED) {
      askFailures = 0;
    } else if (settings.listOnRequest()) {
      out.accept(new Watch(true));
    }
    upstreams.take(now, news);
    rebuildRing();
  }

  private void inherit(BalancerSnapshot k) {
    upstreams.inherit(now, k.upstreams());
    k.windows().forEach((name, totals) -> windows.of(name, now).inherit(now, totals));
    fleet.inherit(now, k.fleet());
    baselineInFlight = k.baselineInFlight();
    baselineSendRate = k.baselineSendRate();
    retries.tokens = Math.min(retries.tokens, k.retryTokens());
    hints.usual = k.meanHint();
    referenceWeight = k.referenceWeight() > 0 ? k.referenceWeight() : referenceWeight;
    owners = new Upstream[0]; // The ring is of the unit.
    rebuildRing();
  }
}
