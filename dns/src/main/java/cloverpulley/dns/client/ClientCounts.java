package cloverpulley.dns.client;

/** What the way to the servers has seen; owned by its loop. */
public final class ClientCounts {

  /** Queries written over UDP and TCP. */
  public long udp;
  public long tcp;
  /** Answers to queries that had been given up: never delivered. */
  public long late;
  /** Answers that were not the one asked for: another id, question, or case, or no message at all. */
  public long wrong;
  /** Answers that did not fit and were asked for again over TCP. */
  public long truncated;
  /** Queries repeated without EDNS. */
  public long plain;
  /** Queries taken to TCP because of too many wrong answers or a lost case. */
  public long suspicious;

  @Override
  public String toString() {
    return "upstream_udp=" + udp + " upstream_tcp=" + tcp + " late=" + late + " wrong=" + wrong + " truncated=" + truncated
        + " plain=" + plain + " suspicious=" + suspicious;
  }
}
