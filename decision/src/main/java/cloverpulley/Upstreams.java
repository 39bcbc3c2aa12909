package cloverpulley;

import cloverpulley.Balancer.Endpoint;
import cloverpulley.Balancer.EndpointUpdate;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.PriorAttempt;
import cloverpulley.Balancer.State;
import cloverpulley.state.BalancerSnapshot.UpstreamSnapshot;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Upstreams that are listed, or were and still have requests in flight, and those that operators set offline. */
final class Upstreams {

  private final long windowNanos;
  private final Map<Long, Upstream> upstreams = new LinkedHashMap<>();
  /** Upstreams that an operator set offline, listed or not, and since when. */
  private final Map<Long, Long> offline = new HashMap<>();

  Upstreams(long lengthNanos) {
    windowNanos = lengthNanos;
  }

  Stream<Upstream> all() {
    return upstreams.values().stream();
  }

  Upstream get(long id) {
    return upstreams.get(id);
  }

  /** Whether it may get new requests. */
  boolean isReady(Upstream u) {
    return u.endpoint.state() == State.READY && !offline.containsKey(u.id);
  }

  /** Applies an update of the endpoint list. */
  void update(long now, EndpointUpdate update) {
    Map<Long, Endpoint> latest = new LinkedHashMap<>();
    update.endpoints().forEach(e -> latest.put(e.upstream(), e));
    if (update.kind() != ListKind.DELTA) {
      // Upstreams that are missing from a complete list are gone.
      upstreams.forEach((id, u) -> latest.putIfAbsent(id, new Endpoint(id, u.endpoint.zone(), u.endpoint.cell(),
          State.GONE, u.startedAt, u.endpoint.weight())));
    }
    for (Endpoint e : latest.values()) {
      Upstream u = upstreams.computeIfAbsent(e.upstream(), id -> new Upstream(id, new Window(windowNanos, now)));
      if (e.startedNanos() > (u.startEstimated ? u.offlineSince : u.startedAt)) {
        u.onStart(now, e.startedNanos());
      }
      u.endpoint = e;
    }
    upstreams.values().removeIf(u -> u.endpoint.state() == State.GONE && u.inFlight == 0);
  }

  /** Returns an attempt of an earlier call; its upstream may not be listed any more. */
  Attempt priorAttempt(PriorAttempt e) {
    Upstream u = upstreams.get(e.upstream());
    if (u == null || u.endpoint.cell() != e.cell() || !u.endpoint.zone().equals(e.zone())) {
      u = new Upstream(e.upstream(), null);
      u.endpoint = new Endpoint(e.upstream(), e.zone(), e.cell(), State.GONE, 0, 1);
    }
    Attempt a = new Attempt(u, e.sentNanos());
    a.inFlight = false;
    a.mayHaveRun = e.mayHaveRun();
    return a;
  }

  void setOffline(long id, long since) {
    offline.putIfAbsent(id, since);
  }

  /** The upstream was restarted while offline, but the list may report that seconds later. Resets it now, so that statistics
   * of the old process don't keep the new one idle. */
  void setOnline(long now, long id) {
    Long since = offline.remove(id);
    Upstream u = upstreams.get(id);
    if (since != null && u != null) {
      boolean startReported = u.startedAt > since;
      u.onStart(now, startReported ? u.startedAt : now);
      u.startEstimated = !startReported;
      u.offlineSince = since;
    }
  }

  void restore(long now, List<UpstreamSnapshot> snapshots) {
    snapshots.stream().filter(s -> upstreams.containsKey(s.upstream()))
        .forEach(s -> upstreams.get(s.upstream()).restore(now, s));
  }
}
