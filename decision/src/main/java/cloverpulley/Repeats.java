package cloverpulley;

import cloverpulley.Balancer.DedupScope;
import cloverpulley.Balancer.Effect;

/** Rule 2: where a request may still go after its attempts, and whether it may be refused. */
final class Repeats {

  private Repeats() {}

  /** When the window of a keyed request's repeats ends, counted from its first attempt that may have run; 0 for
   * none. Cut by a tick, against a balancer that carries the sending out a moment later. */
  static long until(Open r, long tickNanos) {
    for (Attempt a : r.attempts) {
      if (a.mayHaveRun && r.type.effect() == Effect.KEYED) {
        return a.sentAt + r.type.dedupWindowNanos() - tickNanos;
      }
    }
    return 0;
  }

  /** Whether a request may be sent nowhere any more. */
  static boolean areOver(Open r, long now, long tickNanos) {
    long until = until(r, tickNanos);
    return until != 0 && now >= until || r.type.effect() == Effect.UNSAFE && r.mayHaveRun();
  }

  /** Whether a further attempt may go to an upstream, of which so many are ready. */
  static boolean mayGoTo(Open r, Upstream u, int ready, long now, long tickNanos) {
    for (Attempt a : r.attempts) {
      if (a.upstream == u && (a.out || ready > r.attempts.size())) {
        return false;
      }
      if (a.mayHaveRun && r.type.effect() != Effect.SAFE) {
        boolean sameGroup = switch (r.type.dedupScope()) {
          case ALL -> true;
          case ZONE -> a.upstream.listed.zone().equals(u.listed.zone());
          case CELL -> a.upstream.listed.cell() == u.listed.cell();
        };
        if (!sameGroup) {
          return false;
        }
      }
    }
    return !areOver(r, now, tickNanos);
  }

  static boolean mayRefuse(Open r) {
    return r.type.effect() == Effect.SAFE || !r.mayHaveRun()
        || r.type.effect() == Effect.KEYED && r.type.dedupScope() == DedupScope.ALL;
  }
}
