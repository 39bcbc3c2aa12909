package cloverpulley.processor;

import cloverpulley.Balancer.PriorAttempt;
import cloverpulley.Balancer.Status;
import cloverpulley.Reason;
import cloverpulley.engine.Attempt;
import cloverpulley.engine.Clock;
import cloverpulley.engine.Engine;
import cloverpulley.engine.Exchange;
import cloverpulley.engine.Fleet;
import cloverpulley.engine.LocalReply;
import cloverpulley.engine.ServerList.Server;
import cloverpulley.quota.Quotas;
import cloverpulley.quota.service.QuotaKeeper;
import cloverpulley.repeats.AttemptTracker;
import cloverpulley.repeats.AttemptTracker.Result;
import java.net.SocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Passes calls from their streams to the engine: acts on what {@link AttemptTracker} knows of each request, and reports the
 * outcomes of attempts to the tracker and the engine. It makes no decisions. Used on the engine's loop only.
 */
final class CallDispatcher {

  private final ScheduledExecutorService engineLoop;
  private final Clock clock;
  private final Engine engine;
  private final Fleet fleet;
  private final AttemptTracker attemptTracker;
  private final Counts counts;
  private final RecordsFile recordsFile;
  /** Null if no quotas are configured. */
  private final QuotaKeeper quotas;

  CallDispatcher(ScheduledExecutorService engineLoop, Clock clock, Engine engine, Fleet fleet, AttemptTracker attemptTracker, Counts counts,
      RecordsFile recordsFile, QuotaKeeper quotas) {
    this.quotas = quotas;
    this.engineLoop = engineLoop;
    this.clock = clock;
    this.engine = engine;
    this.fleet = fleet;
    this.attemptTracker = attemptTracker;
    this.counts = counts;
    this.recordsFile = recordsFile;
  }

  /**
   * Accepts a call.
   *
   * @param receivedAt clock reading at which its headers arrived
   * @param answerBy clock reading by which the module must have forwarded or ended it
   * @return its exchange; null if it has been answered already
   */
  CallExchange acceptCall(RequestParser.ParsedRequest request, long receivedAt, long answerBy, CallExchange.DecisionListener listener) {
    long now = clock.now();
    return acceptCall(request, receivedAt, answerBy, listener, request.id() == null ? new AttemptTracker.FirstCall()
        : attemptTracker.onCall(now, request.id(), request.requestClass().name(), request.requestClass().effect(), request.attemptCount()));
  }

  /**
   * Selects another upstream for a call whose upstream is no longer eligible and whose attempt the proxy has not sent yet. It counts as
   * the same call.
   */
  CallExchange reselect(CallExchange x, long answerBy) {
    finishAttempt(x, Status.NOT_SENT, Map.of());
    return acceptCall(x.request, x.info().deadline() - x.request.waitNanos(), answerBy, x.listener,
        x.request.id() == null ? new AttemptTracker.FirstCall() : attemptTracker.onReselect(clock.now(), x.request.id()));
  }

  private CallExchange acceptCall(RequestParser.ParsedRequest request, long receivedAt, long answerBy,
      CallExchange.DecisionListener listener, Result history) {
    List<PriorAttempt> priorAttempts = List.of();
    if (history instanceof AttemptTracker.Retry retry) {
      priorAttempts = retry.priorAttempts();
      counts.retries.increment();
    } else if (history instanceof AttemptTracker.UnknownHistory) {
      replyLocally(listener, LocalReply.failed(Reason.UNKNOWN_EARLIER));
      return null;
    } else if (history instanceof AttemptTracker.TableFull) {
      // No attempt has run, so a retry elsewhere or later is safe.
      replyLocally(listener, new LocalReply(true, Reason.RECORD_FULL, TimeUnit.SECONDS.toNanos(1)));
      return null;
    } else if (history instanceof AttemptTracker.InProgress) {
      counts.countLocalReply(Reason.IN_HAND);
      listener.onInvalid(409, "the request's id is that of a call in hand", Reason.IN_HAND.code());
      return null;
    }
    long quotaGrant = 0;
    double expectedBytes = 0;
    if (quotas != null && history instanceof AttemptTracker.FirstCall) {
      // First calls only: an earlier attempt of a retry may have run, and a rejection would state that none has.
      expectedBytes = quotas.expectedResponseBytes(CallExchange.responseSizeKey(request));
      quotaGrant = quotas.tryAcquire(request.quotaPath(), 1, 0, expectedBytes, request.hintNanos() / 1e6, true);
      if (Quotas.isRejected(quotaGrant)) {
        if (request.id() != null) {
          attemptTracker.onNotSent(clock.now(), request.id());
        }
        replyLocally(listener, new LocalReply(true, Reason.QUOTA, quotas.retryAfterNanos()));
        return null;
      }
    }
    CallExchange x = new CallExchange(new Exchange.RequestInfo(request.requestClass(), request.tenant(), request.key(), request.hintNanos(),
        request.retry(), receivedAt + request.waitNanos(), answerBy, priorAttempts), request, listener, this);
    x.quotaGranted = quotas != null && history instanceof AttemptTracker.FirstCall;
    x.quotaGrant = quotaGrant;
    x.quotaGrantedAt = clock.now();
    x.expectedResponseBytes = expectedBytes;
    engine.accept(x);
    return x;
  }

  /** Releases the concurrency quota of a call that the engine has dropped, however it ended, and charges the bytes of its response. */
  void settleQuota(CallExchange x) {
    if (x.quotaGranted) {
      x.quotaGranted = false;
      quotas.settleResponse(x.request.quotaPath(), x.quotaGrant, x.quotaGrantedAt, x.responseSizeKey(),
          x.expectedResponseBytes, x.responseBytes);
      quotas.release(x.request.quotaPath(), x.quotaGrant);
    }
  }

  private void replyLocally(CallExchange.DecisionListener listener, LocalReply reply) {
    counts.countLocalReply(reply.reason());
    listener.onLocalReply(reply);
  }

  /** The module has selected an upstream: sends it to the caller and starts the attempt's time-out. */
  Attempt.CancelHandle onAttemptStarted(CallExchange x, SocketAddress address, long timeoutNanos) {
    counts.sent.increment();
    Server server = fleet.server(x.attempt.upstream());
    if (x.request.id() != null) {
      attemptTracker.onSent(clock.now(), x.request.id(), x.attempt.upstream(), server.zone(), server.cell());
    }
    x.timeout = engineLoop.schedule(() -> finishAttempt(x, Status.TIMEOUT, Map.of()), timeoutNanos, TimeUnit.NANOSECONDS);
    x.listener.onUpstreamSelected(x, address);
    return () -> finishAttempt(x, Status.CANCELLED, Map.of());
  }

  /** The module has ended a call without an attempt. */
  void recordLocalReply(CallExchange x, LocalReply reply) {
    counts.countLocalReply(reply.reason());
    record(x, reply.reason().code(), false);
    markNotSent(x);
  }

  private void record(CallExchange x, String outcome, boolean sent) {
    if (recordsFile.isEnabled()) {
      long latencyMicros = (clock.now() - (x.info().deadline() - x.request.waitNanos())) / 1000;
      recordsFile.add(new RecordsFile.CallRecord(RecordsFile.nowMicros() - latencyMicros, x.request.requestClass().name(), x.request.tenant(),
          RecordsFile.hash(x.request.key()), x.request.hintNanos() / 1000, outcome, sent, sent ? x.attempt.upstream() : 0,
          latencyMicros));
    }
  }

  private void markNotSent(CallExchange x) {
    if (x.request.id() != null) {
      attemptTracker.onNotSent(clock.now(), x.request.id());
    }
  }

  /** Ends the attempt with a response whose body had {@code responseBytes}; see {@link #finishAttempt(CallExchange, Status, Map)}. */
  void finishAttempt(CallExchange x, Status status, Map<String, Double> load, long responseBytes) {
    if (!x.isEnded()) {
      x.responseBytes = responseBytes;
    }
    finishAttempt(x, status, load);
  }

  /**
   * Ends the attempt, whatever the caller does next: a later call for the same request is a call of its own. Further reports on the
   * same attempt are ignored.
   */
  void finishAttempt(CallExchange x, Status status, Map<String, Double> load) {
    if (x.attempt == null || x.isEnded()) {
      return;
    }
    x.timeout.cancel(false);
    counts.countOutcome(status);
    record(x, status.name().toLowerCase(Locale.ROOT), true);
    if (x.request.id() != null) {
      attemptTracker.onAttemptEnded(clock.now(), x.request.id(), x.attempt.upstream(), status);
    }
    x.end();
    engine.attemptEnded(x.attempt, status, load, () -> { });
  }

  /**
   * The caller has closed the stream or its connection is lost: an undecided call is over; an attempt may still be running, or may have run.
   *
   * @param destinationDelivered whether the destination has been sent to the caller
   */
  void onCallerGone(CallExchange x, boolean destinationDelivered) {
    if (x.attempt != null) {
      finishAttempt(x, destinationDelivered ? Status.CANCELLED : Status.NOT_SENT, Map.of());
    } else if (!x.isEnded()) {
      markNotSent(x);
      engine.clientGone(x);
    }
  }

  /** The destination did not reach the caller, whose call has ended in another way: the attempt was not sent. */
  void onUndelivered(CallExchange x) {
    finishAttempt(x, Status.NOT_SENT, Map.of());
  }

  /** Whether the upstream of an attempt that the caller has not sent yet is still eligible. */
  boolean isUpstreamReady(CallExchange x) {
    return !x.isEnded() && fleet.isReady(x.attempt.upstream());
  }
}
