package cloverpulley.outs;

import java.util.List;

/**
 * What a process of an instance reports about itself with each poll of the ledger.
 *
 * @param process unique id of the process; during an upgrade there are two processes of the same instance
 * @param groups the groups of the instance
 * @param acted the log index up to which the process has applied the ledger
 * @param refused the ratio of requests that it currently rejects, 0 to 1
 */
public record Heartbeat(String process, List<String> groups, long acted, double refused) {

  /** Validates the values. */
  public Heartbeat {
    groups = List.copyOf(groups);
    if (!(refused >= 0 && refused <= 1)) {
      throw new IllegalArgumentException("expected a part from 0 to 1, got " + refused);
    }
  }
}
