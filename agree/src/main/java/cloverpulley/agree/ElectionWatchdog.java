package cloverpulley.agree;

import io.microraft.RaftEndpoint;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.RaftMessage;

/**
 * Guards the voters from waiting for ever for a leader that is gone. Where a leader is heard of while the library asks for pre-votes, that asking
 * is never taken for ended, and it never asks again: two of three that both stood so elected nobody after the third was killed (two
 * of five runs of a case of OutsIT beside other work). A follower whose leader has been silent for far longer than an election takes is moved to the next term, which Raft
 * lets anybody do at any time, and forgets both. One thread.
 */
final class ElectionWatchdog {

  /** Three times a leader's heartbeat time-out, so that the library's own way comes first. */
  static final long SILENT_MICROS = 3_000_000;

  private long heardAt;

  /** A message has come. */
  void heard(RaftMessage m, long nowMicros) {
    if (m instanceof AppendEntriesRequest || m instanceof InstallSnapshotRequest) {
      heardAt = Math.max(heardAt, nowMicros);
    }
  }

  /**
   * What is to be handed to the library now; null for nothing. No log can grant the vote that it asks for.
   *
   * @param leader who leads as far as this voter knows; null for nobody, and then the library asks by itself
   */
  RaftMessage look(long nowMicros, RaftEndpoint self, RaftEndpoint leader, int term, Object group) {
    if (leader == null || leader.equals(self)) {
      heardAt = nowMicros;
      return null;
    } else if (nowMicros - heardAt < SILENT_MICROS) {
      return null;
    }
    heardAt = nowMicros;
    return Codec.MODEL.createVoteRequestBuilder().setGroupId(group).setSender(leader).setTerm(term + 1).setLastLogTerm(0).setLastLogIndex(0)
        .setSticky(false).build();
  }
}
