package cloverpulley;

import cloverpulley.Balancer.DedupScope;
import cloverpulley.Balancer.Effect;

/** Rule 2: where a request may still go after its attempts, and whether it may be refused. */
final class Repeats {

  private Repeats() {}

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
        // The window is cut by a tick, against a balancer that carries the sending out a moment later.
        if (r.type.effect() == Effect.UNSAFE || !sameGroup
            || now - a.sentAt >= r.type.dedupWindowNanos() - tickNanos) {
          return false;
        }
      }
    }
    return true;
  }

  static boolean mayRefuse(Open r) {
    return r.type.effect() == Effect.SAFE || !r.mayHaveRun()
        || r.type.effect() == Effect.KEYED && r.type.dedupScope() == DedupScope.ALL;
  }
}
