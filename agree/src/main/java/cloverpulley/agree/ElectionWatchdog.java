package cloverpulley.agree;

import io.microraft.RaftEndpoint;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.RaftMessage;

/**
 * Works around followers that wait for a dead leader for ever. When MicroRaft learns of a leader while it is collecting pre-votes, it never
 * ends that pre-vote round and starts no further one. Two of three voters in that state elected no leader after the third was killed (two of
 * five runs of a case of OutsIT under load). A follower whose leader has been unresponsive for much longer than an election takes is moved to
 * the next term, which Raft allows at any time; that resets the leader and the pre-vote round. Not thread-safe.
 */
final class ElectionWatchdog {

  /** Three times the leader heartbeat timeout, so that MicroRaft's own election has precedence. */
  static final long TIMEOUT_MICROS = 3_000_000;

  private long lastHeartbeatMicros;

  /** Records a received message. */
  void onMessage(RaftMessage m, long nowMicros) {
    if (m instanceof AppendEntriesRequest || m instanceof InstallSnapshotRequest) {
      lastHeartbeatMicros = Math.max(lastHeartbeatMicros, nowMicros);
    }
  }

  /**
   * Returns a message to pass to MicroRaft now, or null. It is a vote request of the next term with an empty log, which nobody grants.
   *
   * @param leader the leader that this voter knows; null for none, and then MicroRaft starts an election by itself
   */
  RaftMessage check(long nowMicros, RaftEndpoint self, RaftEndpoint leader, int term, Object group) {
    if (leader == null || leader.equals(self)) {
      lastHeartbeatMicros = nowMicros;
      return null;
    } else if (nowMicros - lastHeartbeatMicros < TIMEOUT_MICROS) {
      return null;
    }
    lastHeartbeatMicros = nowMicros;
    return Codec.MODEL.createVoteRequestBuilder().setGroupId(group).setSender(leader).setTerm(term + 1).setLastLogTerm(0).setLastLogIndex(0)
        .setSticky(false).build();
  }
}
