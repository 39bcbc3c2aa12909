package cloverpulley.dns;

import cloverpulley.dns.client.UpstreamQuery;
import cloverpulley.dns.wire.Message;
import cloverpulley.engine.LocalReply;

/** Forwards an UPDATE, a NOTIFY or a signed query, and its response, unmodified except for the message id. */
final class PassThroughExchange extends DnsExchange {

  private final Query query;
  /** The key for duplicate detection; null over TCP, where clients don't retransmit, and for queries, which may run twice. */
  private final DuplicateRequestCache.Key key;

  PassThroughExchange(RequestInfo info, Resolver resolver, UpstreamQuery.Spec spec, Query query, DuplicateRequestCache.Key key) {
    super(info, resolver, spec);
    this.query = query;
    this.key = key;
  }

  @Override
  void onServed(Message answer, ResponseTemplate template) {
    byte[] octets = answer.bytes().clone();
    Message.put16(octets, 0, query.message.id());
    // A response that is too long can't be shortened because its signature covers all of it: TC makes the client retry over TCP.
    reply(query.fits(octets.length, resolver.responseOptions) ? octets
        : query.empty(resolver.responseOptions, Message.TC, Message.NOERROR, -1, null));
  }

  @Override
  protected void respond(LocalReply localReply) {
    reply(resolver.failureResponse(query, localReply));
  }

  private void reply(byte[] octets) {
    if (key != null) {
      resolver.duplicates.complete(key, octets.clone(), resolver.clock.now());
    }
    resolver.reply(query, octets);
  }

  @Override
  void onClientGone(Query client) {
    if (!isEnded()) {
      resolver.engine.clientGone(this);
    }
  }
}
