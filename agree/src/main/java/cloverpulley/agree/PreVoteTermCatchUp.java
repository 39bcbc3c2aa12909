package cloverpulley.agree;

import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;

/**
 * Works around groups that never elect a leader. MicroRaft rejects a pre-vote of a term lower than its own, and the candidate does not adopt
 * the term of the rejection: when the voters with the longest logs are behind in terms, no leader can be elected (seed 1065352 of the simulated
 * histories). Such a rejection is replaced by a vote request of its term with an empty log, which nobody grants. A voter without a leader then
 * adopts the term, as Raft requires for any message, and one with a leader ignores it.
 */
final class PreVoteTermCatchUp {

  private PreVoteTermCatchUp() {}

  /** Returns the message itself, or, for a pre-vote rejected by a voter of a later term, a message that makes this voter adopt that term. */
  static RaftMessage rewrite(RaftMessage m, int term) {
    // A rejection for another reason has the requested term, which is the next one and not in use yet.
    if (!(m instanceof PreVoteResponse r) || r.isGranted() || r.getTerm() <= term + 1) {
      return m;
    }
    return Codec.MODEL.createVoteRequestBuilder().setGroupId(r.getGroupId()).setSender(r.getSender()).setTerm(r.getTerm()).setLastLogTerm(0)
        .setLastLogIndex(0).setSticky(true).build();
  }
}
