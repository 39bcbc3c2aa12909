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
 * The calls in hand, between their streams and the engine: carries out what {@link AttemptTracker} finds of each, and tells it and
 * the engine what becomes of attempts. It decides nothing. All of it runs on the engine's loop.
 */
final class CallDispatcher {

  private final ScheduledExecutorService loop;
  private final Clock clock;
  private final Engine engine;
  private final Fleet fleet;
  private final AttemptTracker repeats;
  private final Counts counts;
  private final RecordsFile records;
  /** Null where there are none. */
  private final QuotaKeeper quotas;

  CallDispatcher(ScheduledExecutorService loop, Clock clock, Engine engine, Fleet fleet, AttemptTracker repeats, Counts counts,
      RecordsFile records, QuotaKeeper quotas) {
    this.quotas = quotas;
    this.loop = loop;
    this.clock = clock;
    this.engine = engine;
    this.fleet = fleet;
    this.repeats = repeats;
    this.counts = counts;
    this.records = records;
  }

  /**
   * A call has come.
   *
   * @param receivedAt clock reading at which its headers came
   * @param answerBy clock reading by which the module has to have sent or ended it
   * @return what stands for it here; null where it has been answered already
   */
  CallExchange take(RequestParser.Call call, long receivedAt, long answerBy, CallExchange.Caller caller) {
    long now = clock.now();
    return take(call, receivedAt, answerBy, caller, call.id() == null ? new AttemptTracker.FirstCall()
        : repeats.onCall(now, call.id(), call.type().name(), call.type().effect(), call.count()));
  }

  /**
   * A call's attempt may not go where it was to go, and its caller has not sent it yet: it is asked about anew, as the same
   * call.
   */
  CallExchange takeAgain(CallExchange x, long answerBy) {
    ended(x, Status.NOT_SENT, Map.of());
    return take(x.call, x.info().deadline() - x.call.waitNanos(), answerBy, x.caller,
        x.call.id() == null ? new AttemptTracker.FirstCall() : repeats.onReselect(clock.now(), x.call.id()));
  }

  private CallExchange take(RequestParser.Call call, long receivedAt, long answerBy, CallExchange.Caller caller, Result finding) {
    List<PriorAttempt> earlier = List.of();
    if (finding instanceof AttemptTracker.Retry joined) {
      earlier = joined.priorAttempts();
      counts.joined.increment();
    } else if (finding instanceof AttemptTracker.UnknownHistory) {
      end(caller, LocalReply.failed(Reason.UNKNOWN_EARLIER));
      return null;
    } else if (finding instanceof AttemptTracker.TableFull) {
      // Nothing of it has run: trying again, elsewhere or later, is harmless.
      end(caller, new LocalReply(true, Reason.RECORD_FULL, TimeUnit.SECONDS.toNanos(1)));
      return null;
    } else if (finding instanceof AttemptTracker.InProgress) {
      counts.count(Reason.IN_HAND);
      caller.bad(409, "the request's id is that of a call in hand", Reason.IN_HAND.code());
      return null;
    }
    long grant = 0;
    double octets = 0;
    if (quotas != null && finding instanceof AttemptTracker.FirstCall) {
      // A first alone: of what was asked before something may have run, and a refusal would say that nothing has.
      octets = quotas.expectedResponseBytes(CallExchange.kind(call));
      grant = quotas.tryAcquire(call.quotaPath(), 1, 0, octets, call.hintNanos() / 1e6, true);
      if (Quotas.isRejected(grant)) {
        if (call.id() != null) {
          repeats.onNotSent(clock.now(), call.id());
        }
        end(caller, new LocalReply(true, Reason.QUOTA, quotas.retryAfterNanos()));
        return null;
      }
    }
    CallExchange x = new CallExchange(new Exchange.RequestInfo(call.type(), call.tenant(), call.key(), call.hintNanos(),
        call.retry(), receivedAt + call.waitNanos(), answerBy, earlier), call, caller, this);
    x.granted = quotas != null && finding instanceof AttemptTracker.FirstCall;
    x.grant = grant;
    x.grantedAt = clock.now();
    x.expectedOctets = octets;
    engine.accept(x);
    return x;
  }

  /** Nothing is left of it: its place in flight is given back, whatever its end, and its answer's octets are charged. */
  void forgotten(CallExchange x) {
    if (x.granted) {
      x.granted = false;
      quotas.settleResponse(x.call.quotaPath(), x.grant, x.grantedAt, x.kind(), x.expectedOctets, x.octets);
      quotas.release(x.call.quotaPath(), x.grant);
    }
  }

  private void end(CallExchange.Caller caller, LocalReply verdict) {
    counts.count(verdict.reason());
    caller.end(verdict);
  }

  /** The module has a call sent: the caller is told, and its time starts. */
  Attempt.CancelHandle started(CallExchange x, SocketAddress address, long timeoutNanos) {
    counts.sent.increment();
    Server server = fleet.server(x.attempt.upstream());
    if (x.call.id() != null) {
      repeats.onSent(clock.now(), x.call.id(), x.attempt.upstream(), server.zone(), server.cell());
    }
    x.timeout = loop.schedule(() -> ended(x, Status.TIMEOUT, Map.of()), timeoutNanos, TimeUnit.NANOSECONDS);
    x.caller.send(x, address);
    return () -> ended(x, Status.CANCELLED, Map.of());
  }

  /** The module has ended a call without an attempt. */
  void answered(CallExchange x, LocalReply verdict) {
    counts.count(verdict.reason());
    record(x, verdict.reason().code(), false);
    over(x);
  }

  private void record(CallExchange x, String word, boolean sent) {
    if (records.isKept()) {
      long took = (clock.now() - (x.info().deadline() - x.call.waitNanos())) / 1000;
      records.add(new RecordsFile.Call(RecordsFile.nowMicros() - took, x.call.type().name(), x.call.tenant(),
          RecordsFile.hash(x.call.key()), x.call.hintNanos() / 1000, word, sent, sent ? x.attempt.upstream() : 0, took));
    }
  }

  private void over(CallExchange x) {
    if (x.call.id() != null) {
      repeats.onNotSent(clock.now(), x.call.id());
    }
  }

  /** The attempt has ended with an answer whose body had so many octets; see the other. */
  void ended(CallExchange x, Status status, Map<String, Double> load, long octets) {
    if (!x.isEnded()) {
      x.octets = octets;
    }
    ended(x, status, load);
  }

  /**
   * The attempt has ended, whatever a caller may do next: what comes for the same request then is a call of its own. A second
   * word on the same attempt is ignored.
   */
  void ended(CallExchange x, Status status, Map<String, Double> load) {
    if (x.attempt == null || x.isEnded()) {
      return;
    }
    x.timeout.cancel(false);
    counts.outcome(status);
    record(x, status.name().toLowerCase(Locale.ROOT), true);
    if (x.call.id() != null) {
      repeats.onAttemptEnded(clock.now(), x.call.id(), x.attempt.upstream(), status);
    }
    x.end();
    engine.attemptEnded(x.attempt, status, load, () -> { });
  }

  /**
   * The caller has hung up: a call without a verdict is over, an attempt may go on and may have run.
   *
   * @param told whether the caller has been told where to send it
   */
  void gone(CallExchange x, boolean told) {
    if (x.attempt != null) {
      ended(x, told ? Status.CANCELLED : Status.NOT_SENT, Map.of());
    } else if (!x.isEnded()) {
      over(x);
      engine.clientGone(x);
    }
  }

  /** A destination has not reached the caller, which has answered its client in another way: nothing was sent. */
  void undelivered(CallExchange x) {
    ended(x, Status.NOT_SENT, Map.of());
  }

  /** Whether an attempt that the caller has not sent yet may still go where it was to go. */
  boolean stillStands(CallExchange x) {
    return !x.isEnded() && fleet.isReady(x.attempt.upstream());
  }
}
