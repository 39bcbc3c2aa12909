package cloverpulley.incident;

/** The kind of a record. Ordinals are stored in the record files: constants must not be reordered, and new ones are added at the end. */
public enum Kind {
  /** An incarnation starts; {@code value} its number among {@code other} processes, {@code word} its frontend. */
  START(9),
  /** An incarnation shuts down cleanly. */
  STOP(9),
  /** A class it serves: {@code className}, {@code word} its effect and dedup scope, {@code value} its dedup window, {@code other} its deadline. */
  CLASS(9),
  /**
   * The engine accepted a request; {@code value} the time to its deadline, 0 for none, {@code other} its hint, {@code key} a
   * hash of its key.
   */
  TAKEN(1),
  /** An attempt was sent: {@code attempt}, {@code upstream}. */
  SENT(2),
  /** An attempt ended: {@code word} the status, {@code value} its latency. */
  OUTCOME(3),
  /** The engine completed a request, which happens once: {@code word} "served" or the reason; {@code other} as in {@link Entry}. */
  ENDED(4),
  /** The frontend's final answer to a client: {@code value} its latency, {@code other} its result as in {@link Entry}. */
  ANSWERED(5),
  /**
   * An update of the endpoint list: {@code word} its kind, {@code value} the revision, {@code other} how many servers it names,
   * {@code key} a hash of the resulting list.
   */
  LIST(8),
  /**
   * State of one server in the list: {@code name}, {@code word} ready, draining or gone, {@code value} the revision, {@code other} its
   * start time in milliseconds.
   */
  SERVER(8),
  /** A reading of the wall clock: {@code value} is its offset from the clock of the records. */
  CLOCK(6),
  /** Records dropped because the queue was too full: {@code word} their kind, {@code value} how many. */
  DROPPED(9),
  /** Records removed with an old segment: {@code value} how many, {@code other} the time of the last of them. */
  REMOVED(9),
  /** The decision module failed and was replaced; {@code word} is the event it failed on. */
  REPLACED(9),
  /** A tenant: {@code value} its share in millionths, {@code other} its quota per second across all processes in thousandths, 0 for none. */
  TENANT(9);

  private final int priority;

  Kind(int priority) {
    this.priority = priority;
  }

  /**
   * Priority from 1: as the queue fills, records of lower priority are dropped first. Final answers, and the state changes that explain what
   * happened, are dropped last.
   */
  public int priority() {
    return priority;
  }
}
