package cloverpulley.outs;

/**
 * How many of a group may be out at one time, whatever the reason: the lesser of a number and a part of its members, rounded down.
 *
 * @param most members, 0 or more
 * @param part of the group's members, 0 to 1
 * @param back members of the group that may be on their way back at one time, 1 or more
 */
public record Limit(int most, double part, int back) {

  /** Checks that the figures make sense. */
  public Limit {
    if (most < 0 || !(part >= 0 && part <= 1) || back < 1) {
      throw new IllegalArgumentException("expected most of 0 or more, part from 0 to 1 and back of 1 or more, got " + most + ", " + part + ", " + back);
    }
  }

  /** Of so many members. */
  public int maxOut(int members) {
    return (int) Math.min(most, Math.floor(part * members + 1e-9));
  }
}
