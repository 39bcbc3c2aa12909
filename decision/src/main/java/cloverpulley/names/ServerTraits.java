package cloverpulley.names;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What DNS servers were found not to do: speak EDNS, keep the letters' case of a question. Each is believed for a time and then
 * tried anew, for a server may be replaced. Pure; one entry for each server that is listed.
 */
public final class ServerTraits {

  private static final class Traits {
    long plainUntil = Long.MIN_VALUE;
    long casesLostUntil = Long.MIN_VALUE;
  }

  private final long believedNanos;
  private final Map<Long, Traits> servers = new HashMap<>();

  public ServerTraits(long believedNanos) {
    this.believedNanos = believedNanos;
  }

  /** It has refused a query for its OPT record (RFC 6891, 7). */
  public void speaksNoEdns(long now, long server) {
    servers.computeIfAbsent(server, s -> new Traits()).plainUntil = now + believedNanos;
  }

  /** It has answered over TCP, where nobody else can, with other letters than were asked. */
  public void losesCase(long now, long server) {
    servers.computeIfAbsent(server, s -> new Traits()).casesLostUntil = now + believedNanos;
  }

  public boolean mayUseEdns(long now, long server) {
    Traits t = servers.get(server);
    return t == null || now >= t.plainUntil;
  }

  public boolean mayMixCase(long now, long server) {
    Traits t = servers.get(server);
    return t == null || now >= t.casesLostUntil;
  }

  /** Forgets all others. */
  public void keepOnly(Set<Long> listed) {
    servers.keySet().retainAll(listed);
  }
}
