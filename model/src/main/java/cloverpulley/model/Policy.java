package cloverpulley.model;

import cloverpulley.Balancer;
import cloverpulley.Logic;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The decision module and the baselines it is compared with, behind the same interface. A baseline makes one attempt per request, on a ready
 * server of its choice, and rejects a request only if no server is ready.
 */
public enum Policy {
  /** The decision module as used in production. */
  MODULE,
  RANDOM, ROUND_ROBIN, LEAST_OUTSTANDING, TWO_CHOICES;

  /** Creates an instance for one balancer. */
  Balancer newBalancer(Balancer.Settings settings, long seed) {
    return this == MODULE ? new Logic(settings, seed) : new BaselineBalancer(this, seed);
  }

  private static final class BaselineBalancer implements Balancer {

    private final Policy policy;
    private final SplittableRandom random;
    private final Map<Long, Integer> inFlight = new HashMap<>();
    private List<Long> ready = new ArrayList<>();
    private int next;

    BaselineBalancer(Policy policy, long seed) {
      this.policy = policy;
      random = new SplittableRandom(seed);
    }

    @Override
    public void handle(long now, Event event, Consumer<Action> to) {
      if (event instanceof EndpointUpdate update) {
        if (update.kind() != ListKind.DELTA && update.kind() != ListKind.FAILED) {
          ready = new ArrayList<>();
        }
        for (Endpoint endpoint : update.endpoints()) {
          ready.remove(endpoint.upstream());
          if (endpoint.state() == State.READY) {
            ready.add(endpoint.upstream());
          }
        }
      } else if (event instanceof Request r) {
        if (ready.isEmpty()) {
          to.accept(new Reject(r.id(), 0, cloverpulley.Reason.NO_UPSTREAM));
          return;
        }
        long chosen = choose();
        inFlight.merge(chosen, 1, Integer::sum);
        to.accept(new Send(r.id(), chosen, 0));
      } else if (event instanceof Outcome o) {
        inFlight.computeIfPresent(o.upstream(), (u, n) -> n == 1 ? null : n - 1);
        if (!o.finished() && o.status() != Status.SERVED) {
          to.accept(new Fail(o.id(), cloverpulley.Reason.ATTEMPTS));
        }
      }
    }

    private long choose() {
      return switch (policy) {
        case ROUND_ROBIN -> ready.get(next++ % ready.size());
        case TWO_CHOICES -> {
          long a = ready.get(random.nextInt(ready.size()));
          long b = ready.get(random.nextInt(ready.size()));
          yield inFlight.getOrDefault(a, 0) <= inFlight.getOrDefault(b, 0) ? a : b;
        }
        case LEAST_OUTSTANDING -> {
          int offset = random.nextInt(ready.size()); // Breaks ties at random; otherwise the first server in the list would win all of them.
          long best = ready.get(offset);
          for (int i = 1; i < ready.size() && inFlight.containsKey(best); i++) {
            long u = ready.get((offset + i) % ready.size());
            best = inFlight.getOrDefault(u, 0) < inFlight.getOrDefault(best, 0) ? u : best;
          }
          yield best;
        }
        default -> ready.get(random.nextInt(ready.size()));
      };
    }
  }
}
