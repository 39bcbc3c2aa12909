package cloverpulley.names;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What DNS servers were found not to support: EDNS, preserving the case of a question. Each finding expires after a time and is then
 * tried anew, for a server may be replaced. Pure; one entry for each server that is listed.
 */
public final class ServerCapabilities {

  private static final class Traits {
    long noEdnsUntil = Long.MIN_VALUE;
    long noCaseUntil = Long.MIN_VALUE;
  }

  private final long ttlNanos;
  private final Map<Long, Traits> servers = new HashMap<>();

  public ServerCapabilities(long ttlNanos) {
    this.ttlNanos = ttlNanos;
  }

  /** It has rejected a query for its OPT record (RFC 6891, 7). */
  public void markNoEdns(long now, long server) {
    servers.computeIfAbsent(server, s -> new Traits()).noEdnsUntil = now + ttlNanos;
  }

  /** It has answered over TCP, where nobody else can answer, with another case than the question's. */
  public void markCaseNotPreserved(long now, long server) {
    servers.computeIfAbsent(server, s -> new Traits()).noCaseUntil = now + ttlNanos;
  }

  public boolean mayUseEdns(long now, long server) {
    Traits t = servers.get(server);
    return t == null || now >= t.noEdnsUntil;
  }

  public boolean mayMixCase(long now, long server) {
    Traits t = servers.get(server);
    return t == null || now >= t.noCaseUntil;
  }

  /** Removes all other servers. */
  public void retainAll(Set<Long> listed) {
    servers.keySet().retainAll(listed);
  }
}
