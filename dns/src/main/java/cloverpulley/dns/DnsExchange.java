package cloverpulley.dns;

import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.Status;
import cloverpulley.dns.client.UpstreamQuery;
import cloverpulley.dns.wire.MalformedException;
import cloverpulley.dns.wire.Message;
import cloverpulley.engine.Attempt;
import cloverpulley.engine.Exchange;
import cloverpulley.names.RcodeMapping;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Map;

/** A forwarded message: each attempt queries one server and reports its outcome to the engine. */
abstract class DnsExchange extends Exchange {

  final Resolver resolver;
  private final UpstreamQuery.Spec spec;

  DnsExchange(RequestInfo info, Resolver resolver, UpstreamQuery.Spec spec) {
    super(info);
    this.resolver = resolver;
    this.spec = spec;
  }

  @Override
  protected Attempt.CancelHandle startAttempt(Attempt attempt, SocketAddress address, long timeoutNanos) {
    // A query that can be retried on another server doesn't wait for an unresponsive one; an unsafe one waits until its timeout.
    long wait = info().requestClass().effect() == Effect.UNSAFE ? timeoutNanos
        : Math.min(timeoutNanos, resolver.config.attemptNanos());
    return resolver.client.query(attempt.upstream(), (InetSocketAddress) address, spec, wait,
        (status, answer, reason) -> onAttemptEnded(attempt, status, answer))::cancel;
  }

  private void onAttemptEnded(Attempt attempt, Status status, Message answer) {
    Status result = status;
    ResponseTemplate parsed = null;
    if (answer != null) {
      result = RcodeMapping.toStatus(info().requestClass().effect(), answer.rcode(), resolver.config.refusedIsFull());
      if (result == Status.SERVED && spec.raw() == null) {
        parsed = toTemplate(answer);
        result = parsed == null ? Status.ERROR : result;
      }
    }
    boolean served = result == Status.SERVED;
    ResponseTemplate template = parsed;
    resolver.engine.attemptEnded(attempt, result, Map.of(), () -> {
      if (served && !isEnded()) {
        end();
        resolver.counts.served++;
        onServed(answer, template);
      }
    });
  }

  /** The response as it can be cached and shared; null if it is malformed or has records for names that were not queried. */
  private ResponseTemplate toTemplate(Message answer) {
    if (!answer.isInBailiwick()) {
      resolver.counts.poisoned++;
      return null;
    }
    try {
      return ResponseTemplate.of(answer);
    } catch (MalformedException e) {
      return null;
    }
  }

  /** Called with the final answer, which came from a server. */
  abstract void onServed(Message answer, ResponseTemplate template);

  /** Called when a waiting client has disconnected. */
  abstract void onClientGone(Query query);
}
