package cloverpulley.agree;

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

/** What a voter must not forget, as it stands: what a store holds, wherever it puts it. */
final class Kept {

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

  /** What Raft starts with: the last snapshot that is whole, and the entries behind it; null for a voter that has never been one. */
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
