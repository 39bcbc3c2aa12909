package cloverpulley.outs;

import java.util.Set;
import java.util.TreeSet;

/**
 * Replaces one voter by another, one membership change at a time: the new voter joins as a learner, is promoted, and only then the old one is
 * removed. So the group never gets smaller than it was, and at most one member larger. The next step follows from the current members alone;
 * an interrupted replacement continues where it stopped when it is requested again.
 */
public final class VoterReplacement {

  /** A membership change; {@code DONE} and {@code NO} end the replacement. */
  public enum Step { ADD, PROMOTE, REMOVE, DONE, NO }

  /** The next change and the voter that it concerns; with {@code NO} the reason why there is none. */
  public record Next(Step step, String voter, String why) {

    /** Whether no further change follows. */
    public boolean isFinal() {
      return step == Step.DONE || step == Step.NO;
    }
  }

  private VoterReplacement() {}

  /**
   * Returns the next step.
   *
   * @param members all members of the group, including learners
   * @param voting the voting members
   * @param leader the current leader; empty if there is none
   * @param from the voter to be removed
   * @param to the voter that takes its place
   */
  public static Next next(Set<String> members, Set<String> voting, String leader, String from, String to) {
    if (from.equals(to)) {
      return reject(from, "a voter that lost its file comes back under another name: under its own it could vote twice");
    } else if (!members.contains(from)) {
      return voting.contains(to) ? new Next(Step.DONE, to, "") : reject(from, from + " is no voter");
    } else if (leader.equals(from)) {
      return reject(from, from + " leads: stop it first, so that another does");
    }
    Set<String> learners = new TreeSet<>(members);
    learners.removeAll(voting);
    learners.remove(to);
    if (!learners.isEmpty()) {
      // Two unfinished changes could need a larger majority than there are live voters.
      return reject(from, "another change is under way: " + String.join(" ", learners));
    }
    return !members.contains(to) ? new Next(Step.ADD, to, "") : !voting.contains(to) ? new Next(Step.PROMOTE, to, "")
        : new Next(Step.REMOVE, from, "");
  }

  private static Next reject(String voter, String why) {
    return new Next(Step.NO, voter, why);
  }
}
