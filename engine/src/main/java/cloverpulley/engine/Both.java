package cloverpulley.engine;

import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Status;
import cloverpulley.Reason;
import java.util.List;

/** Two witnesses of one engine, told in turn. */
public record Both(EngineListener first, EngineListener second) implements EngineListener {

  @Override
  public void taken(Exchange x) {
    first.taken(x);
    second.taken(x);
  }

  @Override
  public void sent(Attempt attempt) {
    first.sent(attempt);
    second.sent(attempt);
  }

  @Override
  public void outcome(Attempt attempt, Status status, long latencyNanos) {
    first.outcome(attempt, status, latencyNanos);
    second.outcome(attempt, status, latencyNanos);
  }

  @Override
  public void ended(Exchange x, End end, Reason reason) {
    first.ended(x, end, reason);
    second.ended(x, end, reason);
  }

  @Override
  public void listed(ListKind kind, ServerList list, List<Numbered> servers) {
    first.listed(kind, list, servers);
    second.listed(kind, list, servers);
  }

  @Override
  public void replaced(String event) {
    first.replaced(event);
    second.replaced(event);
  }
}
