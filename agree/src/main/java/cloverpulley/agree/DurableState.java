package cloverpulley.agree;

import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** The Raft state that a voter must keep across restarts, in memory; stores write it to their medium. */
final class DurableState {

  RaftEndpointPersistentState endpoint;
  RaftGroupMembersView members;
  RaftTermPersistentState term;
  final TreeMap<Long, LogEntry> entries = new TreeMap<>();
  final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();

  void add(SnapshotChunk c) {
    chunks.computeIfAbsent(c.getIndex(), k -> new TreeMap<>()).put(c.getSnapshotChunkIndex(), c);
  }

  void add(List<LogEntry> more) {
    more.forEach(e -> entries.put(e.getIndex(), e));
  }

  /** The log entries after the snapshot. Older ones may still be kept but are covered by it. */
  List<LogEntry> entriesAfterSnapshot() {
    return new ArrayList<>(entries.tailMap(snapshotIndex(), false).values());
  }

  /** The index of the last complete snapshot; 0 for none. */
  long snapshotIndex() {
    RestoredRaftState s = restored();
    return s == null || s.getSnapshotEntry() == null ? 0 : s.getSnapshotEntry().getIndex();
  }

  /** The index of the last entry, or of the snapshot if no entry follows it; 0 for none. */
  long lastIndex() {
    RestoredRaftState s = restored();
    if (s == null) {
      return 0;
    }
    long snapshot = s.getSnapshotEntry() == null ? 0 : s.getSnapshotEntry().getIndex();
    return s.getLogEntries().isEmpty() ? snapshot : s.getLogEntries().get(s.getLogEntries().size() - 1).getIndex();
  }

  /** The latest known members: the initial ones, or those of the last membership change in the snapshot or log. */
  RaftGroupMembersView latestMembers() {
    RestoredRaftState s = restored();
    RaftGroupMembersView group = members;
    if (s != null && s.getSnapshotEntry() != null) {
      group = s.getSnapshotEntry().getGroupMembersView();
    }
    for (LogEntry e : s == null ? List.<LogEntry>of() : s.getLogEntries()) {
      if (e.getOperation() instanceof UpdateRaftGroupMembersOp u) {
        group = Codec.MODEL.createRaftGroupMembersViewBuilder().setLogIndex(e.getIndex()).setMembers(u.getMembers())
            .setVotingMembers(u.getVotingMembers()).build();
      }
    }
    return group;
  }

  /** The state that Raft starts with: the last complete snapshot and the entries after it; null for a voter that has never run. */
  RestoredRaftState restored() {
    if (endpoint == null || members == null) {
      return null;
    }
    SnapshotEntry snapshot = null;
    for (TreeMap<Integer, SnapshotChunk> s : chunks.values()) {
      SnapshotChunk first = s.firstEntry().getValue();
      if (s.size() == first.getSnapshotChunkCount()) {
        snapshot = Codec.MODEL.createSnapshotEntryBuilder().setIndex(first.getIndex()).setTerm(first.getTerm())
            .setSnapshotChunks(new ArrayList<>(s.values())).setGroupMembersView(first.getGroupMembersView()).build();
      }
    }
    List<LogEntry> log = new ArrayList<>(snapshot == null ? entries.values() : entries.tailMap(snapshot.getIndex(), false).values());
    RaftTermPersistentState t = term != null ? term : Codec.MODEL.createRaftTermPersistentStateBuilder().setTerm(0).setVotedFor(null).build();
    return new RestoredRaftState(endpoint, members, t, snapshot, log);
  }
}
