package cloverpulley.engine;

import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Status;
import cloverpulley.Reason;
import java.util.List;

/** Notifies two listeners in turn. */
public record CompositeEngineListener(EngineListener first, EngineListener second) implements EngineListener {

  @Override
  public void requestAccepted(Exchange x) {
    first.requestAccepted(x);
    second.requestAccepted(x);
  }

  @Override
  public void attemptSent(Attempt attempt) {
    first.attemptSent(attempt);
    second.attemptSent(attempt);
  }

  @Override
  public void attemptEnded(Attempt attempt, Status status, long latencyNanos) {
    first.attemptEnded(attempt, status, latencyNanos);
    second.attemptEnded(attempt, status, latencyNanos);
  }

  @Override
  public void requestEnded(Exchange x, Completion end, Reason reason) {
    first.requestEnded(x, end, reason);
    second.requestEnded(x, end, reason);
  }

  @Override
  public void serverListUpdated(ListKind kind, ServerList list, List<NumberedServer> servers) {
    first.serverListUpdated(kind, list, servers);
    second.serverListUpdated(kind, list, servers);
  }

  @Override
  public void moduleReplaced(String event) {
    first.moduleReplaced(event);
    second.moduleReplaced(event);
  }
}
