package cloverpulley;

import cloverpulley.Balancer.PriorAttempt;
import cloverpulley.Balancer.Endpoint;
import cloverpulley.Balancer.EndpointUpdate;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.State;
import cloverpulley.state.BalancerSnapshot.UpstreamSnapshot;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** The upstreams that are listed, or were and still have requests, and those that operators took out. */
final class Upstreams {

  private final long window;
  private final Map<Long, Upstream> upstreams = new LinkedHashMap<>();
  /** Upstreams that an operator took out, listed or not, and since when. */
  private final Map<Long, Long> takenOut = new HashMap<>();

  Upstreams(long windowNanos) {
    window = windowNanos;
  }

  Stream<Upstream> all() {
    return upstreams.values().stream();
  }

  Upstream get(long id) {
    return upstreams.get(id);
  }

  /** Whether anything new may go to it. */
  boolean serves(Upstream u) {
    return u.listed.state() == State.READY && !takenOut.containsKey(u.id);
  }

  /** The list has changed. */
  void take(long now, EndpointUpdate news) {
    Map<Long, Endpoint> entries = new LinkedHashMap<>();
    news.endpoints().forEach(e -> entries.put(e.upstream(), e));
    if (news.kind() != ListKind.DELTA) {
      // One that is absent from a full list is gone.
      upstreams.forEach((id, u) -> entries.putIfAbsent(id, new Endpoint(id, u.listed.zone(), u.listed.cell(),
          State.GONE, u.started, u.listed.weight())));
    }
    for (Endpoint e : entries.values()) {
      Upstream u = upstreams.computeIfAbsent(e.upstream(), id -> new Upstream(id, new Window(window, now)));
      if (e.startedNanos() > (u.startEstimated ? u.outSince : u.started)) {
        u.startsAnew(now, e.startedNanos());
      }
      u.listed = e;
    }
    upstreams.values().removeIf(u -> u.listed.state() == State.GONE && u.inFlight == 0);
  }

  /** An attempt that a caller made before, at an upstream that may not be listed any more. */
  Attempt priorAttempt(PriorAttempt e) {
    Upstream u = upstreams.get(e.upstream());
    if (u == null || u.listed.cell() != e.cell() || !u.listed.zone().equals(e.zone())) {
      u = new Upstream(e.upstream(), null);
      u.listed = new Endpoint(e.upstream(), e.zone(), e.cell(), State.GONE, 0, 1);
    }
    Attempt a = new Attempt(u, e.sentNanos());
    a.out = false;
    a.mayHaveRun = e.mayHaveRun();
    return a;
  }

  void takeOut(long id, long since) {
    takenOut.putIfAbsent(id, since);
  }

  /** Guards an upstream that was restarted while it was out: the list may be seconds late to say so, and what
   * was learned of the process before must not keep its successor idle. */
  void callBack(long now, long id) {
    Long since = takenOut.remove(id);
    Upstream u = upstreams.get(id);
    if (since != null && u != null) {
      boolean told = u.started > since;
      u.startsAnew(now, told ? u.started : now);
      u.startEstimated = !told;
      u.outSince = since;
    }
  }

  void inherit(long now, List<UpstreamSnapshot> known) {
    known.stream().filter(k -> upstreams.containsKey(k.upstream()))
        .forEach(k -> upstreams.get(k.upstream()).inherit(now, k));
  }
}
