package cloverpulley.dns;

import cloverpulley.dns.client.UpstreamQuery;
import cloverpulley.dns.wire.Message;
import cloverpulley.engine.Verdict;
import java.util.ArrayList;
import java.util.List;

/** A question on its way to the servers, once for all that ask it meanwhile; without anybody, to keep the cache fresh. */
final class InFlightQuery extends DnsExchange {

  final Cache.Key key;
  private final boolean prefetch;
  private List<Query> waiting = new ArrayList<>(1);
  /** What is given should no server answer; null for none. */
  private final Cache.Entry stale;
  private boolean staleGiven;

  InFlightQuery(Facts facts, Resolver resolver, UpstreamQuery.Spec asked, Cache.Key key, Cache.Entry stale, boolean prefetch) {
    super(facts, resolver, asked);
    this.key = key;
    this.stale = stale;
    this.prefetch = prefetch;
  }

  /** Somebody asks the same. */
  void join(Query query) {
    if (staleGiven) {
      resolver.stale(query, stale);
    } else {
      waiting.add(query);
    }
  }

  /** It takes long: who waits gets what there is, the flight goes on (RFC 8767, 5). */
  void waitedLong() {
    if (!isEnded() && stale != null) {
      staleGiven = true;
      take().forEach(q -> resolver.stale(q, stale));
    }
  }

  private List<Query> take() {
    List<Query> all = waiting;
    waiting = new ArrayList<>(1);
    return all;
  }

  @Override
  void served(Message answer, ResponseTemplate body) {
    long now = resolver.clock.now();
    resolver.landed(this);
    resolver.keep(key, answer, body, now);
    for (Query q : take()) {
      resolver.reply(q, q.filled(resolver.replies, body, 0, Integer.MAX_VALUE, false, -1, null));
    }
  }

  @Override
  protected void answer(Verdict verdict) {
    resolver.landed(this);
    long now = resolver.clock.now();
    boolean timeUp = now >= facts().deadline() - resolver.config.marginNanos();
    List<Query> left = new ArrayList<>();
    for (Query q : take()) {
      if (stale != null) {
        resolver.stale(q, stale);
      } else if (timeUp && resolver.deadline(q, facts().type()) > now + resolver.config.marginNanos()) {
        left.add(q); // It joined later than the first, whose time is up: it has more.
      } else {
        resolver.fail(q, verdict);
      }
    }
    left.forEach(resolver::fly);
  }

  @Override
  void gone(Query query) {
    waiting.remove(query);
    if (waiting.isEmpty() && !staleGiven && !prefetch && !isEnded()) {
      resolver.landed(this);
      resolver.engine.clientGone(this);
    }
  }
}
