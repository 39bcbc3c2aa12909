package cloverpulley.outs;

import java.util.Set;
import java.util.TreeSet;

/**
 * Puts one voter in another's place, by one change of the group at a time: the new one learns, then votes, and only then the old one goes, so
 * that the group never is smaller than it was and at no time more than one larger. The group itself tells what comes next: whoever
 * asks again, after whatever broke, goes on where it stands.
 */
public final class VoterReplacement {

  /** What is to be done to the group; {@code DONE} and {@code NO} end it. */
  public enum Step { ADD, PROMOTE, REMOVE, DONE, NO }

  /** The next change, of this voter; with {@code NO} why there is none. */
  public record Next(Step step, String voter, String why) {

    /** Whether nothing follows. */
    public boolean isFinal() {
      return step == Step.DONE || step == Step.NO;
    }
  }

  private VoterReplacement() {}

  /**
   * What comes next.
   *
   * @param members of the group, those that still learn among them
   * @param voting those that vote
   * @param leader who leads; empty for nobody
   */
  public static Next next(Set<String> members, Set<String> voting, String leader, String from, String to) {
    if (from.equals(to)) {
      return no(from, "a voter that lost its file comes back under another name: under its own it could vote twice");
    } else if (!members.contains(from)) {
      return voting.contains(to) ? new Next(Step.DONE, to, "") : no(from, from + " is no voter");
    } else if (leader.equals(from)) {
      return no(from, from + " leads: stop it first, so that another does");
    }
    Set<String> learning = new TreeSet<>(members);
    learning.removeAll(voting);
    learning.remove(to);
    if (!learning.isEmpty()) {
      // Guards the majority: two that are half in would need more voters to agree than there may be.
      return no(from, "another change is under way: " + String.join(" ", learning));
    }
    return !members.contains(to) ? new Next(Step.ADD, to, "") : !voting.contains(to) ? new Next(Step.PROMOTE, to, "")
        : new Next(Step.REMOVE, from, "");
  }

  private static Next no(String voter, String why) {
    return new Next(Step.NO, voter, why);
  }
}
