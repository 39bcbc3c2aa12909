package cloverpulley.membership;

/**
 * A server on the member list.
 *
 * @param id the same at every reader: instance, target, port, and boot ID or, without one, address
 * @param address a numeric IP address
 * @param size capacity relative to a standard server, which has 1
 * @param upSince its start time on the reader's clock; 0 for long ago: unknown, possibly before this reader started
 */
public record Member(String id, String instance, String target, String address, int port, String zone, int cell, double size,
    Phase phase, long upSince) {

  /** Whether a server accepts new work. */
  public enum Phase { READY, DRAINING, GONE }

  /** A copy with another phase. */
  Member withPhase(Phase newPhase) {
    return new Member(id, instance, target, address, port, zone, cell, size, newPhase, upSince);
  }
}
