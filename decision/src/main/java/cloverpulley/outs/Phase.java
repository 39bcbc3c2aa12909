package cloverpulley.outs;

/** The phase of a permit; in each of them the member counts as out. */
public enum Phase {
  /** The member may leave; every instance drains it. */
  GRANTED,
  /** The member has reported that it is out. */
  OUT,
  /** The member is back in slow start; instances send to it again within the slow-start budget. */
  RETURNING
}
