package cloverpulley.agree;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;

/** A voter's file in a simulation: what was not flushed when it crashed is there up to some point, as on a disk. */
final class MemoryStore implements RaftStore {

  private RaftEndpointPersistentState endpoint;
  private RaftGroupMembersView members;
  private RaftTermPersistentState term;
  private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
  private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();
  private final List<Runnable> unflushed = new ArrayList<>();
  private Overlap overlap = new Overlap();

  /** The machine goes down: a part of what was not flushed is kept, from its beginning on. */
  void crash(Random random) {
    int kept = unflushed.isEmpty() ? 0 : random.nextInt(unflushed.size() + 1);
    unflushed.subList(0, kept).forEach(Runnable::run);
    unflushed.clear();
    overlap = new Overlap();
    overlap.has(new ArrayList<>(entries.values()));
  }

  Overlap overlap() {
    return overlap;
  }

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

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState s) {
    flush();
    endpoint = s;
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView v) {
    flush();
    members = v;
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState t) {
    flush();
    term = t;
  }

  @Override
  public void persistLogEntries(List<LogEntry> more) {
    List<LogEntry> copy = List.copyOf(more);
    overlap.has(copy);
    unflushed.add(() -> copy.forEach(e -> entries.put(e.getIndex(), e)));
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk c) {
    unflushed.add(() -> chunks.computeIfAbsent(c.getIndex(), k -> new TreeMap<>()).put(c.getSnapshotChunkIndex(), c));
  }

  @Override
  public void truncateLogEntriesFrom(long index) {
    overlap.lostFrom(index);
    unflushed.add(() -> entries.tailMap(index, true).clear());
  }

  @Override
  public void truncateLogEntriesUntil(long index) {
    overlap.lostUntil(index);
    unflushed.add(() -> entries.headMap(index, true).clear());
  }

  @Override
  public void deleteSnapshotChunks(long index, int count) {
    unflushed.add(() -> chunks.remove(index));
  }

  @Override
  public void flush() {
    unflushed.forEach(Runnable::run);
    unflushed.clear();
  }
}
