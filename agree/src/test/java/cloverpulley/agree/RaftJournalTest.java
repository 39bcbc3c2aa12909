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

/** A voter's file: torn, spoilt, somebody else's, and written anew. */
class RaftJournalTest {

  private static final long MOST = 1 << 20;

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

  private RaftJournal begun(long most) throws IOException {
    RaftJournal.create(file(), "fleet", false);
    RaftJournal j = RaftJournal.open(file(), "fleet", most);
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

  private RestoredRaftState again() throws IOException {
    try (RaftJournal j = RaftJournal.open(file(), "fleet", MOST)) {
      return j.restored();
    }
  }

  @Test
  void whatWasFlushedIsThereAgain() throws IOException {
    try (RaftJournal j = begun(MOST)) {
      j.persistLogEntries(List.of(entry(1, 3), entry(2, 3), entry(3, 3)));
      j.truncateLogEntriesFrom(3);
      j.persistLogEntries(List.of(entry(3, 4)));
      j.flush();
    }
    RestoredRaftState s = again();
    assertEquals(List.of(entry(1, 3), entry(2, 3), entry(3, 4)).stream().map(e -> e.getIndex() + ":" + e.getTerm() + ":"
        + ((TimestampedCommand) e.getOperation()).command()).toList(), read(s));
    assertEquals(3, s.getTermPersistentState().getTerm());
    assertEquals(new Peer("b"), s.getTermPersistentState().getVotedFor());
    assertEquals(new Peer("a"), s.getLocalEndpointPersistentState().getLocalEndpoint());
  }

  /** Cut at any octet, it is what it was at some moment before. */
  @Test
  void aTornTailIsCutOff() throws IOException {
    List<Integer> ends = new ArrayList<>();
    try (RaftJournal j = begun(MOST)) {
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
      assertEquals(ends.stream().skip(1).filter(e -> e <= at).count(), again().getLogEntries().size(), "cut at " + cut);
    }
  }

  /** What is spoilt before its end was told of once: the file is not used, and not changed. */
  @Test
  void oneThatIsSpoiltInTheMiddleIsNotUsed() throws IOException {
    int from;
    int last;
    try (RaftJournal j = begun(MOST)) {
      from = (int) j.size();
      j.persistLogEntries(List.of(entry(1, 3)));
      last = (int) j.size();
      j.persistLogEntries(List.of(entry(2, 3)));
      j.flush();
    }
    byte[] whole = Files.readAllBytes(file());
    for (int at = from; at < last; at++) {
      byte[] spoilt = whole.clone();
      spoilt[at] ^= 0x40;
      Files.write(file(), spoilt);
      assertTrue(assertThrows(IOException.class, this::again).getMessage().contains("spoilt at octet " + from), "at " + at);
      assertEquals(whole.length, Files.size(file()));
    }
  }

  @Test
  void oneOfAnotherFleetOrVersionOrNoneOrInUseIsRefused() throws IOException {
    assertTrue(assertThrows(IOException.class, this::again).getMessage().contains("is missing"));
    try (RaftJournal j = begun(MOST)) {
      assertNotNull(j);
      assertThrows(IOException.class, this::again, "in use");
    }
    assertTrue(assertThrows(IOException.class, () -> RaftJournal.open(file(), "other", MOST)).getMessage().contains("another fleet"));
    byte[] whole = Files.readAllBytes(file());
    byte[] newer = whole.clone();
    ByteBuffer.wrap(newer).putInt(4, RaftJournal.VERSION + 1);
    Files.write(file(), newer);
    assertTrue(assertThrows(IOException.class, this::again).getMessage().contains("version 2"));
    assertThrows(IOException.class, () -> RaftJournal.create(file(), "fleet", false), "there is one");
    Files.write(file(), whole);
    assertNotNull(again());
  }

  /** Written anew at its bound, over and over, it holds the same; what is behind a snapshot is gone. */
  @Test
  void itStaysBounded() throws IOException {
    try (RaftJournal j = begun(4096)) {
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
    RestoredRaftState s = again();
    assertEquals(500, s.getSnapshotEntry().getIndex());
    assertEquals(List.of(), s.getLogEntries());
  }
}
