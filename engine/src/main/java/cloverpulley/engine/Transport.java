package cloverpulley.engine;

import cloverpulley.Balancer.Status;
import java.net.SocketAddress;
import java.util.Map;
import java.util.function.LongPredicate;

/** A front's way to the upstreams, as far as it is no single request's. Called on the engine's loop. */
public interface Transport {

  /** Told how a probe ended, once. */
  interface ProbeCallback {
    void probeEnded(Status status, Map<String, Double> load);
  }

  /** These upstreams drain or are gone: nothing idle is used again, and attempts not yet sent end as never sent. */
  void drainUpstreams(LongPredicate from);

  /** Closes idle connections to an upstream. */
  default void closeIdle(long upstream) {}

  /** Starts a probe; false where this front can't. */
  default boolean probe(long upstream, SocketAddress address, ProbeCallback done) {
    return false;
  }
}
