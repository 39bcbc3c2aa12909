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

/** A message in hand that is passed on: each attempt asks one server, and what it answers is worded for the module. */
abstract class DnsExchange extends Exchange {

  final Resolver resolver;
  private final UpstreamQuery.Spec asked;

  DnsExchange(Facts facts, Resolver resolver, UpstreamQuery.Spec asked) {
    super(facts);
    this.resolver = resolver;
    this.asked = asked;
  }

  @Override
  protected Attempt.Sending start(Attempt attempt, SocketAddress address, long timeoutNanos) {
    // What may go to another server does not wait for one that is silent; what may not waits as long as it is of use.
    long wait = facts().type().effect() == Effect.UNSAFE ? timeoutNanos
        : Math.min(timeoutNanos, resolver.config.attemptNanos());
    return resolver.client.query(attempt.upstream(), (InetSocketAddress) address, asked, wait,
        (status, answer, why) -> ended(attempt, status, answer))::cancel;
  }

  private void ended(Attempt attempt, Status status, Message answer) {
    Status word = status;
    ResponseTemplate body = null;
    if (answer != null) {
      word = RcodeMapping.toStatus(facts().type().effect(), answer.rcode(), resolver.config.refusedIsFull());
      if (word == Status.SERVED && asked.raw() == null) {
        body = body(answer);
        word = body == null ? Status.ERROR : word;
      }
    }
    boolean served = word == Status.SERVED;
    ResponseTemplate kept = body;
    resolver.engine.attemptEnded(attempt, word, Map.of(), () -> {
      if (served && !isEnded()) {
        end();
        resolver.counts.served++;
        served(answer, kept);
      }
    });
  }

  /** What can be given to others; null where nobody asked for a part of it. */
  private ResponseTemplate body(Message answer) {
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

  /** The final answer is a server's. */
  abstract void served(Message answer, ResponseTemplate body);

  /** A client that waited for it has gone. */
  abstract void gone(Query query);
}
