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

/** A voter's file in a simulation: what was not flushed when it crashed is there up to some point, as on a disk. */
final class MemoryStore implements RaftStore {

  private final DurableState kept = new DurableState();
  private final List<Runnable> unflushed = new ArrayList<>();
  private LogOverlap overlap = new LogOverlap();

  /** The machine goes down: a part of what was not flushed is kept, from its beginning on. */
  void crash(Random random) {
    int left = unflushed.isEmpty() ? 0 : random.nextInt(unflushed.size() + 1);
    unflushed.subList(0, left).forEach(Runnable::run);
    unflushed.clear();
    overlap = new LogOverlap();
    overlap.snapshotUntil(kept.snapshot());
    overlap.has(kept.behindSnapshot());
  }

  LogOverlap overlap() {
    return overlap;
  }

  RestoredRaftState restored() {
    return kept.restored();
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState s) {
    flush();
    kept.endpoint = s;
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView v) {
    flush();
    kept.members = v;
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState t) {
    flush();
    kept.term = t;
  }

  @Override
  public void persistLogEntries(List<LogEntry> more) {
    List<LogEntry> copy = List.copyOf(more);
    overlap.has(copy);
    unflushed.add(() -> kept.add(copy));
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk c) {
    overlap.has(c);
    unflushed.add(() -> kept.add(c));
  }

  @Override
  public void truncateLogEntriesFrom(long index) {
    overlap.lostFrom(index);
    unflushed.add(() -> kept.entries.tailMap(index, true).clear());
  }

  @Override
  public void truncateLogEntriesUntil(long index) {
    overlap.lostUntil(index);
    unflushed.add(() -> kept.entries.headMap(index, true).clear());
  }

  @Override
  public void deleteSnapshotChunks(long index, int count) {
    unflushed.add(() -> kept.chunks.remove(index));
  }

  @Override
  public void flush() {
    unflushed.forEach(Runnable::run);
    unflushed.clear();
  }
}
