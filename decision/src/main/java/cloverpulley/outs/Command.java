package cloverpulley.outs;

import java.util.List;
import java.util.Map;

/** What the ledger is told; all are taken in one order by all that hold it. */
public sealed interface Command {

  /**
   * The limits by group, whole, with the rest of the rules.
   *
   * @param version a lower one than the ledger's is not taken
   * @param words how many observers have to agree on an upstream's health before it counts, 1 or more
   * @param freshMillis how long an observer's word is good
   * @param deadPart the part of all members of a kind beyond which unwell ones halt all grants by themselves; 1 for never
   */
  record Rules(long version, Map<String, Limit> groups, int words, long freshMillis, double deadPart) implements Command {

    /** Checks that the figures make sense. */
    public Rules {
      groups = Map.copyOf(groups);
      if (words < 1 || freshMillis < 1 || !(deadPart > 0 && deadPart <= 1)) {
        throw new IllegalArgumentException("expected words and freshMillis above 0 and deadPart above 0, at most 1");
      }
    }
  }

  /** A member there is, or what it belongs to now. */
  record Enrol(String member, Kind kind, List<String> groups) implements Command {

    /** Groups are kept as told, each once. */
    public Enrol {
      groups = groups.stream().distinct().sorted().toList();
    }
  }

  /** A member that is no more; not while it is out. */
  record Strike(String member) implements Command {}

  /**
   * Somebody wants a member out.
   *
   * @param ask its own name: the same one again is answered as before
   * @param waitMillis how long it may wait for its turn; 0: now or not
   * @param force whatever the limits and halts say; recorded as such
   */
  record Ask(String ask, String member, String by, String why, long waitMillis, boolean force) implements Command {}

  /** An ask that waits is not wanted any more, or one that was granted has not been used. */
  record Withdraw(String ask) implements Command {}

  /** The holder says that it has left; {@code epoch} is that of its permit. */
  record Left(String member, long epoch) implements Command {}

  /** A member comes back, or did already. */
  record Return(String member, String by) implements Command {}

  /** An observer's word on a member. */
  record Seen(String observer, String member, Health health) implements Command {}

  /** No more grants until this halt is lifted by its name. */
  record Halt(String name, String by, String why) implements Command {}

  /** Lifts one halt. */
  record Resume(String name, String by) implements Command {}

  /** All that is out of a group comes back, a few at a time; empty: all there is. */
  record Back(String group, String by) implements Command {}

  /** Time has passed. */
  record Tick() implements Command {}
}
