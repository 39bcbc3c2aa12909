package cloverpulley.engine;

import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Status;
import cloverpulley.Reason;
import java.util.List;

/**
 * Receives each of the engine's events once, synchronously on the engine's loop. It must not block: the loop waits for it.
 */
public interface EngineListener {

  /** Ignores all events. */
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

  /** How a request ended: by an upstream's answer, a rejection, a failure, or because its client disconnected. The ordinals are recorded. */
  enum Completion { SERVED, REJECTED, FAILED, GONE }

  /** A server of a list, with the module's number for it. */
  record NumberedServer(long upstream, ServerList.Server server) {}

  /** A request has been accepted. */
  void requestAccepted(Exchange x);

  /** An attempt is about to be passed to its frontend. */
  void attemptSent(Attempt attempt);

  /** An attempt has ended; follows each {@link #attemptSent}. */
  void attemptEnded(Attempt attempt, Status status, long latencyNanos);

  /** A request has ended, once for each; {@code reason} is null for SERVED and GONE. */
  void requestEnded(Exchange x, Completion end, Reason reason);

  /** A source has reported a list; {@code servers} are the entries that were applied, none if the list was implausible or the source failed. */
  void serverListUpdated(ListKind kind, ServerList list, List<NumberedServer> servers);

  /** The module failed to handle an event and was replaced; {@code event} is the event's name in records. */
  void moduleReplaced(String event);
}
