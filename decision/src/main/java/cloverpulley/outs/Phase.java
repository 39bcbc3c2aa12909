package cloverpulley.outs;

/** Where a member stands that was granted; in all of them it counts as out. */
public enum Phase {
  /** It may leave: its drain goes to every module. */
  GRANTED,
  /** Its holder says that it is out. */
  OUT,
  /** It is back and cold: modules may send to it again, under the rule of cold servers. */
  RETURNING
}
