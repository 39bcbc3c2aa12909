package cloverpulley.outs;

/**
 * The disruption budget of a group: how many of its members may be out at the same time, for whatever reason. It is the lower of a number and
 * a ratio of the members, rounded down.
 *
 * @param most maximum number of members that may be out, 0 or more
 * @param part maximum ratio of the group's members that may be out, 0 to 1
 * @param back how many members may be returning at the same time when a whole group is returned, 1 or more
 */
public record Limit(int most, double part, int back) {

  /** Validates the values. */
  public Limit {
    if (most < 0 || !(part >= 0 && part <= 1) || back < 1) {
      throw new IllegalArgumentException("expected most of 0 or more, part from 0 to 1 and back of 1 or more, got " + most + ", " + part + ", " + back);
    }
  }

  /** The budget of a group with that many members. */
  public int maxOut(int members) {
    return (int) Math.min(most, Math.floor(part * members + 1e-9));
  }
}
