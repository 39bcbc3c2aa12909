package cloverpulley.agree;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.outs.Command;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Recovery of a voter's journal: truncated, corrupt, foreign and compacted files. */
class RaftJournalTest {

  private static final long MAX_BYTES = 1 << 20;

  @TempDir
  private Path folder;

  private Path file() {
    return folder.resolve("v.ledger");
  }

  private static LogEntry entry(long index, int term) {
    return Codec.MODEL.createLogEntryBuilder().setIndex(index).setTerm(term)
        .setOperation(new TimestampedCommand(index, new Command.Halt("h" + index, "who", "why"))).build();
  }

  private static RaftGroupMembersView members() {
    return Codec.MODEL.createRaftGroupMembersViewBuilder().setLogIndex(0).setMembers(List.of(new Peer("a"), new Peer("b"), new Peer("c")))
        .setVotingMembers(List.of(new Peer("a"), new Peer("b"), new Peer("c"))).build();
  }

  private RaftJournal create(long maxBytes) throws IOException {
    RaftJournal.create(file(), "fleet", false);
    RaftJournal j = RaftJournal.open(file(), "fleet", maxBytes);
    assertNull(j.restored());
    j.persistAndFlushInitialGroupMembers(members());
    j.persistAndFlushLocalEndpoint(
        Codec.MODEL.createRaftEndpointPersistentStateBuilder().setLocalEndpoint(new Peer("a")).setVoting(true).build());
    j.persistAndFlushTerm(Codec.MODEL.createRaftTermPersistentStateBuilder().setTerm(3).setVotedFor(new Peer("b")).build());
    return j;
  }

  private static List<String> read(RestoredRaftState s) {
    return s.getLogEntries().stream().map(e -> e.getIndex() + ":" + e.getTerm() + ":" + ((TimestampedCommand) e.getOperation()).command()).toList();
  }

  private RestoredRaftState recover() throws IOException {
    try (RaftJournal j = RaftJournal.open(file(), "fleet", MAX_BYTES)) {
      return j.restored();
    }
  }

  @Test
  void flushedEntriesAreRecovered() throws IOException {
    try (RaftJournal j = create(MAX_BYTES)) {
      j.persistLogEntries(List.of(entry(1, 3), entry(2, 3), entry(3, 3)));
      j.truncateLogEntriesFrom(3);
      j.persistLogEntries(List.of(entry(3, 4)));
      j.flush();
    }
    RestoredRaftState s = recover();
    assertEquals(List.of(entry(1, 3), entry(2, 3), entry(3, 4)).stream().map(e -> e.getIndex() + ":" + e.getTerm() + ":"
        + ((TimestampedCommand) e.getOperation()).command()).toList(), read(s));
    assertEquals(3, s.getTermPersistentState().getTerm());
    assertEquals(new Peer("b"), s.getTermPersistentState().getVotedFor());
    assertEquals(new Peer("a"), s.getLocalEndpointPersistentState().getLocalEndpoint());
  }

  /** A file cut at any byte recovers to an earlier state. */
  @Test
  void aTruncatedFrameIsCutOff() throws IOException {
    List<Integer> ends = new ArrayList<>();
    try (RaftJournal j = create(MAX_BYTES)) {
      for (int i = 1; i <= 5; i++) {
        ends.add((int) j.size());
        j.persistLogEntries(List.of(entry(i, 3)));
      }
      j.flush();
      ends.add((int) j.size());
    }
    byte[] whole = Files.readAllBytes(file());
    for (int cut = ends.get(0); cut <= whole.length; cut++) {
      Files.write(file(), Arrays.copyOf(whole, cut));
      int at = cut;
      assertEquals(ends.stream().skip(1).filter(e -> e <= at).count(), recover().getLogEntries().size(), "cut at " + cut);
    }
  }

  /** A corrupt frame before the end was acknowledged before: the file must be rejected and stay unchanged. */
  @Test
  void aFileCorruptInTheMiddleIsRejected() throws IOException {
    int from;
    int last;
    try (RaftJournal j = create(MAX_BYTES)) {
      from = (int) j.size();
      j.persistLogEntries(List.of(entry(1, 3)));
      last = (int) j.size();
      j.persistLogEntries(List.of(entry(2, 3)));
      j.flush();
    }
    byte[] whole = Files.readAllBytes(file());
    for (int at = from; at < last; at++) {
      byte[] corrupt = whole.clone();
      corrupt[at] ^= 0x40;
      Files.write(file(), corrupt);
      assertTrue(assertThrows(IOException.class, this::recover).getMessage().contains("corrupt at byte " + from), "at " + at);
      assertEquals(whole.length, Files.size(file()));
    }
  }

  @Test
  void missingForeignNewerAndUsedFilesAreRejected() throws IOException {
    assertTrue(assertThrows(IOException.class, this::recover).getMessage().contains("is missing"));
    try (RaftJournal j = create(MAX_BYTES)) {
      assertNotNull(j);
      assertThrows(IOException.class, this::recover, "in use");
    }
    assertTrue(assertThrows(IOException.class, () -> RaftJournal.open(file(), "other", MAX_BYTES)).getMessage().contains("another fleet"));
    byte[] whole = Files.readAllBytes(file());
    byte[] newer = whole.clone();
    ByteBuffer.wrap(newer).putInt(4, RaftJournal.VERSION + 1);
    Files.write(file(), newer);
    assertTrue(assertThrows(IOException.class, this::recover).getMessage().contains("version 2"));
    assertThrows(IOException.class, () -> RaftJournal.create(file(), "fleet", false), "the file exists");
    Files.write(file(), whole);
    assertNotNull(recover());
  }

  /** Repeated compaction keeps the state, and entries covered by a snapshot are removed. */
  @Test
  void theSizeStaysBounded() throws IOException {
    try (RaftJournal j = create(4096)) {
      for (int i = 1; i <= 500; i++) {
        j.persistLogEntries(List.of(entry(i, 3)));
        if (i % 50 == 0) {
          j.persistSnapshotChunk(Codec.MODEL.createSnapshotChunkBuilder().setIndex(i).setTerm(3).setOperation("state " + i)
              .setSnapshotChunkIndex(0).setSnapshotChunkCount(1).setGroupMembersView(members()).build());
          j.deleteSnapshotChunks(i - 50, 1);
          j.truncateLogEntriesUntil(i);
        }
        j.flush();
      }
      assertTrue(j.size() < 4 * 4096, "size " + j.size());
    }
    RestoredRaftState s = recover();
    assertEquals(500, s.getSnapshotEntry().getIndex());
    assertEquals(List.of(), s.getLogEntries());
  }
}
