package cloverpulley.agree;

import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.log.SnapshotChunk;
import java.util.BitSet;
import java.util.List;
import java.util.TreeMap;

/**
 * Which entries a voter has, and what of a leader's request it has already. Guards a follower from standing still: where the answer to the
 * first entries behind a snapshot is lost, the leader sends them again from the snapshot's index, which the library no longer finds in
 * the follower's log; it says no, and the leader, which knows that the snapshot is there, asks the same for ever (two of three that stand so
 * are seed 1040910 of the histories). Entries of the same index and term are the same, and all before them (Raft's log matching), so that
 * a request may as well begin behind them. One thread.
 */
final class LogOverlap {

  private final TreeMap<Long, Integer> terms = new TreeMap<>();
  /** Up to here everything is in the snapshot; 0 for none. */
  private long snapshot;
  private long coming;
  private final BitSet parts = new BitSet();

  void has(List<LogEntry> entries) {
    entries.forEach(e -> terms.put(e.getIndex(), e.getTerm()));
  }

  void lostFrom(long index) {
    terms.tailMap(index, true).clear();
  }

  /** A part of a snapshot has come, or was made; it counts once it is whole. */
  void has(SnapshotChunk c) {
    if (c.getIndex() != coming) {
      coming = c.getIndex();
      parts.clear();
    }
    parts.set(c.getSnapshotChunkIndex());
    if (parts.cardinality() == c.getSnapshotChunkCount()) {
      snapshotUntil(coming);
    }
  }

  void snapshotUntil(long index) {
    snapshot = Math.max(snapshot, index);
  }

  void lostUntil(long index) {
    terms.headMap(index, true).clear();
  }

  /** The same message, or one that begins behind what is here already. */
  RaftMessage without(RaftMessage m) {
    if (!(m instanceof AppendEntriesRequest r) || r.getLogEntries().isEmpty() || terms.containsKey(r.getPreviousLogIndex())) {
      return m;
    }
    int same = 0;
    while (same < r.getLogEntries().size() && Integer.valueOf(r.getLogEntries().get(same).getTerm()).equals(terms.get(r.getLogEntries().get(same).getIndex()))) {
      same++;
    }
    if (same == 0) {
      // Entries of a leader that is no more stand behind the snapshot, and this one's differ. What is in a snapshot was agreed on, so that every
      // later leader has the same there: the library looks at nothing before the first entry, and strikes out what differs.
      return r.getPreviousLogIndex() != snapshot || snapshot == 0 || terms.isEmpty() ? m : after(r, 0, 0, 0);
    }
    LogEntry last = r.getLogEntries().get(same - 1);
    return after(r, same, last.getTerm(), last.getIndex());
  }

  private static RaftMessage after(AppendEntriesRequest r, int same, int term, long index) {
    return Codec.MODEL.createAppendEntriesRequestBuilder().setGroupId(r.getGroupId()).setSender(r.getSender()).setTerm(r.getTerm())
        .setPreviousLogTerm(term).setPreviousLogIndex(index).setCommitIndex(r.getCommitIndex())
        .setLogEntries(List.copyOf(r.getLogEntries().subList(same, r.getLogEntries().size()))).setQuerySequenceNumber(r.getQuerySequenceNumber())
        .setFlowControlSequenceNumber(r.getFlowControlSequenceNumber()).build();
  }
}
