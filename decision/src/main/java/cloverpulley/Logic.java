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
 * The load-balancing policy. On the usual path, {@link #admit} rejects requests above the admission rate,
 * {@link #selectUpstream} picks an upstream by consistent hashing with bounded load, and
 * {@link #recordOutcome} updates the statistics.
 */
public final class Logic implements Balancer {

  static final long SECOND = 1_000_000_000L;
  /** Window length in multiples of the longest aim, at least a second: long enough for a mean, short enough
   * to follow a change. */
  private static final double WINDOW_AIMS = 2;
  /** The rate curve, in multiples of the class's aim: half an aim is healthy, a whole one is critical. */
  private static final double MIN_LATENCY_RATIO = 0.5;
  private static final double MAX_LATENCY_RATIO = 1.0;
  /** The highest rate is the offered rate of the window times this; the lowest is MIN_RATE_RATIO of that. */
  private static final double RATE_HEADROOM = 1.1;
  /** Weight, in samples, of the prior in a mean latency: the fleet's mean for a flow, a healthy latency for
   * the fleet. Without it one slow response among few would dominate where many balancers share little
   * traffic. */
  private static final double PRIOR_SAMPLES = 5;
  private static final double MIN_RATE_RATIO = 0.02;
  /** The rate curve of over-quota requests without worth is scaled to this part of the latencies, so that
   * they are shed before requests within a quota suffer. */
  private static final double EXCESS_LATENCY_RATIO = 0.3;
  /** With fewer responses in the window the capacity of an upstream can't be estimated. */
  private static final int MIN_SAMPLES = 10;
  /** Windows over which the baseline load of a healthy fleet is averaged: slower than a load spike. */
  private static final double BASELINE_WINDOWS = 2;
  /** Bounded load: an upstream may have half as much again as the mean load in flight. */
  private static final double LOAD_SLACK = 0.5;
  /** Upstreams that a key may use: this many, plus this many times the part of the ready upstreams that
   * corresponds to its share of the traffic. */
  private static final int KEY_SPREAD = 2;
  /** Slowness of an upstream relative to the fleet: a mean over SLOWNESS_MEAN_NANOS. One sample moves it by
   * at most MAX_SLOWNESS_STEP and counts as at most MAX_SLOWNESS_SAMPLE times the fleet's mean. It decays
   * over the longer time. The part of its keys that an upstream keeps is the inverse of a power of its
   * slowness. */
  private static final double SLOWNESS_MEAN_NANOS = 2 * SECOND;
  private static final double MAX_SLOWNESS_STEP = 0.3;
  private static final double MAX_SLOWNESS_SAMPLE = 4;
  private static final double SLOWNESS_DECAY_NANOS = 10 * SECOND;
  private static final double SLOWNESS_EXPONENT = 3;
  /** A key leaves its zone if the best upstream there is slower than this: relieves an overloaded zone. */
  private static final double ZONE_LEAVE_SLOWNESS = 3;
  /** Capacity: requests in flight at which the mean latency would be this part of the aim (Little's law). */
  private static final double CAPACITY_LATENCY_RATIO = 0.36;
  /** The capacity never falls below this, or an idle upstream could not show that it is idle. */
  private static final int MIN_CAPACITY = 2;
  /** A request without an upstream is queued for this part of its aim, then rejected: still early. */
  private static final double QUEUE_TIME_RATIO = 0.3;
  /** Queued requests tried in vain after an outcome: bounds the work while no upstream has capacity. */
  private static final int MAX_QUEUE_RETRIES = 4;
  /** An upstream is unresponsive after this many times the usual gap between its responses, but not before
   * this part of the shortest aim, since heavy requests cause shorter gaps. The usual gap is unknown with
   * fewer samples. */
  private static final double UNRESPONSIVE_GAPS = 8;
  private static final int UNRESPONSIVE_SAMPLES = 4;
  private static final double UNRESPONSIVE_AIM_RATIO = 0.3;
  /** Points on the ring for an upstream of ordinary weight: balances the keys to within about 10%. */
  private static final int RING_POINTS = 100;
  /** A weight counts as at most this many times the reference weight and at least its inverse. */
  private static final double MAX_WEIGHT_RATIO = 4;
  /** Sweeps over the pending requests per shortest aim. */
  private static final int SWEEPS_PER_AIM = 8;
  /** Consecutive failures that eject an upstream; the first and the longest ejection. */
  private static final int EJECTION_FAILURES = 3;
  private static final long MIN_EJECTION_NANOS = SECOND / 2;
  private static final long MAX_EJECTION_NANOS = 8 * SECOND;
  /** With more than this part of the ready upstreams ejected or unresponsive, both states are ignored. */
  private static final double PANIC_THRESHOLD = 0.5;
  /** Part of the slow-start budget of a window that may be sent at once. */
  private static final double SLOW_START_BURST = 0.25;
  /** Attempts per second that all balancers together may always send to an upstream in slow start. */
  private static final double MIN_SLOW_START_RATE = 2;
  /** The baseline send rate decays over this time: longer than most outages. */
  private static final long SEND_RATE_DECAY_NANOS = 30 * SECOND;

  /** Token of the timer for requests that have to be sent or ended before their deadline. */
  private static final String ANSWER_TIMER = "answer";

  private Settings settings;
  private final SplittableRandom random;
  private final long windowNanos;
  private long shortestAimNanos;
  private long sweepNanos;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Windows windows;
  private final TenantQuotas tenantQuotas;
  private final Hints hints;
  private final Upstreams upstreams;
  private final Map<String, PendingRequest> pending = new LinkedHashMap<>();
  /** Requests without an attempt in flight, the most valuable first, then the oldest. */
  private final TreeSet<PendingRequest> queue = new TreeSet<>(
      Comparator.comparingDouble((PendingRequest r) -> -worth(r))
          .thenComparingLong(r -> r.receivedAt).thenComparing(r -> r.request.id()));
  private final Window fleet;
  private double baselineInFlight;
  private double baselineSendRate;
  /** The ready upstreams ordered by id; they are the members of the ring. */
  private Upstream[] readyUpstreams = {};
  private Ring ring;
  private int readyCount;
  private boolean panic;
  private double readyLoad;
  private double referenceWeight;
  private long visitMark;
  private final RetryBudget retryBudget = new RetryBudget();
  private boolean sweepScheduled;
  /** Processes that run as this balancer and share its allowances. */
  private int processes = 1;
  private final ListBackoff listBackoff = new ListBackoff();
  private long resubscribeAt = Long.MAX_VALUE;
  private long now;
  private Consumer<Action> actions;

  /** Creates the policy of one balancer; the seed is its only source of randomness. */
  public Logic(Settings settings, long seed) {
    random = new SplittableRandom(seed);
    applySettings(settings);
    long longest = settings.classes().stream().mapToLong(RequestClass::aimNanos).max().getAsLong();
    windowNanos = Math.max(SECOND, (long) (WINDOW_AIMS * longest));
    fleet = new Window(windowNanos, 0);
    upstreams = new Upstreams(windowNanos / 2);
    windows = new Windows(windowNanos);
    tenantQuotas = new TenantQuotas(settings, windows);
    hints = new Hints(shortestAimNanos);
  }

  /** Windows keep their length: a new length would discard what they have counted. */
  private void applySettings(Settings to) {
    settings = to;
    classes.clear();
    to.classes().forEach(c -> classes.put(c.name(), c));
    shortestAimNanos = to.classes().stream().mapToLong(RequestClass::aimNanos).min().getAsLong();
    sweepNanos = shortestAimNanos / SWEEPS_PER_AIM;
  }

  @Override
  public void handle(long nowNanos, Event event, Consumer<Action> sink) {
    now = nowNanos;
    actions = sink;
    if (event instanceof Request e) {
      onRequest(e);
    } else if (event instanceof Outcome e) {
      onOutcome(e);
    } else if (event instanceof TimerFired e && e.token().equals(ANSWER_TIMER)) {
      // Requests queued past the time by which they have to be sent or ended.
      queue.stream().filter(r -> answerDue(r)).toList().forEach(this::dispatch);
    } else if (event instanceof TimerFired) {
      onSweep();
    } else if (event instanceof EndpointUpdate e) {
      onEndpointUpdate(e);
    } else if (event instanceof UpstreamSetOffline e) {
      upstreams.setOffline(e.upstream(), now - e.offlineNanos());
      rebuildRing();
    } else if (event instanceof UpstreamSetOnline e) {
      upstreams.setOnline(now, e.upstream());
      rebuildRing();
    } else if (event instanceof SnapshotRequested) {
      actions.accept(new PublishSnapshot(new BalancerSnapshot(
          upstreams.all().map(u -> u.snapshot(now)).toList(),
          windows.totals(now, BalancerSnapshot.MAX_WINDOWS), fleet.totals(now), baselineInFlight,
          baselineSendRate, hints.mean, referenceWeight, retryBudget.tokens)));
    } else if (event instanceof SettingsChanged e) {
      applySettings(e.settings());
      tenantQuotas.applySettings(settings);
    } else if (event instanceof ProcessCountChanged e) {
      processes = e.processes();
    } else if (event instanceof SnapshotRestored e) {
      restore(e.snapshot());
    } else if (event instanceof ClientGone e) {
      if (pending.containsKey(e.id()) && !pending.get(e.id()).answered) {
        complete(pending.get(e.id()));
      }
    } else if (event instanceof AnswerStarted e) {
      onAnswerStarted(e);
    } else if (event instanceof AnswerBegan e) {
      onAnswerBegan(e);
    } else if (event instanceof AnswerStalled e) {
      onAnswerStalled(e);
    } else if (event instanceof BodyPending e && pending.get(e.id()) != null) {
      onBodyPending(pending.get(e.id()));
    } else if (event instanceof BodyEnded e && pending.get(e.id()) != null) {
      onBodyEnded(pending.get(e.id()), e.deadlineNanos());
    } else if (event instanceof BodyDiscarded e && pending.get(e.id()) != null) {
      pending.get(e.id()).notRetryable = true;
    }
    if (!sweepScheduled && (!pending.isEmpty() || resubscribeAt != Long.MAX_VALUE)) {
      sweepScheduled = true;
      actions.accept(new SetTimer("sweep", now + sweepNanos));
    }
  }

  // ---- Admission: linear rate curve ---------------------------------------------------------------------

  private void onRequest(Request request) {
    RequestClass type = classes.get(request.className());
    if (type == null) {
      throw new IllegalArgumentException("request of unknown class " + request.className());
    }
    boolean overQuota = tenantQuotas.charge(now, request.tenant());
    String flow = request.className() + ' ' + request.tenant() + (overQuota ? " over" : "");
    Window keyWindow = windows.of(flow + ' ' + request.key(), now);
    PendingRequest r = new PendingRequest(request, type, now, overQuota, windows.of(flow, now), keyWindow,
        hints.load(request.workHintNanos()), settings.limits().maxAttempts());
    boolean retry = !request.priorAttempts().isEmpty();
    request.priorAttempts().forEach(e -> r.attempts.add(upstreams.priorAttempt(e)));
    boolean full = pending.size() >= settings.limits().maxPending();
    // A retry was admitted with its first attempt: it is limited by the retry budget, not by the rate curve.
    if (full || !retry && !admit(r)) {
      answer(r, full ? Reason.TABLE_FULL : Reason.OVER_RATE);
      return;
    }
    pending.put(request.id(), r);
    if (!retry) {
      retryBudget.earn();
    }
    if (!dispatch(r) && request.answerByNanos() > 0) {
      actions.accept(new SetTimer(ANSWER_TIMER, request.answerByNanos()));
    }
  }

  int upstreamCount() {
    return (int) upstreams.all().count();
  }

  int windowCount() {
    return windows.size();
  }

  /** Rejects requests above the allowed rate of their flow: class, tenant, within or over quota. An
   * overloaded fleet slows down all flows, so the curve uses the worse of the flow's mean and the fleet's.
   * Requests over a quota are worth less, so their curve falls earlier: a tenant throttles itself first. */
  private boolean admit(PendingRequest r) {
    r.keyWindow.add(now, Metric.OFFERED, 1);
    r.flowWindow.add(now, Metric.OFFERED, 1);
    fleet.add(now, Metric.OFFERED, 1);
    double fleetMean = fleet.mean(now, MIN_LATENCY_RATIO / 2, PRIOR_SAMPLES);
    double mean = Math.max(r.flowWindow.mean(now, fleetMean, PRIOR_SAMPLES), fleetMean);
    double maxRate = r.flowWindow.total(now, Metric.OFFERED) * RATE_HEADROOM;
    double curveRatio =
        r.overQuota ? EXCESS_LATENCY_RATIO + (1 - EXCESS_LATENCY_RATIO) * settings.overShareWorth() : 1;
    double allowed = RateCurve.allowedRate(mean, MIN_LATENCY_RATIO * curveRatio,
        MAX_LATENCY_RATIO * curveRatio, maxRate, maxRate * MIN_RATE_RATIO);
    // With no more load than while healthy, this balancer did not cause the overload: admit within quotas.
    boolean belowBaseline = tenantQuotas.hasQuota(r.request.tenant())
        && readyLoad + queue.size() < baselineInFlight * readyCount / processes;
    if (r.flowWindow.total(now, Metric.ADMITTED) >= allowed && (r.overQuota || !belowBaseline)) {
      return false;
    }
    r.flowWindow.add(now, Metric.ADMITTED, 1);
    return true;
  }

  private double worth(PendingRequest r) {
    return r.type.worth() * (r.overQuota ? settings.overShareWorth() : 1);
  }

  private long retryAfter() {
    long maxNanos = settings.limits().retryAfter() ? settings.limits().maxRetryAfterNanos() : 0;
    return (long) (maxNanos * random.nextDouble());
  }

  // ---- Placement: bounded-load hashing on a ring of ready upstreams -------------------------------------

  private void rebuildRing() {
    Upstream[] previous = readyUpstreams;
    readyUpstreams = upstreams.all().filter(upstreams::isReady)
        .sorted(Comparator.comparingLong(u -> u.id)).toArray(Upstream[]::new);
    if (Arrays.equals(previous, readyUpstreams)) {
      return; // Building is expensive in a large fleet, and most updates only end a drain.
    }
    readyCount = readyUpstreams.length;
    readyLoad = Arrays.stream(readyUpstreams).mapToDouble(u -> u.load).sum();
    boolean weighted = settings.weightKind() == WeightKind.NOMINAL
        || settings.weightKind() == WeightKind.ROUGH;
    if (referenceWeight == 0 && readyCount > 0) {
      // Set once, so that an update of the list moves the keys of the changed upstreams only.
      referenceWeight =
          Arrays.stream(readyUpstreams).mapToDouble(u -> u.endpoint.weight()).sorted()
              .toArray()[readyCount / 2];
    }
    ring = new Ring(Arrays.stream(readyUpstreams).mapToLong(u -> u.id).toArray(),
        Arrays.stream(readyUpstreams)
            .mapToInt(u -> (int) Math.round(RING_POINTS * (weighted ? weightRatio(u) : 1))).toArray());
  }

  private double weightRatio(Upstream u) {
    return referenceWeight <= 0 ? 1
        : Math.min(MAX_WEIGHT_RATIO, Math.max(1 / MAX_WEIGHT_RATIO, u.endpoint.weight() / referenceWeight));
  }

  /** Returns the first eligible upstream from the key's point on the ring, own zone preferred; or null. */
  private Upstream selectUpstream(PendingRequest r) {
    long point = r.request.key() == null ? random.nextLong() : Ring.mix(Ring.mix(r.request.key().hashCode()));
    int start = readyCount == 0 ? 0 : ring.start(point);
    // Under load a key must not leave the upstreams that cache it: each move costs work and adds to the load.
    double share = r.keyWindow.total(now, Metric.OFFERED) / Math.max(1, fleet.total(now, Metric.OFFERED));
    double maxTried =
        settings.warmKeys() ? KEY_SPREAD + Math.ceil(KEY_SPREAD * readyCount * share) : readyCount;
    Upstream otherZone = null;
    Upstream fallback = null;
    visitMark++;
    for (int i = 0, seen = 0, tried = 0; seen < readyCount && tried < maxTried; i++) {
      Upstream u = readyUpstreams[ring.member(start + i)];
      if (u.visitMark == visitMark) {
        continue;
      }
      u.visitMark = visitMark;
      seen++;
      if (mayUse(r, u) && usable(u)) {
        boolean sameZone = u.endpoint.zone().equals(settings.zone());
        boolean hasCapacity = u.load < loadLimit(u);
        // With less than one request in flight per upstream the load bound can't tell which one is
        // overloaded: a slow upstream keeps only a part of its keys.
        boolean keepsKey = hasCapacity
            && Ring.fraction(point, u.id) * Math.pow(slowness(u), SLOWNESS_EXPONENT) < 1;
        if (sameZone && keepsKey) {
          return u;
        }
        fallback = sameZone && hasCapacity && (fallback == null || slowness(u) < slowness(fallback))
            ? u : fallback;
        tried += sameZone ? 1 : 0;
        otherZone = otherZone == null && keepsKey ? u : otherZone;
      }
    }
    return fallback == null || otherZone != null && slowness(fallback) > ZONE_LEAVE_SLOWNESS
        ? otherZone : fallback;
  }

  private double slowness(Upstream u) {
    return u.slowness(now, SLOWNESS_DECAY_NANOS);
  }

  private void recordSlowness(Upstream u, double ratio) {
    double relative = Math.min(MAX_SLOWNESS_SAMPLE,
        fleet.mean(now) > 0 ? ratio / fleet.mean(now) : Math.max(1, ratio));
    u.addSlowness(now, relative, SLOWNESS_MEAN_NANOS, MAX_SLOWNESS_STEP, SLOWNESS_DECAY_NANOS);
  }

  private boolean mayUse(PendingRequest r, Upstream u) {
    return RetryRules.allowsAttempt(r, u, readyCount, now, settings.tickNanos());
  }

  private boolean usable(Upstream u) {
    return (panic || u.ejectedUntil <= now && !isUnresponsive(u))
        && (u.slowStartRatio(now, settings.contract()) >= 1 || slowStartTokens(u) >= 1);
  }

  /** The load below which an upstream may take a request. */
  private double loadLimit(Upstream u) {
    return Math.max(1, Math.min(Math.ceil((1 + LOAD_SLACK) * (readyLoad + 1) / readyCount), capacity(u)));
  }

  /** Capacity by Little's law: response rate times target latency. Prevents bursts from queueing at the
   * upstream past their aim, which the rate curve notices too late. Unbounded before there are enough
   * responses, or a restarted upstream would get no requests. */
  private double capacity(Upstream u) {
    if (u.firstResponseAt == 0
        || now - u.firstResponseAt < windowNanos / 4 && u.window.total(now, Metric.SAMPLES) < MIN_SAMPLES) {
      return Double.MAX_VALUE;
    }
    long served = Math.min(windowNanos / 2, Math.max(sweepNanos, now - u.firstResponseAt));
    return Math.max(MIN_CAPACITY,
        CAPACITY_LATENCY_RATIO * u.window.total(now, Metric.AIM_SUM) * SECOND / served);
  }

  /** No response for much longer than the usual gap: detects frozen and dead upstreams before a time-out. */
  private boolean isUnresponsive(Upstream u) {
    return u.inFlight > 0 && u.window.total(now, Metric.SAMPLES) >= UNRESPONSIVE_SAMPLES
        && now - u.lastActivityAt > Math.max(UNRESPONSIVE_GAPS * u.window.mean(now) / u.inFlight,
            UNRESPONSIVE_AIM_RATIO * shortestAimNanos);
  }

  // ---- Rule 4: slow start -------------------------------------------------------------------------------

  /** Attempts that an upstream in slow start may still get: its slow-start ratio of what a warmed-up one
   * usually gets from this balancer. The minimum rate prevents a deadlock where the whole fleet is in slow
   * start and there is no baseline rate yet. */
  private double slowStartTokens(Upstream u) {
    double ratio = u.slowStartRatio(now, settings.contract());
    double rate = Math.max(MIN_SLOW_START_RATE / settings.groupSize(), ratio * baselineSendRate) / processes;
    double windowTokens = rate * settings.contract().overloadWindowNanos() / SECOND;
    return u.slowStart.fill(now, rate, Math.max(1, windowTokens * SLOW_START_BURST));
  }

  // ---- Request lifecycle --------------------------------------------------------------------------------

  /** Sends, ends or queues a request that has no attempt in flight; returns whether it was sent or ended. */
  private boolean dispatch(PendingRequest r) {
    boolean first = r.attempts.isEmpty();
    boolean exhausted = r.notRetryable || r.attempts.size() >= r.maxAttempts || !retryBudget.allows(r)
        || RetryRules.forbidsAttempts(r, now, settings.tickNanos()) || now >= r.deadline - 2 * sweepNanos
        || answerDue(r)
        || !r.request.priorAttempts().isEmpty() && Arrays.stream(readyUpstreams).noneMatch(u -> mayUse(r, u));
    Upstream u = exhausted ? null : selectUpstream(r);
    if (u != null) {
      retryBudget.take(r);
      queue.remove(r);
      send(r, u);
    } else if (exhausted || first && now >= r.receivedAt + QUEUE_TIME_RATIO * r.type.aimNanos()
        || !first && readyCount == 0) {
      finish(r);
    } else {
      queue.add(r);
      return false;
    }
    return true;
  }

  private void send(PendingRequest r, Upstream u) {
    // A connection that is established late must not carry the attempt past the deduplication window.
    long sendBy = RetryRules.sendDeadline(r, settings.tickNanos());
    r.attempts.add(new Attempt(u, now));
    r.inFlight++;
    addLoad(r, r.attempts.get(r.attempts.size() - 1));
    u.slowStart.tokens -= u.slowStartRatio(now, settings.contract()) < 1 ? 1 : 0;
    fleet.add(now, Metric.ADMITTED, 1);
    actions.accept(new Send(r.request.id(), u.id, r.deadline - now, sendBy));
  }

  /** Sends a hedged request around an unresponsive upstream if class and settings allow it and the fleet is
   * healthy. */
  private void hedge(PendingRequest r) {
    if (isUnresponsive(r.attempts.get(r.attempts.size() - 1).upstream)
        && fleet.mean(now) <= MIN_LATENCY_RATIO && now - r.receivedAt <= r.type.aimNanos()) {
      sendSecondCopy(r);
    }
  }

  /** Sends a further attempt beside those in flight, if class, settings and budget allow it. */
  private void sendSecondCopy(PendingRequest r) {
    Upstream u = RetryRules.allowsSecondCopy(r, settings.limits()) && retryBudget.allowsHedge()
        ? selectUpstream(r) : null;
    if (u != null) {
      retryBudget.takeHedge();
      send(r, u);
    }
  }

  /** Sends a further attempt beside responses that have paused: they may go on, or never be complete. */
  private void hedgeStalled(PendingRequest r) {
    if (!r.answered && !r.streaming && r.isStalled() && now < r.deadline - 2 * sweepNanos) {
      sendSecondCopy(r);
    }
  }

  private boolean answerDue(PendingRequest r) {
    return r.request.answerByNanos() > 0 && now >= r.request.answerByNanos();
  }

  private void finish(PendingRequest r) {
    answer(r, reason(r));
    complete(r);
  }

  private void answer(PendingRequest r, Reason reason) {
    actions.accept(RetryRules.allowsRejection(r) ? new Reject(r.request.id(), retryAfter(), reason)
        : new Fail(r.request.id(), reason));
  }

  private Reason reason(PendingRequest r) {
    return now >= r.deadline - 2 * sweepNanos ? Reason.DEADLINE : readyCount == 0 ? Reason.NO_UPSTREAM
        : r.type.effect() != Effect.SAFE && r.mayHaveRun() ? Reason.MAY_HAVE_RUN
        : r.attempts.size() >= r.maxAttempts ? Reason.ATTEMPTS
        : !retryBudget.allows(r) ? Reason.RETRY_BUDGET : Reason.NO_ROOM;
  }

  /** The request has its final answer: cancels its other attempts and removes it once none is in flight. */
  private void complete(PendingRequest r) {
    r.answered = true;
    queue.remove(r);
    if (r.inFlight == 0) {
      pending.remove(r.request.id());
    }
    cancelOthers(r, null);
  }

  private void cancelOthers(PendingRequest r, Attempt kept) {
    for (int i = 0; i < r.attempts.size() && settings.limits().cancel(); i++) {
      if (r.attempts.get(i).inFlight && r.attempts.get(i) != kept) {
        actions.accept(new Cancel(r.request.id(), i));
      }
    }
  }

  private void onOutcome(Outcome o) {
    PendingRequest r = pending.get(o.id());
    Attempt a = inFlight(r, o.attempt());
    if (a == null) {
      return;
    }
    removeLoad(r, a);
    a.inFlight = false;
    a.mayHaveRun = !o.status().provesNotRun();
    a.rejected = o.status() == Status.FULL;
    r.inFlight--;
    if (!a.streaming || o.status() != Status.SERVED) {
      recordOutcome(r, a, o);
    }
    if (r.answered && r.inFlight == 0) {
      pending.remove(o.id());
    } else if (!r.answered && o.finished()) {
      complete(r);
    } else if (!r.answered && r.inFlight == 0) {
      dispatch(r);
    }
    int triesLeft = MAX_QUEUE_RETRIES;
    for (PendingRequest h = queue.isEmpty() ? null : queue.first(); h != null && triesLeft > 0;
        h = queue.higher(h)) {
      triesLeft -= dispatch(h) ? 0 : 1;
    }
  }

  private void addLoad(PendingRequest r, Attempt a) {
    if (!r.bodyPending && a.awaitsResponse()) {
      a.loaded = true;
      a.upstream.addLoad(now, r.load);
      readyLoad += r.load;
    }
  }

  /** Removes an attempt from the load: the upstream has responded, or has not begun to work on it. */
  private void removeLoad(PendingRequest r, Attempt a) {
    if (a.loaded) {
      a.loaded = false;
      a.upstream.removeLoad(now, r.load);
      readyLoad -= upstreams.isReady(a.upstream) ? r.load : 0;
    }
  }

  /** Load and latency count up to the start of the response, so that slow readers do not distort them. */
  private void onAnswerStarted(AnswerStarted e) {
    PendingRequest r = pending.get(e.id());
    Attempt a = inFlight(r, e.attempt());
    if (a == null || r.answered) {
      return;
    }
    removeLoad(r, a);
    r.streaming = true;
    a.streaming = true;
    recordOutcome(r, a, new Outcome(e.id(), e.attempt(), e.upstream(), Status.SERVED, e.latencyNanos(), false,
        Map.of()));
    cancelOthers(r, a);
  }

  private void onAnswerBegan(AnswerBegan e) {
    PendingRequest r = pending.get(e.id());
    Attempt a = inFlight(r, e.attempt());
    if (a != null) {
      removeLoad(r, a);
      a.beganAfterNanos = e.latencyNanos();
    }
  }

  /** A pause is no failure, since the response may go on, but a reason for another attempt. */
  private void onAnswerStalled(AnswerStalled e) {
    PendingRequest r = pending.get(e.id());
    Attempt a = inFlight(r, e.attempt());
    if (a != null) {
      a.stalled = true;
      hedgeStalled(r);
    }
  }

  /** An attempt of a request, null if either is over. */
  private static Attempt inFlight(PendingRequest r, int attempt) {
    boolean known = r != null && attempt < r.attempts.size() && r.attempts.get(attempt).inFlight;
    return known ? r.attempts.get(attempt) : null;
  }

  private void onBodyPending(PendingRequest r) {
    r.bodyPending = true;
    r.attempts.forEach(a -> removeLoad(r, a));
  }

  private void onBodyEnded(PendingRequest r, long deadline) {
    r.bodyPending = false;
    r.attempts.forEach(a -> addLoad(r, a));
    boolean queued = queue.remove(r);
    r.receivedAt = now;
    r.deadline = deadline;
    if (queued) {
      queue.add(r);
    }
  }

  private void recordOutcome(PendingRequest r, Attempt a, Outcome o) {
    Upstream u = a.upstream;
    long answeredAt = a.hasBegun() ? Math.max(a.sentAt, r.receivedAt) + a.beganAfterNanos : now;
    double seen = (double) (answeredAt - r.receivedAt) / r.type.aimNanos();
    if (o.status() == Status.SERVED) {
      u.failures = 0;
      u.ejections = 0;
      u.firstResponseAt = u.firstResponseAt == 0 ? now : u.firstResponseAt;
      u.window.add(now, Metric.AIM_SUM, r.load * r.type.aimNanos() / SECOND);
      u.window.add(now, Metric.SAMPLES, 1);
      long latency = a.hasBegun() ? a.beganAfterNanos : o.latencyNanos();
      u.window.add(now, Metric.LATENCY_SUM, r.load * latency);
      recordSlowness(u, (double) latency / r.type.aimNanos());
      recordLatency(r, seen);
    } else if (o.status() == Status.CANCELLED && a.stalled) {
      recordSlowness(u, Double.MAX_VALUE); // Another attempt was faster.
    } else if (o.status() == Status.FULL) {
      recordSlowness(u, Double.MAX_VALUE);
    } else if (o.status() != Status.CANCELLED && o.status() != Status.NOT_SENT) {
      recordSlowness(u, (double) r.type.deadlineNanos() / r.type.aimNanos());
      // A time-out without a response counts as its limit, another failure as its latency but at least the
      // mean, so that fast failures don't lower the mean. Counting every failure as the limit rejected all
      // traffic after a few resets, although other upstreams could have served it.
      boolean silent = o.status() == Status.TIMEOUT && !a.hasBegun();
      recordLatency(r, silent ? (double) r.type.deadlineNanos() / r.type.aimNanos()
          : Math.max(seen, Math.max(r.flowWindow.mean(now), fleet.mean(now))));
      if (++u.failures >= EJECTION_FAILURES && u.ejectedUntil <= now) {
        long backoff = Math.min(MAX_EJECTION_NANOS, MIN_EJECTION_NANOS << Math.min(u.ejections++, 10));
        u.ejectedUntil = now + (long) (backoff * (0.5 + random.nextDouble() / 2));
      }
    }
  }

  /** Records the latency seen by the client, in multiples of the aim. */
  private void recordLatency(PendingRequest r, double ratio) {
    for (Window w : List.of(r.flowWindow, fleet)) {
      w.add(now, Metric.SAMPLES, 1);
      w.add(now, Metric.LATENCY_SUM, ratio);
    }
  }

  /** Retries queued requests, hedges around unresponsive upstreams and ends requests at their deadline. */
  private void onSweep() {
    sweepScheduled = false;
    long unavailable =
        Arrays.stream(readyUpstreams).filter(u -> u.ejectedUntil > now || isUnresponsive(u)).count();
    panic = unavailable > PANIC_THRESHOLD * readyCount;
    if (fleet.mean(now) <= MIN_LATENCY_RATIO) {
      baselineInFlight +=
          (readyLoad / Math.max(1, readyCount) - baselineInFlight) * sweepNanos
              / (BASELINE_WINDOWS * windowNanos);
    }
    baselineSendRate = Math.max(baselineSendRate * (1 - sweepNanos / (double) SEND_RATE_DECAY_NANOS),
        fleet.total(now, Metric.ADMITTED) * SECOND / windowNanos / Math.max(1, readyCount));
    for (PendingRequest r : List.copyOf(pending.values())) {
      for (Attempt a : r.attempts) {
        // Detects a hanging upstream early: a time-out may come seconds after the aim.
        if (a.loaded && !a.overdue
            && now - Math.max(a.sentAt, r.receivedAt) > r.type.aimNanos()) {
          a.overdue = true;
          recordSlowness(a.upstream, Double.MAX_VALUE);
        }
      }
      hedgeStalled(r);
      if (r.inFlight == 1 && !r.answered && !r.streaming && !r.isStalled()) {
        hedge(r);
      }
    }
    List.copyOf(queue).forEach(this::dispatch);
    if (now >= resubscribeAt) {
      resubscribeAt = Long.MAX_VALUE;
      actions.accept(new Watch(true));
    }
  }

  // ---- Endpoint list ------------------------------------------------------------------------------------

  private void onEndpointUpdate(EndpointUpdate update) {
    if (update.kind() == ListKind.FAILED) {
      resubscribeAt = now + listBackoff.nextNanos(random);
      return;
    }
    if (update.kind() != ListKind.CACHED) {
      listBackoff.reset();
    } else if (settings.listOnRequest()) {
      actions.accept(new Watch(true));
    }
    upstreams.update(now, update);
    rebuildRing();
  }

  private void restore(BalancerSnapshot snapshot) {
    upstreams.restore(now, snapshot.upstreams());
    snapshot.windows().forEach((name, totals) -> windows.of(name, now).restore(now, totals));
    fleet.restore(now, snapshot.fleet());
    baselineInFlight = snapshot.baselineInFlight();
    baselineSendRate = snapshot.baselineSendRate();
    retryBudget.tokens = Math.min(retryBudget.tokens, snapshot.retryTokens());
    hints.mean = snapshot.meanHint();
    referenceWeight = snapshot.referenceWeight() > 0 ? snapshot.referenceWeight() : referenceWeight;
    readyUpstreams = new Upstream[0]; // Forces a rebuild: the ring depends on the reference weight.
    rebuildRing();
  }
}
