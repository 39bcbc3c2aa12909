package cloverpulley.membership;

/**
 * A server as it is believed to be.
 *
 * @param id the same at every reader: instance, target, port, and boot or, without one, address
 * @param address in figures
 * @param size relative to a usual one
 * @param upSince when it started, on the reader's clock; 0 for long ago
 */
public record Member(String id, String instance, String target, String address, int port, String zone, int cell, double size,
    Phase phase, long upSince) {

  /** What a server is good for. */
  public enum Phase { READY, DRAINING, GONE }

  /** The same with another phase. */
  Member as(Phase next) {
    return new Member(id, instance, target, address, port, zone, cell, size, next, upSince);
  }
}
