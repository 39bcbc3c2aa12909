package cloverpulley.dns;

import cloverpulley.dns.client.UpstreamQuery;
import cloverpulley.dns.wire.Message;
import cloverpulley.engine.LocalReply;
import java.util.ArrayList;
import java.util.List;

/** An in-flight query to the servers, shared by all clients that ask the same question meanwhile. A prefetch has no client. */
final class InFlightQuery extends DnsExchange {

  final Cache.Key key;
  private final boolean prefetch;
  private List<Query> waiting = new ArrayList<>(1);
  /** The stale answer to fall back to if no server answers; null for none. */
  private final Cache.Entry stale;
  private boolean staleServed;

  InFlightQuery(RequestInfo info, Resolver resolver, UpstreamQuery.Spec spec, Cache.Key key, Cache.Entry stale, boolean prefetch) {
    super(info, resolver, spec);
    this.key = key;
    this.stale = stale;
    this.prefetch = prefetch;
  }

  /** Adds a client's query for the same question. */
  void join(Query query) {
    if (staleServed) {
      resolver.replyStale(query, stale);
    } else {
      waiting.add(query);
    }
  }

  /** Answers waiting clients with the stale answer while the query continues (RFC 8767, 5). */
  void onStaleTimeout() {
    if (!isEnded() && stale != null) {
      staleServed = true;
      removeWaiting().forEach(q -> resolver.replyStale(q, stale));
    }
  }

  private List<Query> removeWaiting() {
    List<Query> all = waiting;
    waiting = new ArrayList<>(1);
    return all;
  }

  @Override
  void onServed(Message answer, ResponseTemplate template) {
    long now = resolver.clock.now();
    resolver.removeInFlight(this);
    resolver.cacheAnswer(key, answer, template, now);
    for (Query q : removeWaiting()) {
      resolver.reply(q, q.withRecords(resolver.responseOptions, template, 0, Integer.MAX_VALUE, false, -1, null));
    }
  }

  @Override
  protected void respond(LocalReply localReply) {
    resolver.removeInFlight(this);
    long now = resolver.clock.now();
    boolean deadlineReached = now >= info().deadline() - resolver.config.marginNanos();
    List<Query> remaining = new ArrayList<>();
    for (Query q : removeWaiting()) {
      if (stale != null) {
        resolver.replyStale(q, stale);
      } else if (deadlineReached && resolver.deadline(q, info().requestClass()) > now + resolver.config.marginNanos()) {
        remaining.add(q); // It joined after the first query, so its deadline is later.
      } else {
        resolver.fail(q, localReply);
      }
    }
    remaining.forEach(resolver::joinOrStart);
  }

  @Override
  void onClientGone(Query query) {
    waiting.remove(query);
    if (waiting.isEmpty() && !staleServed && !prefetch && !isEnded()) {
      resolver.removeInFlight(this);
      resolver.engine.clientGone(this);
    }
  }
}
