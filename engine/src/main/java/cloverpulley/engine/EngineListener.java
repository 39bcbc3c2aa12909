package cloverpulley.engine;

import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Status;
import cloverpulley.Reason;
import java.util.List;

/**
 * Told of what the engine does, each thing once, at the one place where it happens, on the engine's loop. It must not block: the loop
 * waits for it.
 */
public interface EngineListener {

  /** Sees nothing. */
  EngineListener NO_OP = new EngineListener() {
    @Override
    public void requestAccepted(Exchange x) {}

    @Override
    public void attemptSent(Attempt attempt) {}

    @Override
    public void attemptEnded(Attempt attempt, Status status, long latencyNanos) {}

    @Override
    public void requestEnded(Exchange x, Completion end, Reason reason) {}

    @Override
    public void serverListUpdated(ListKind kind, ServerList list, List<NumberedServer> servers) {}

    @Override
    public void moduleReplaced(String event) {}
  };

  /** How a request ended: by an upstream's answer, by a refusal, by a failure, or its client left. */
  enum Completion { SERVED, REJECTED, FAILED, GONE }

  /** A server of a list, with the module's number of it. */
  record NumberedServer(long upstream, ServerList.Server server) {}

  /** A request has come in. */
  void requestAccepted(Exchange x);

  /** An attempt has gone to a front to be sent. */
  void attemptSent(Attempt attempt);

  /** It has ended; told for each one that was told as sent. */
  void attemptEnded(Attempt attempt, Status status, long latencyNanos);

  /** A request has its one end; {@code reason} is null for SERVED and GONE. */
  void requestEnded(Exchange x, Completion end, Reason reason);

  /** A source has spoken; the servers are those of which this was news, none where it was not believed or failed. */
  void serverListUpdated(ListKind kind, ServerList list, List<NumberedServer> servers);

  /** The module failed at an event and was replaced. */
  void moduleReplaced(String event);
}
