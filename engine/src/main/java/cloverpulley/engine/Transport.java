package cloverpulley.engine;

import cloverpulley.Balancer.Status;
import java.net.SocketAddress;
import java.util.Map;
import java.util.function.LongPredicate;

/** A frontend's connections to the upstreams, apart from those of single requests. Called on the engine's loop. */
public interface Transport {

  /** Receives the result of a probe, once. */
  interface ProbeCallback {
    void probeEnded(Status status, Map<String, Double> load);
  }

  /** Drains upstreams: their idle connections are not used again, and attempts that are not sent yet end as not sent. */
  void drainUpstreams(LongPredicate upstreams);

  /** Closes idle connections to an upstream. */
  default void closeIdle(long upstream) {}

  /** Starts a probe; returns false if this frontend does not support probes. */
  default boolean probe(long upstream, SocketAddress address, ProbeCallback callback) {
    return false;
  }
}
