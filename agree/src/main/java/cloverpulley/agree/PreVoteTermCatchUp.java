package cloverpulley.agree;

import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;

/**
 * Guards the voters from standing without a leader for ever. The library refuses a pre-vote of a term behind its own, and who is refused does
 * not take up the term that the refusal names: where those with the longest logs are behind in terms, nobody can ever be elected (seed
 * 1065352 of the histories). Such a refusal comes on as a request for a vote in its term that no log can grant, at which a voter
 * without a leader takes up the term, as Raft asks of it for any message, and one with a leader does nothing.
 */
final class PreVoteTermCatchUp {

  private PreVoteTermCatchUp() {}

  /** The same message, or, where a pre-vote was refused by one of a later term than this voter's, what makes this voter take that up. */
  static RaftMessage taken(RaftMessage m, int term) {
    // A refusal for any other reason names the term that was asked for, the next one: it is nobody's yet.
    if (!(m instanceof PreVoteResponse r) || r.isGranted() || r.getTerm() <= term + 1) {
      return m;
    }
    return Codec.MODEL.createVoteRequestBuilder().setGroupId(r.getGroupId()).setSender(r.getSender()).setTerm(r.getTerm()).setLastLogTerm(0)
        .setLastLogIndex(0).setSticky(true).build();
  }
}
