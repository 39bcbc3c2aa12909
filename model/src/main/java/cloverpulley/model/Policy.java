package cloverpulley.model;

import cloverpulley.Balancer;
import cloverpulley.Logic;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** What stands beside the module, through the same interface: each sends once to a ready server of its choice, and refuses nothing. */
public enum Policy {
  /** The decision module as it is in service. */
  MODULE,
  RANDOM, ROUND_ROBIN, LEAST_OUTSTANDING, TWO_CHOICES;

  /** Makes the n-th balancer's. */
  Balancer make(Balancer.Settings settings, long seed) {
    return this == MODULE ? new Logic(settings, seed) : new Simple(this, seed);
  }

  private static final class Simple implements Balancer {

    private final Policy how;
    private final SplittableRandom random;
    private final Map<Long, Integer> out = new HashMap<>();
    private List<Long> ready = new ArrayList<>();
    private int next;

    Simple(Policy how, long seed) {
      this.how = how;
      random = new SplittableRandom(seed);
    }

    @Override
    public void handle(long now, Event event, Consumer<Action> to) {
      if (event instanceof EndpointUpdate news) {
        if (news.kind() != ListKind.DELTA && news.kind() != ListKind.FAILED) {
          ready = new ArrayList<>();
        }
        for (Endpoint l : news.endpoints()) {
          ready.remove(l.upstream());
          if (l.state() == State.READY) {
            ready.add(l.upstream());
          }
        }
      } else if (event instanceof Request r) {
        if (ready.isEmpty()) {
          to.accept(new Reject(r.id(), 0, cloverpulley.Reason.NO_UPSTREAM));
          return;
        }
        long chosen = choose();
        out.merge(chosen, 1, Integer::sum);
        to.accept(new Send(r.id(), chosen, 0));
      } else if (event instanceof Outcome o) {
        out.computeIfPresent(o.upstream(), (u, n) -> n == 1 ? null : n - 1);
        if (!o.finished() && o.status() != Status.SERVED) {
          to.accept(new Fail(o.id(), cloverpulley.Reason.ATTEMPTS));
        }
      }
    }

    private long choose() {
      return switch (how) {
        case ROUND_ROBIN -> ready.get(next++ % ready.size());
        case TWO_CHOICES -> {
          long a = ready.get(random.nextInt(ready.size()));
          long b = ready.get(random.nextInt(ready.size()));
          yield out.getOrDefault(a, 0) <= out.getOrDefault(b, 0) ? a : b;
        }
        case LEAST_OUTSTANDING -> {
          int from = random.nextInt(ready.size()); // Ties by chance, or the first of the list would have them all.
          long best = ready.get(from);
          for (int i = 1; i < ready.size() && out.containsKey(best); i++) {
            long u = ready.get((from + i) % ready.size());
            best = out.getOrDefault(u, 0) < out.getOrDefault(best, 0) ? u : best;
          }
          yield best;
        }
        default -> ready.get(random.nextInt(ready.size()));
      };
    }
  }
}
