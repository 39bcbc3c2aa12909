package cloverpulley.outs;

import java.util.List;

/**
 * What a process says of itself with each look at the ledger.
 *
 * @param process tells the processes of one name apart, as there are two in an upgrade; unlike that of any earlier one
 * @param groups what the instance belongs to
 * @param acted the index up to which this process has acted
 * @param refused the part of its requests that it refuses just now, 0 to 1
 */
public record Heartbeat(String process, List<String> groups, long acted, double refused) {

  /** Checks that the figures make sense. */
  public Heartbeat {
    groups = List.copyOf(groups);
    if (!(refused >= 0 && refused <= 1)) {
      throw new IllegalArgumentException("expected a part from 0 to 1, got " + refused);
    }
  }
}
