package cloverpulley.agree;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.RaftMessage;
import java.util.BitSet;
import java.util.List;
import java.util.TreeMap;

/**
 * Removes entries that a follower already has from the leader's append requests, which works around a livelock in MicroRaft. When the response
 * to the first entries after a snapshot is lost, the leader sends them again from the snapshot's index. MicroRaft no longer finds that index in
 * the follower's log and rejects the request; the leader, which knows that the snapshot is installed, repeats it for ever. Seed 1040910 of
 * the simulated histories has two of three voters in that state. By Raft's log matching property entries with the same index and term are
 * equal, as are all before them, so a request may begin after them. Not thread-safe.
 */
final class LogOverlap {

  private final TreeMap<Long, Integer> terms = new TreeMap<>();
  /** Index of the last complete snapshot; 0 for none. */
  private long snapshotIndex;
  private long incomingSnapshot;
  private final BitSet receivedChunks = new BitSet();

  void add(List<LogEntry> entries) {
    entries.forEach(e -> terms.put(e.getIndex(), e.getTerm()));
  }

  void truncateFrom(long index) {
    terms.tailMap(index, true).clear();
  }

  /** Records a chunk of a snapshot, received or taken here; the snapshot counts once it is complete. */
  void add(SnapshotChunk c) {
    if (c.getIndex() != incomingSnapshot) {
      incomingSnapshot = c.getIndex();
      receivedChunks.clear();
    }
    receivedChunks.set(c.getSnapshotChunkIndex());
    if (receivedChunks.cardinality() == c.getSnapshotChunkCount()) {
      setSnapshotIndex(incomingSnapshot);
    }
  }

  void setSnapshotIndex(long index) {
    snapshotIndex = Math.max(snapshotIndex, index);
  }

  void truncateUntil(long index) {
    terms.headMap(index, true).clear();
  }

  /** Returns the message itself, or an append request that begins after the entries that are here already. */
  RaftMessage trim(RaftMessage m) {
    if (!(m instanceof AppendEntriesRequest r) || r.getLogEntries().isEmpty() || terms.containsKey(r.getPreviousLogIndex())) {
      return m;
    }
    int known = 0;
    while (known < r.getLogEntries().size()
        && Integer.valueOf(r.getLogEntries().get(known).getTerm()).equals(terms.get(r.getLogEntries().get(known).getIndex()))) {
      known++;
    }
    if (known == 0) {
      // The entries after the snapshot come from an earlier leader and differ from this one's. A snapshot holds only committed entries, which
      // every later leader shares, so previous index 0 is safe: MicroRaft then checks nothing before the first entry and truncates what differs.
      return r.getPreviousLogIndex() != snapshotIndex || snapshotIndex == 0 || terms.isEmpty() ? m : startAfter(r, 0, 0, 0);
    }
    LogEntry last = r.getLogEntries().get(known - 1);
    return startAfter(r, known, last.getTerm(), last.getIndex());
  }

  private static RaftMessage startAfter(AppendEntriesRequest r, int known, int term, long index) {
    return Codec.MODEL.createAppendEntriesRequestBuilder().setGroupId(r.getGroupId()).setSender(r.getSender()).setTerm(r.getTerm())
        .setPreviousLogTerm(term).setPreviousLogIndex(index).setCommitIndex(r.getCommitIndex())
        .setLogEntries(List.copyOf(r.getLogEntries().subList(known, r.getLogEntries().size()))).setQuerySequenceNumber(r.getQuerySequenceNumber())
        .setFlowControlSequenceNumber(r.getFlowControlSequenceNumber()).build();
  }
}
