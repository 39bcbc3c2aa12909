package cloverpulley.dns.client;

/** Counters of the DNS client, owned by its event loop. They are printed under their field names. */
public final class ClientCounts {

  /** Queries sent over UDP and TCP. */
  public long udp;
  public long tcp;
  /** Answers to abandoned queries; dropped. */
  public long late;
  /** Mismatched answers: another id, question or letter case, or malformed. */
  public long wrong;
  /** Truncated answers, after which the query was retried over TCP. */
  public long truncated;
  /** Queries retried without EDNS. */
  public long plain;
  /** Queries retried over TCP because of too many mismatched answers or a changed letter case. */
  public long suspicious;

  @Override
  public String toString() {
    return "upstream_udp=" + udp + " upstream_tcp=" + tcp + " late=" + late + " wrong=" + wrong + " truncated=" + truncated
        + " plain=" + plain + " suspicious=" + suspicious;
  }
}
