package cloverpulley.agree;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * The durable state of a voter: an append-only file of frames, each with a CRC-32C, forced to disk before Raft acknowledges the change. A
 * truncated last frame was never acknowledged and is cut off on recovery. A corrupt frame with valid ones after it was acknowledged: such a file
 * is rejected, since a voter that forgot part of its state could grant the same slot twice. A file that exceeds its maximum size is compacted
 * into a new file, which replaces it atomically.
 */
final class RaftJournal implements RaftStore, AutoCloseable {

  private static final int FILE_MAGIC = 0x4153_484C; // "ASHL"
  static final int VERSION = 1;
  private static final int FRAME_MAGIC = 0x6F75_7473; // "outs"
  private static final int FRAME_HEADER_BYTES = 13;
  private static final int ENDPOINT = 1;
  private static final int INITIAL_MEMBERS = 2;
  private static final int TERM = 3;
  private static final int ENTRIES = 4;
  private static final int SNAPSHOT_CHUNK = 5;
  private static final int TRUNCATE_FROM = 6;
  private static final int TRUNCATE_UNTIL = 7;
  private static final int DELETE_SNAPSHOT = 8;
  private static final int JOINING = 9;

  private interface FrameWriter {
    void writeTo(DataOutputStream o) throws IOException;
  }

  private final Path file;
  private final String fleet;
  private final long maxBytes;
  private FileChannel channel;
  private FileLock lock;
  private long size;
  /** The size after the last compaction. */
  private long compactedBytes;
  private volatile boolean failed;
  private Consumer<IOException> onFailure = e -> { };
  private boolean joining;
  /** Index of the last entry at the start, lowered where a leader has truncated the log since. */
  private volatile long lastRestoredIndex;
  private final DurableState state = new DurableState();
  private final LogOverlap overlap = new LogOverlap();

  private RaftJournal(Path file, String fleet, long maxBytes) {
    this.file = file;
    this.fleet = fleet;
    this.maxBytes = maxBytes;
  }

  /**
   * Creates the empty journal of a new voter; fails if the file exists. {@code joining} marks a voter that is not an initial member of the group
   * but replaces another one.
   */
  static void create(Path file, String fleet, boolean joining) throws IOException {
    if (file.toAbsolutePath().getParent() != null) {
      Files.createDirectories(file.toAbsolutePath().getParent());
    }
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    content.write(header(fleet));
    if (joining) {
      content.write(frame(JOINING, o -> { }));
    }
    Files.write(file, content.toByteArray(), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE, StandardOpenOption.DSYNC);
  }

  private static byte[] header(String fleet) {
    byte[] name = fleet.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(12 + name.length).putInt(FILE_MAGIC).putInt(VERSION).putInt(name.length).put(name).array();
  }

  /**
   * Opens a journal, recovers its state and continues to write at its end.
   *
   * @param maxBytes size above which the file is compacted
   * @throws IOException if the file is missing, corrupt, in use by another process, of another fleet or of an unsupported version
   */
  static RaftJournal open(Path file, String fleet, long maxBytes) throws IOException {
    RaftJournal j = new RaftJournal(file, fleet, maxBytes);
    if (!Files.exists(file)) {
      throw new IOException(file + " is missing: `ashdeck outs init` creates it, for a voter that has never run");
    }
    j.channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
    try {
      j.lock = j.channel.tryLock();
      if (j.lock == null) {
        throw new IOException(file + " is in use by another process");
      }
      j.recover(Files.readAllBytes(file));
      return j;
    } catch (IOException | RuntimeException e) {
      j.channel.close();
      throw e instanceof IOException io ? io : new IOException(file + ": " + e, e);
    }
  }

  private void recover(byte[] all) throws IOException {
    byte[] header = header(fleet);
    ByteBuffer b = ByteBuffer.wrap(all);
    if (all.length < 12 || b.getInt() != FILE_MAGIC) {
      throw new IOException(file + " is not the journal of a ledger");
    }
    int version = b.getInt();
    if (version != VERSION) {
      throw new IOException(file + " has version " + version + ", this program supports " + VERSION);
    }
    if (all.length < header.length || !ByteBuffer.wrap(all, 0, header.length).equals(ByteBuffer.wrap(header))) {
      throw new IOException(file + " belongs to another fleet than \"" + fleet + "\"");
    }
    int at = header.length;
    while (at < all.length) {
      int length = frameLength(all, at);
      if (length < 0) {
        break;
      }
      replay(all[at + 4], new DataInputStream(new ByteArrayInputStream(all, at + FRAME_HEADER_BYTES, length)));
      at += FRAME_HEADER_BYTES + length;
    }
    for (int later = at + 1; later + FRAME_HEADER_BYTES <= all.length; later++) {
      if (frameLength(all, later) >= 0) {
        throw new IOException(file + " is corrupt at byte " + at + " with valid frames after it: it is not used, replace the voter");
      }
    }
    overlap.setSnapshotIndex(state.snapshotIndex());
    overlap.add(state.entriesAfterSnapshot());
    lastRestoredIndex = state.lastIndex();
    channel.truncate(at);
    channel.position(at);
    size = at;
  }

  /** The length of the frame that begins at an offset; -1 if there is no complete and valid frame. */
  private static int frameLength(byte[] all, int at) {
    if (at + FRAME_HEADER_BYTES > all.length) {
      return -1;
    }
    ByteBuffer h = ByteBuffer.wrap(all, at, FRAME_HEADER_BYTES);
    boolean hasMagic = h.getInt() == FRAME_MAGIC;
    h.get();
    int length = h.getInt();
    int expected = h.getInt();
    return hasMagic && length >= 0 && length <= all.length - at - FRAME_HEADER_BYTES
        && expected == checksum(all[at + 4], all, at + FRAME_HEADER_BYTES, length) ? length : -1;
  }

  private static int checksum(int type, byte[] all, int at, int length) {
    CRC32C crc = new CRC32C();
    crc.update(type);
    crc.update(all, at, length);
    return (int) crc.getValue();
  }

  private void replay(int type, DataInputStream i) throws IOException {
    switch (type) {
      case ENDPOINT -> state.endpoint = Codec.MODEL.createRaftEndpointPersistentStateBuilder().setLocalEndpoint(Codec.endpoint(i))
          .setVoting(i.readBoolean()).build();
      case INITIAL_MEMBERS -> state.members = Codec.members(i);
      case TERM -> state.term = Codec.MODEL.createRaftTermPersistentStateBuilder().setTerm(i.readInt()).setVotedFor(Codec.endpoint(i)).build();
      case ENTRIES -> state.add(Codec.entries(i));
      case SNAPSHOT_CHUNK -> state.add(Codec.chunk(i));
      case TRUNCATE_FROM -> state.entries.tailMap(i.readLong(), true).clear();
      case TRUNCATE_UNTIL -> state.entries.headMap(i.readLong(), true).clear();
      case JOINING -> joining = true;
      case DELETE_SNAPSHOT -> state.chunks.remove(i.readLong());
      default -> throw new IOException(file + ": unknown frame type " + type);
    }
  }

  /** The latest known members of the group. */
  RaftGroupMembersView members() {
    return state.latestMembers();
  }

  /** The state that Raft starts with; null for a voter that has never run. */
  RestoredRaftState restored() {
    return state.restored();
  }

  /** Index of the last entry at the start. A voter that has applied less has not yet caught up with its own journal. */
  long lastRestoredIndex() {
    return lastRestoredIndex;
  }

  /** Whether the voter joins an existing group instead of being an initial member. */
  boolean isJoining() {
    return joining;
  }

  private void append(int type, FrameWriter body) throws IOException {
    if (failed) {
      throw new IOException(file + ": an earlier write failed, the voter must be restarted");
    }
    try {
      byte[] frame = frame(type, body);
      write(channel, ByteBuffer.wrap(frame));
      size += frame.length;
    } catch (IOException e) {
      throw markFailed(e);
    }
  }

  /** After a failed write the content of the file is unknown: nothing is written any more, and the listener is notified. */
  private IOException markFailed(IOException e) {
    if (!failed) {
      failed = true;
      onFailure.accept(e);
    }
    return e;
  }

  /** Whether a write failed. */
  boolean isFailed() {
    return failed;
  }

  /** Sets the listener that is notified once when a write fails, on the writing thread. */
  void onFailure(Consumer<IOException> listener) {
    onFailure = listener;
  }

  private static byte[] frame(int type, FrameWriter body) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(new byte[FRAME_HEADER_BYTES]);
    body.writeTo(new DataOutputStream(bytes));
    byte[] frame = bytes.toByteArray();
    ByteBuffer.wrap(frame).putInt(FRAME_MAGIC).put((byte) type).putInt(frame.length - FRAME_HEADER_BYTES)
        .putInt(checksum(type, frame, FRAME_HEADER_BYTES, frame.length - FRAME_HEADER_BYTES));
    return frame;
  }

  private static void write(FileChannel to, ByteBuffer b) throws IOException {
    while (b.hasRemaining()) {
      to.write(b);
    }
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState s) throws IOException {
    state.endpoint = s;
    append(ENDPOINT, o -> endpoint(o, s));
    flush();
  }

  private static void endpoint(DataOutputStream o, RaftEndpointPersistentState s) throws IOException {
    Codec.endpoint(o, s.getLocalEndpoint());
    o.writeBoolean(s.isVoting());
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView v) throws IOException {
    state.members = v;
    append(INITIAL_MEMBERS, o -> Codec.members(o, v));
    flush();
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState t) throws IOException {
    state.term = t;
    append(TERM, o -> term(o, t));
    flush();
  }

  private static void term(DataOutputStream o, RaftTermPersistentState t) throws IOException {
    o.writeInt(t.getTerm());
    Codec.endpoint(o, t.getVotedFor());
  }

  @Override
  public void persistLogEntries(List<LogEntry> more) throws IOException {
    state.add(more);
    overlap.add(more);
    append(ENTRIES, o -> entries(o, more));
  }

  private static void entries(DataOutputStream o, List<LogEntry> all) throws IOException {
    o.writeInt(all.size());
    for (LogEntry e : all) {
      Codec.entry(o, e);
    }
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk c) throws IOException {
    state.add(c);
    overlap.add(c);
    append(SNAPSHOT_CHUNK, o -> Codec.chunk(o, c));
  }

  @Override
  public void truncateLogEntriesFrom(long index) throws IOException {
    state.entries.tailMap(index, true).clear();
    overlap.truncateFrom(index);
    lastRestoredIndex = Math.min(lastRestoredIndex, index - 1);
    append(TRUNCATE_FROM, o -> o.writeLong(index));
  }

  @Override
  public void truncateLogEntriesUntil(long index) throws IOException {
    state.entries.headMap(index, true).clear();
    overlap.truncateUntil(index);
    append(TRUNCATE_UNTIL, o -> o.writeLong(index));
  }

  @Override
  public void deleteSnapshotChunks(long index, int count) throws IOException {
    state.chunks.remove(index);
    append(DELETE_SNAPSHOT, o -> o.writeLong(index));
  }

  @Override
  public void flush() throws IOException {
    try {
      channel.force(false);
    } catch (IOException e) {
      throw markFailed(e); // A later force may succeed although the first one lost data.
    }
    if (size > Math.max(maxBytes, 2 * compactedBytes)) {
      compact();
    }
  }

  /** Writes the current state to a new file that replaces the old one atomically, so that a complete file exists at any time. */
  private void compact() throws IOException {
    Path temporary = file.resolveSibling(file.getFileName() + ".part");
    Files.deleteIfExists(temporary);
    FileChannel next = FileChannel.open(temporary, StandardOpenOption.CREATE_NEW, StandardOpenOption.READ, StandardOpenOption.WRITE);
    FileLock newLock = null;
    try {
      newLock = next.tryLock();
      write(next, ByteBuffer.wrap(header(fleet)));
      if (state.endpoint != null) {
        write(next, ByteBuffer.wrap(frame(ENDPOINT, o -> endpoint(o, state.endpoint))));
      }
      if (state.members != null) {
        write(next, ByteBuffer.wrap(frame(INITIAL_MEMBERS, o -> Codec.members(o, state.members))));
      }
      if (state.term != null) {
        write(next, ByteBuffer.wrap(frame(TERM, o -> term(o, state.term))));
      }
      for (TreeMap<Integer, SnapshotChunk> s : state.chunks.values()) {
        for (SnapshotChunk c : s.values()) {
          write(next, ByteBuffer.wrap(frame(SNAPSHOT_CHUNK, o -> Codec.chunk(o, c))));
        }
      }
      write(next, ByteBuffer.wrap(frame(ENTRIES, o -> entries(o, new ArrayList<>(state.entries.values())))));
      next.force(true);
      Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      next.close();
      return; // The old file is complete and stays in use; the next flush tries again.
    }
    channel.close();
    channel = next;
    lock = newLock;
    size = channel.position();
    compactedBytes = size;
  }

  long size() {
    return size;
  }

  /** Confined to the Raft thread. */
  LogOverlap overlap() {
    return overlap;
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
