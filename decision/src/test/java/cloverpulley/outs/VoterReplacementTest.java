package cloverpulley.outs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.outs.VoterReplacement.Next;
import cloverpulley.outs.VoterReplacement.Step;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class VoterReplacementTest {

  /** From each membership the steps lead to the end, and the new voter votes before the old one is removed. */
  @Test
  void theGroupNeverShrinks() {
    Set<String> members = new TreeSet<>(List.of("a", "b", "c"));
    Set<String> voting = new TreeSet<>(members);
    StringBuilder steps = new StringBuilder();
    for (Next n = VoterReplacement.next(members, voting, "a", "c", "d"); !n.isFinal(); n = VoterReplacement.next(members, voting, "a", "c", "d")) {
      steps.append(n.step()).append(' ').append(n.voter()).append(' ');
      switch (n.step()) {
        case ADD -> members.add(n.voter());
        case PROMOTE -> voting.add(n.voter());
        default -> {
          members.remove(n.voter());
          voting.remove(n.voter());
        }
      }
      assertTrue(voting.size() >= 3 && members.size() <= 4, members + " " + voting);
    }
    assertEquals("ADD d PROMOTE d REMOVE c ", steps.toString());
    assertEquals(Step.DONE, VoterReplacement.next(members, voting, "d", "c", "d").step(), "a repeated request is done");
    assertEquals(Set.of("a", "b", "d"), voting);
  }

  @Test
  void changesThatCouldCostTheMajorityAreRejected() {
    Set<String> all = Set.of("a", "b", "c");
    assertEquals(Step.NO, VoterReplacement.next(all, all, "a", "c", "c").step(), "it could vote twice");
    assertEquals(Step.NO, VoterReplacement.next(all, all, "c", "c", "d").step(), "it is the leader");
    assertEquals(Step.NO, VoterReplacement.next(all, all, "a", "x", "d").step(), "it is not a voter");
    assertEquals(Step.NO, VoterReplacement.next(Set.of("a", "b", "c", "e"), all, "a", "c", "d").step(), "e is still a learner");
    assertEquals(Step.PROMOTE, VoterReplacement.next(Set.of("a", "b", "c", "d"), all, "a", "c", "d").step());
    assertEquals(Step.REMOVE, VoterReplacement.next(Set.of("a", "b", "c", "d"), Set.of("a", "b", "c", "d"), "a", "c", "d").step());
  }
}
