package cloverpulley;

import cloverpulley.state.BalancerSnapshot;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The interface of the decision module: what a balancer tells it and what it asks the balancer to do.
 *
 * <p>One instance decides for one balancer. It is single-threaded: call {@link #handle} from one thread at a time,
 * events in the order in which they happened. Times and durations are nanoseconds; a clock reading has no particular
 * origin and never goes back. The module reads no clock, no environment and no random source but its seed, so the same
 * calls give the same actions.
 *
 * <p>Actions are to be carried out in the order in which they are handed over, at the clock reading of their event.
 * Every {@link Send} is owed exactly one {@link Outcome}, every {@link SetTimer} one {@link TimerFired}, every
 * {@link Probe} one {@link ProbeResult}. An exception out of {@link #handle} is a defect: drop the instance.
 */
public interface Balancer {

  /** Handles one event at clock reading {@code nowNanos}; actions go to {@code out} in order. */
  void handle(long nowNanos, Event event, Consumer<Action> out);

  /** May a request of a class run again. */
  enum Effect { SAFE, KEYED, UNSAFE }

  /** The upstreams that drop a repeat of a keyed request. */
  enum DedupScope { ALL, ZONE, CELL }

  /** How an attempt or a probe ended. */
  enum Status {
    SERVED, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, NOT_SENT;

    /** Whether this outcome proves that the attempt never ran. */
    public boolean provesNotRun() {
      return this == FULL || this == CONNECT_FAILED || this == NOT_SENT;
    }
  }

  /** What the list says of an upstream. */
  enum State { READY, DRAINING, GONE }

  /** Changes only, the complete list, the complete list as last held (maybe stale), or a failed call. */
  enum ListKind { DELTA, FULL, CACHED, FAILED }

  /** What an upstream's weight means. */
  enum WeightKind { NONE, NOMINAL, ROUGH, LIVE }

  /**
   * A class of requests. An answer within {@code aimNanos + aimStretch x own work} earns {@code worth}, a later one
   * before the deadline {@code lateWorth} of it.
   */
  record RequestClass(String name, Effect effect, DedupScope dedupScope, long dedupWindowNanos, long aimNanos,
      double aimStretch, long deadlineNanos, double worth, double lateWorth, boolean stream) {}

  /** A tenant; its quota (requests a second over all balancers) is 0 where none is stated. */
  record Tenant(String name, double share, double quotaPerSecond) {}

  /** What the deployment allows. {@code maxPending} is the most requests one balancer holds. */
  record Limits(boolean cancel, boolean probes, boolean peers, boolean hedging, boolean retryAfter,
      long maxRetryAfterNanos, int maxAttempts, int maxPending, int streamsPerConnection, long connectTimeoutNanos) {}

  /** The figures of the four rules. {@code resubscribeWithinNanos} is 0 where the list is pushed. */
  record Contract(long answerSlackNanos, long resubscribeWithinNanos, long drainGraceNanos, double slowStartMinRatio,
      long slowStartNanos, double overloadMultiple, long overloadWindowNanos) {}

  /** Points of the result that a unit costs. */
  record Penalties(double crossZone, double waste, double lateFail) {}

  /** A balancer's settings, handed over once when the instance is made. */
  record Settings(int selfId, int groupSize, String zone, List<RequestClass> classes, List<Tenant> tenants, Limits limits,
      Contract contract, Penalties penalties, boolean listOnRequest, WeightKind weightKind, double overShareWorth,
      boolean warmKeys, long tickNanos) {

    /** Checks what cannot make sense, naming the setting. */
    public Settings {
      check(groupSize > 0, "group size must be above 0");
      check(!classes.isEmpty(), "classes must not be empty");
      check(classes.stream().map(RequestClass::name).distinct().count() == classes.size(), "class names must differ");
      for (RequestClass c : classes) {
        check(c.aimNanos > 0, "aim of class " + c.name + " must be above 0");
        check(c.deadlineNanos > 0, "deadline of class " + c.name + " must be above 0");
        check(c.dedupWindowNanos >= 0, "dedup window of class " + c.name + " must not be negative");
        check(c.worth >= 0 && c.lateWorth >= 0, "worth of class " + c.name + " must not be negative");
      }
      for (Tenant t : tenants) {
        check(t.share >= 0 && t.quotaPerSecond >= 0, "share and quota of tenant " + t.name + " must not be negative");
      }
      check(limits.maxAttempts > 0, "max attempts must be above 0");
      check(limits.maxPending > 0, "max open must be above 0");
      check(limits.maxRetryAfterNanos >= 0, "max retry-after must not be negative");
      check(contract.answerSlackNanos >= 0, "answer slack must not be negative");
      check(contract.resubscribeWithinNanos >= 0, "ask-within must not be negative");
      check(contract.drainGraceNanos >= 0, "drain grace must not be negative");
      check(contract.slowStartMinRatio > 0 && contract.slowStartMinRatio <= 1, "cold-from must be above 0 and at most 1");
      check(contract.slowStartNanos >= 0, "warm-within must not be negative");
      check(contract.overloadMultiple > 0 && contract.overloadWindowNanos >= 0, "fall figures must not be negative");
      check(tickNanos >= 0, "tick must not be negative");
    }

    private static void check(boolean ok, String what) {
      if (!ok) {
        throw new IllegalArgumentException("settings: " + what);
      }
    }
  }

  /** One line of the list. {@code startedNanos} is 0 where it started long ago; weight compares upstreams. */
  record Endpoint(long upstream, String zone, int cell, State state, long startedNanos, double weight) {}

  /** What happened. */
  sealed interface Event permits EndpointUpdate, Request, AnswerStarted, Outcome, ClientGone, TimerFired, ProbeResult,
      PeerMessage, UpstreamSetOffline, UpstreamSetOnline, SnapshotRequested, SnapshotRestored,
      ProcessCountChanged, SettingsChanged, BodyEnded, BodyDiscarded {}

  /** News of the list of upstreams. An instance's first news is of kind CACHED. */
  record EndpointUpdate(ListKind kind, List<Endpoint> endpoints) implements Event {}

  /**
   * A request came in and is owed one final answer by {@code deadlineNanos} (a clock reading). Tenant and key may be
   * null; {@code workHintNanos} is 0 where no hint came. Where {@code answerByNanos} is above 0, it is to be sent or ended by
   * then. {@code priorAttempts} are attempts that a caller made before, which count as its first ones: they have ended.
   */
  record Request(String id, String className, String tenant, String key, long deadlineNanos, long workHintNanos,
      boolean retry, long answerByNanos, List<PriorAttempt> priorAttempts) implements Event {

    /** A request that may be held until its deadline, and had no attempt before. */
    public Request(String id, String className, String tenant, String key, long deadlineNanos, long workHintNanos,
        boolean retry) {
      this(id, className, tenant, key, deadlineNanos, workHintNanos, retry, 0, List.of());
    }
  }

  /** An attempt of an earlier call for the same request; zone and cell are those of the upstream when it was sent. */
  record PriorAttempt(long upstream, String zone, int cell, long sentNanos, boolean mayHaveRun) {}

  /**
   * An answer that is passed on while it comes has started: the request is this attempt's, without a deadline, until its outcome. The
   * upstream has done its work; what is left is its way to the client.
   */
  record AnswerStarted(String id, int attempt, long upstream, long latencyNanos) implements Event {}

  /**
   * An attempt ended. {@code finished}: the request is over (the first SERVED ends it by itself); otherwise a final
   * answer is still owed. {@code load} is the upstream's report, empty where none came.
   */
  record Outcome(String id, int attempt, long upstream, Status status, long latencyNanos, boolean finished,
      Map<String, Double> load) implements Event {}

  /** The client left; no answer is owed any more. */
  record ClientGone(String id) implements Event {}

  /** A timer came due. */
  record TimerFired(String token) implements Event {}

  /** A probe ended. */
  record ProbeResult(long upstream, Status status, long latencyNanos, Map<String, Double> load) implements Event {}

  /** Another balancer of the group sent a message. */
  record PeerMessage(int from, byte[] data) implements Event {}

  /** The last byte of a request that was told of before it was whole has come: from here its time counts, until the deadline. */
  record BodyEnded(String id, long deadlineNanos) implements Event {}

  /** The beginning of a request's body is not kept any more: it can't be sent again, nor a second copy of it. */
  record BodyDiscarded(String id) implements Event {}

  /**
   * An operator takes an upstream out: nothing new goes to it, whatever the list says, until it is called back. Listed or not,
   * and again while it is out, when {@code offlineNanos}, how long it has been out already, is not looked at.
   */
  record UpstreamSetOffline(long upstream, long offlineNanos) implements Event {}

  /** An operator calls an upstream back, which ends its being out however often it was taken out. It has been restarted meanwhile. */
  record UpstreamSetOnline(long upstream) implements Event {}

  /** A successor starts beside this instance and needs what it knows: {@link PublishSnapshot} is the answer. This instance goes on. */
  record SnapshotRequested() implements Event {}

  /** What a predecessor knew; after the first list. */
  record SnapshotRestored(BalancerSnapshot snapshot) implements Event {}

  /**
   * Other settings hold for requests that come from here on; those in hand keep their class and number of attempts, and all that was
   * learned stays. How the list comes stays as it was.
   */
  record SettingsChanged(Settings settings) implements Event {}

  /** So many processes serve as this balancer, this one among them: 1 but for an upgrade. Each gets about an even part of the traffic. */
  record ProcessCountChanged(int processes) implements Event {}

  /** What the balancer is asked to do. */
  sealed interface Action permits Send, Cancel, Reject, Fail, SetTimer, Watch, FetchEndpoints, Probe, CloseIdle, SendToPeer,
      PublishSnapshot, Log {}

  /**
   * Start an attempt; a request's attempts count 0, 1, 2 ... in sending order. Time-out 0: until the deadline. Its last byte is to leave before
   * the clock reading {@code sendByNanos}, or it is to end as NOT_SENT; 0: whenever it can.
   */
  record Send(String id, long upstream, long timeoutNanos, long sendByNanos) implements Action {

    /** An attempt that may leave whenever it can. */
    public Send(String id, long upstream, long timeoutNanos) {
      this(id, upstream, timeoutNanos, 0);
    }
  }

  /** Stop waiting for an attempt; whether the upstream stops is up to it. */
  record Cancel(String id, int attempt) implements Action {}

  /** Final answer: refused, trying again does no harm. {@code retryAfterNanos} 0: no advice. */
  record Reject(String id, long retryAfterNanos, Reason reason) implements Action {}

  /** Final answer: failed, with no promise. */
  record Fail(String id, Reason reason) implements Action {}

  /** Ask for {@link TimerFired} at a clock reading. */
  record SetTimer(String token, long atNanos) implements Action {}

  /** Subscribe to changes of the list (or stop). One ListNews answers. */
  record Watch(boolean on) implements Action {}

  /** Ask once for the complete list. */
  record FetchEndpoints() implements Action {}

  /** Probe an upstream. */
  record Probe(long upstream) implements Action {}

  /** Close this balancer's idle connections to an upstream. */
  record CloseIdle(long upstream) implements Action {}

  /** Send at most 256 bytes to one balancer of the group, or to all of them (-1). */
  record SendToPeer(int to, byte[] data) implements Action {}

  /** What this instance knows, for a successor. */
  record PublishSnapshot(BalancerSnapshot snapshot) implements Action {}

  /** A line for the balancer's log. */
  record Log(String text) implements Action {}
}
