package cloverpulley.dns;

import cloverpulley.dns.client.Ask;
import cloverpulley.dns.wire.Message;
import cloverpulley.engine.LocalReply;

/** An UPDATE, a NOTIFY or a signed question on its way: passed on untouched, and its answer as well. */
final class Passing extends DnsExchange {

  private final Query query;
  /** Under which a client's repeat of it is known; null over TCP, where clients don't repeat, and for questions, which
   * may. */
  private final Repeated.Key key;

  Passing(RequestInfo info, Resolver resolver, Ask.Asked asked, Query query, Repeated.Key key) {
    super(info, resolver, asked);
    this.query = query;
    this.key = key;
  }

  @Override
  void served(Message answer, Body body) {
    byte[] octets = answer.bytes().clone();
    Message.put16(octets, 0, query.message.id());
    // What does not fit is not cut, for its signature covers all of it: the client comes over TCP.
    reply(query.fits(octets.length, resolver.replies) ? octets : query.empty(resolver.replies, Message.TC, Message.NOERROR, -1, null));
  }

  @Override
  protected void respond(LocalReply verdict) {
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
