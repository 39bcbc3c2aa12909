package cloverpulley.agree;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;

/** The store of a simulated voter: a crash keeps a random prefix of the writes that were not flushed, as a disk does. */
final class MemoryStore implements RaftStore {

  private final DurableState state = new DurableState();
  private final List<Runnable> unflushed = new ArrayList<>();
  private LogOverlap overlap = new LogOverlap();

  /** Simulates a crash: a random prefix of the unflushed writes survives. */
  void crash(Random random) {
    int survivors = unflushed.isEmpty() ? 0 : random.nextInt(unflushed.size() + 1);
    unflushed.subList(0, survivors).forEach(Runnable::run);
    unflushed.clear();
    overlap = new LogOverlap();
    overlap.setSnapshotIndex(state.snapshotIndex());
    overlap.add(state.entriesAfterSnapshot());
  }

  LogOverlap overlap() {
    return overlap;
  }

  RestoredRaftState restored() {
    return state.restored();
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState s) {
    flush();
    state.endpoint = s;
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView v) {
    flush();
    state.members = v;
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState t) {
    flush();
    state.term = t;
  }

  @Override
  public void persistLogEntries(List<LogEntry> more) {
    List<LogEntry> copy = List.copyOf(more);
    overlap.add(copy);
    unflushed.add(() -> state.add(copy));
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk c) {
    overlap.add(c);
    unflushed.add(() -> state.add(c));
  }

  @Override
  public void truncateLogEntriesFrom(long index) {
    overlap.truncateFrom(index);
    unflushed.add(() -> state.entries.tailMap(index, true).clear());
  }

  @Override
  public void truncateLogEntriesUntil(long index) {
    overlap.truncateUntil(index);
    unflushed.add(() -> state.entries.headMap(index, true).clear());
  }

  @Override
  public void deleteSnapshotChunks(long index, int count) {
    unflushed.add(() -> state.chunks.remove(index));
  }

  @Override
  public void flush() {
    unflushed.forEach(Runnable::run);
    unflushed.clear();
  }
}
