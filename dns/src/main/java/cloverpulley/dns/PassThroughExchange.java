package cloverpulley.dns;

import cloverpulley.dns.client.UpstreamQuery;
import cloverpulley.dns.wire.Message;
import cloverpulley.engine.Verdict;

/** An UPDATE, a NOTIFY or a signed question on its way: passed on untouched, and its answer as well. */
final class PassThroughExchange extends DnsExchange {

  private final Query query;
  /** Under which a client's repeat of it is known; null over TCP, where clients don't repeat, and for questions, which
   * may. */
  private final DuplicateRequestCache.Key key;

  PassThroughExchange(Facts facts, Resolver resolver, UpstreamQuery.Spec asked, Query query, DuplicateRequestCache.Key key) {
    super(facts, resolver, asked);
    this.query = query;
    this.key = key;
  }

  @Override
  void served(Message answer, ResponseTemplate body) {
    byte[] octets = answer.bytes().clone();
    Message.put16(octets, 0, query.message.id());
    // What does not fit is not cut, for its signature covers all of it: the client comes over TCP.
    reply(query.fits(octets.length, resolver.replies) ? octets : query.empty(resolver.replies, Message.TC, Message.NOERROR, -1, null));
  }

  @Override
  protected void answer(Verdict verdict) {
    reply(resolver.failure(query, verdict));
  }

  private void reply(byte[] octets) {
    if (key != null) {
      resolver.repeated.answered(key, octets.clone(), resolver.clock.now());
    }
    resolver.reply(query, octets);
  }

  @Override
  void gone(Query gone) {
    if (!isEnded()) {
      resolver.engine.clientGone(this);
    }
  }
}
