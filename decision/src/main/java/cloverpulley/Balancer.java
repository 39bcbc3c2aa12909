package cloverpulley;

import cloverpulley.state.BalancerSnapshot;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Interface of the decision module: the events that the host passes in and the actions that it has to carry out.
 *
 * <p>One instance decides for one balancer. It is single-threaded: call {@link #handle} from one thread at a time, with
 * events in the order in which they happened. Times and durations are nanoseconds; a clock reading has no particular
 * origin and never goes back. The module reads no clock and no environment and draws random numbers from its seed only,
 * so the same calls give the same actions.
 *
 * <p>The host carries out actions in the order in which they are emitted, at the clock reading of their event. It must
 * deliver exactly one {@link Outcome} for every {@link Send}, one {@link TimerFired} for every {@link SetTimer} and one
 * {@link ProbeResult} for every {@link Probe}. An exception from {@link #handle} is a defect: discard the instance.
 */
public interface Balancer {

  /** Handles one event at clock reading {@code nowNanos} and passes the resulting actions to {@code out} in order. */
  void handle(long nowNanos, Event event, Consumer<Action> out);

  /**
   * Whether a request may run more than once: always, only where upstreams deduplicate it by its idempotency key, or
   * never.
   */
  enum Effect { SAFE, KEYED, UNSAFE }

  /** The group of upstreams that deduplicates retries of a keyed request among themselves. */
  enum DedupScope { ALL, ZONE, CELL }

  /** How an attempt or a probe ended. */
  enum Status {
    SERVED, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, NOT_SENT;

    /** Whether this status proves that the upstream never executed the attempt. */
    public boolean provesNotRun() {
      return this == FULL || this == CONNECT_FAILED || this == NOT_SENT;
    }
  }

  /** State of an upstream in the endpoint list. */
  enum State { READY, DRAINING, GONE }

  /** Changes only, the complete list, the complete list from the cache (maybe stale), or a failed call. */
  enum ListKind { DELTA, FULL, CACHED, FAILED }

  /** What the weight of an upstream means. */
  enum WeightKind { NONE, NOMINAL, ROUGH, LIVE }

  /**
   * A class of requests. A response within {@code aimNanos + aimStretch x own work} scores {@code worth}, a later one
   * before the deadline scores {@code lateWorth} of it.
   */
  record RequestClass(String name, Effect effect, DedupScope dedupScope, long dedupWindowNanos, long aimNanos,
      double aimStretch, long deadlineNanos, double worth, double lateWorth, boolean stream) {}

  /** A tenant; its quota in requests per second over all balancers is 0 if none is configured. */
  record Tenant(String name, double share, double quotaPerSecond) {}

  /** Capabilities and limits of the deployment. {@code maxPending} limits the requests in progress in one balancer. */
  record Limits(boolean cancel, boolean probes, boolean peers, boolean hedging, boolean retryAfter,
      long maxRetryAfterNanos, int maxAttempts, int maxPending, int streamsPerConnection, long connectTimeoutNanos) {}

  /**
   * Parameters of the four rules that a balancer must keep.
   *
   * @param answerSlackNanos how long after its deadline a request may get its final response
   * @param resubscribeWithinNanos how soon after a failed call the list is requested again; 0 if the list is pushed
   * @param drainGraceNanos how long after an upstream starts draining it may still get requests
   * @param slowStartMinRatio part of its capacity that an upstream has right after its start
   * @param slowStartNanos time from the start of an upstream until it has its full capacity
   * @param overloadMultiple an upstream in slow start is overloaded by this multiple of its capacity
   * @param overloadWindowNanos window in which the multiple is counted
   */
  record Contract(long answerSlackNanos, long resubscribeWithinNanos, long drainGraceNanos, double slowStartMinRatio,
      long slowStartNanos, double overloadMultiple, long overloadWindowNanos) {}

  /** Score lost per unit. */
  record Penalties(double crossZone, double waste, double lateFail) {}

  /**
   * Settings of a balancer, passed to the constructor and with {@link SettingsChanged}.
   *
   * @param selfId number of this balancer in its group
   * @param groupSize number of balancers that share the traffic and the quotas
   * @param listOnRequest whether the endpoint list is requested by the balancer rather than pushed to it
   * @param overShareWorth part of its worth that a request over its tenant's quota keeps
   * @param warmKeys whether upstreams cache by key, so that a key should stay on few upstreams
   * @param tickNanos how much later than decided the host may carry out an action
   */
  record Settings(int selfId, int groupSize, String zone, List<RequestClass> classes, List<Tenant> tenants, Limits limits,
      Contract contract, Penalties penalties, boolean listOnRequest, WeightKind weightKind, double overShareWorth,
      boolean warmKeys, long tickNanos) {

    /** Rejects values that make no sense; the message names the setting. */
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
      check(contract.overloadMultiple > 0 && contract.overloadWindowNanos >= 0, "fall-multiple must be above 0, its window must not be negative");
      check(tickNanos >= 0, "tick must not be negative");
    }

    private static void check(boolean ok, String what) {
      if (!ok) {
        throw new IllegalArgumentException("settings: " + what);
      }
    }
  }

  /**
   * One entry of the endpoint list. {@code startedNanos} is 0 if the upstream started long ago; the weight is relative to
   * that of other upstreams.
   */
  record Endpoint(long upstream, String zone, int cell, State state, long startedNanos, double weight) {}

  /** Something that happened to the balancer. */
  sealed interface Event permits EndpointUpdate, Request, AnswerBegan, AnswerStalled, AnswerStarted, Outcome, ClientGone, TimerFired, ProbeResult,
      PeerMessage, UpstreamSetOffline, UpstreamSetOnline, SnapshotRequested, SnapshotRestored,
      ProcessCountChanged, SettingsChanged, BodyPending, BodyEnded, BodyDiscarded {}

  /** An update of the endpoint list. The first update of an instance is of kind CACHED. */
  record EndpointUpdate(ListKind kind, List<Endpoint> endpoints) implements Event {}

  /**
   * A request was received and must get one final answer by {@code deadlineNanos} (a clock reading). Tenant and key may
   * be null; {@code workHintNanos} is 0 if there is no hint. If {@code answerByNanos} is above 0, the request has to be sent or
   * ended by then. {@code priorAttempts} are finished attempts of earlier calls; they count as the first attempts of this one.
   * {@code bodyBytes} is the length of the body that an upstream reads before it runs the request; 0 if that takes no time.
   */
  record Request(String id, String className, String tenant, String key, long deadlineNanos, long workHintNanos,
      boolean retry, long answerByNanos, List<PriorAttempt> priorAttempts, long bodyBytes) implements Event {

    /** A request without a body. */
    public Request(String id, String className, String tenant, String key, long deadlineNanos, long workHintNanos,
        boolean retry, long answerByNanos, List<PriorAttempt> priorAttempts) {
      this(id, className, tenant, key, deadlineNanos, workHintNanos, retry, answerByNanos, priorAttempts, 0);
    }

    /** A request that may be queued until its deadline and has no prior attempts. */
    public Request(String id, String className, String tenant, String key, long deadlineNanos, long workHintNanos,
        boolean retry) {
      this(id, className, tenant, key, deadlineNanos, workHintNanos, retry, 0, List.of());
    }
  }

  /** An attempt of an earlier call for the same request; zone and cell are those of the upstream at the time of sending. */
  record PriorAttempt(long upstream, String zone, int cell, long sentNanos, boolean mayHaveRun) {}

  /**
   * A streamed response has started. From here on the request belongs to this attempt, without a deadline, until its outcome. The
   * upstream has done its work; what remains is the transfer to the client.
   */
  record AnswerStarted(String id, int attempt, long upstream, long latencyNanos) implements Event {}

  /**
   * The body of a response has begun to arrive, {@code latencyNanos} after the attempt was sent, and is not complete: the upstream has done its
   * work, and what remains is the transfer. Reported at most once for an attempt.
   */
  record AnswerBegan(String id, int attempt, long upstream, long latencyNanos) implements Event {}

  /** The response to an attempt has begun and then paused: it may go on, or never be complete. Reported at most once for an attempt. */
  record AnswerStalled(String id, int attempt, long upstream) implements Event {}

  /**
   * An attempt ended. {@code finished}: the request is complete (the first SERVED completes it); otherwise it must still
   * get a final answer. {@code load} is the load report of the upstream, empty if there was none.
   */
  record Outcome(String id, int attempt, long upstream, Status status, long latencyNanos, boolean finished,
      Map<String, Double> load) implements Event {}

  /** The client disconnected; the request needs no answer any more. */
  record ClientGone(String id) implements Event {}

  /** A timer expired. */
  record TimerFired(String token) implements Event {}

  /** A probe completed. */
  record ProbeResult(long upstream, Status status, long latencyNanos, Map<String, Double> load) implements Event {}

  /** A message from another balancer of the group. */
  record PeerMessage(int from, byte[] data) implements Event {}

  /** A request was announced before its body was complete: its attempts are no load at an upstream until {@link BodyEnded}. */
  record BodyPending(String id) implements Event {}

  /** The body of a request that was announced before it was complete has been received: its latency and deadline count from here. */
  record BodyEnded(String id, long deadlineNanos) implements Event {}

  /** The buffered start of a request body was discarded: the request can be neither retried nor hedged. */
  record BodyDiscarded(String id) implements Event {}

  /**
   * An operator sets an upstream administratively offline: it gets no new requests, whatever the list says, until it is set online. It
   * need not be listed. The event may be repeated until then; {@code offlineNanos}, how long it has been offline, counts in the first only.
   */
  record UpstreamSetOffline(long upstream, long offlineNanos) implements Event {}

  /** An operator brings an upstream back online, however often it was set offline. It has been restarted in the meantime. */
  record UpstreamSetOnline(long upstream) implements Event {}

  /** A successor process needs the state of this instance: {@link PublishSnapshot} is the reply. This instance continues to run. */
  record SnapshotRequested() implements Event {}

  /** The state of the predecessor; passed in after the first list. */
  record SnapshotRestored(BalancerSnapshot snapshot) implements Event {}

  /**
   * New settings for requests received from here on; those in progress keep their class and number of attempts, and all statistics are
   * kept. How the list is obtained does not change.
   */
  record SettingsChanged(Settings settings) implements Event {}

  /** Number of processes that run as this balancer, including this one: 1 except during an upgrade. Each gets about an equal part of the traffic. */
  record ProcessCountChanged(int processes) implements Event {}

  /** Something that the host has to do. */
  sealed interface Action permits Send, Cancel, Reject, Fail, SetTimer, Watch, FetchEndpoints, Probe, CloseIdle, SendToPeer,
      PublishSnapshot, Log {}

  /**
   * Start an attempt; the attempts of a request are numbered 0, 1, 2 ... in sending order. Time-out 0: until the deadline. If its last byte
   * can't be sent before the clock reading {@code sendByNanos}, the attempt has to end as NOT_SENT; 0: no such limit.
   */
  record Send(String id, long upstream, long timeoutNanos, long sendByNanos) implements Action {

    /** An attempt without a limit on the time of sending. */
    public Send(String id, long upstream, long timeoutNanos) {
      this(id, upstream, timeoutNanos, 0);
    }
  }

  /** Stop waiting for an attempt; the upstream may or may not stop working on it. */
  record Cancel(String id, int attempt) implements Action {}

  /** Final answer: rejected; the client can retry safely. {@code retryAfterNanos} 0: no advice. */
  record Reject(String id, long retryAfterNanos, Reason reason) implements Action {}

  /** Final answer: failed; the request may have run, and a retry may not be safe. */
  record Fail(String id, Reason reason) implements Action {}

  /** Request a {@link TimerFired} event at a clock reading. */
  record SetTimer(String token, long atNanos) implements Action {}

  /** Subscribe to changes of the endpoint list, or unsubscribe. An {@link EndpointUpdate} is the reply. */
  record Watch(boolean on) implements Action {}

  /** Request the complete endpoint list once. */
  record FetchEndpoints() implements Action {}

  /** Start a health probe of an upstream. */
  record Probe(long upstream) implements Action {}

  /** Close this balancer's idle connections to an upstream. */
  record CloseIdle(long upstream) implements Action {}

  /** Send at most 256 bytes to one balancer of the group, or to all of them (-1). */
  record SendToPeer(int to, byte[] data) implements Action {}

  /** The state of this instance, for a successor. */
  record PublishSnapshot(BalancerSnapshot snapshot) implements Action {}

  /** Write a line to the log. */
  record Log(String text) implements Action {}
}
