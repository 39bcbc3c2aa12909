package cloverpulley.incident;

/** What a record tells. The numbers are those of the files: they stay, and new ones are added at the end. */
public enum Kind {
  /** An incarnation starts; {@code value} its number among {@code other} processes, {@code word} its front. */
  START(9),
  /** It ends in order. */
  STOP(9),
  /** A class that it serves: {@code className}, {@code word} its effect and scope, {@code value} its dedup window, {@code other} its deadline. */
  CLASS(9),
  /** The engine took a request; {@code value} is how long an answer is of use, {@code other} its hint, {@code key} a hash of its key. */
  TAKEN(1),
  /** An attempt went out: {@code attempt}, {@code upstream}. */
  SENT(2),
  /** It ended: {@code word} the status, {@code value} its latency. */
  OUTCOME(3),
  /** The engine's one end of a request: {@code word} "served" or the reason; {@code other} as in {@link Entry}. */
  ENDED(4),
  /** A front's final answer to a client: {@code value} its latency, {@code other} what it was. */
  ANSWERED(5),
  /**
   * News of the list: {@code word} the kind, {@code value} the revision, {@code other} how many servers it speaks of, {@code key} a hash of
   * all that it holds.
   */
  LIST(8),
  /** What it says of one: {@code name}, {@code word} ready, draining or gone, {@code value} the revision, {@code other} its start. */
  SERVER(8),
  /** The wall clock was read: {@code value} is its distance from the clock of the records. */
  CLOCK(6),
  /** Records that there was no room for: {@code word} their kind, {@code value} how many. */
  DROPPED(9),
  /** Records that went with an old segment: {@code value} how many, {@code other} the time of the last of them. */
  REMOVED(9),
  /** The module failed and was replaced; {@code word} at which event. */
  REPLACED(9),
  /** A tenant: {@code value} its share in millionths, {@code other} its quota a second over all processes in thousandths, 0 for none. */
  TENANT(9);

  private final int priority;

  Kind(int priority) {
    this.priority = priority;
  }

  /** Which records go first where there is no room: those of the least worth, from 1. Verdicts and what explains a course go last. */
  public int priority() {
    return priority;
  }
}
