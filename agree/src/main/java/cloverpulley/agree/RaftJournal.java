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
 * What a voter must not forget, in one append-only file of frames, each under a CRC-32C; forced to the disk before anybody is told. A torn
 * tail, which nobody was told of, is cut off. A spoilt frame with sound ones behind it was told of once: such a file is not used, for a
 * voter that forgets half of what it said could grant a place twice. Past its bound it is written anew beside, and put in place in one step.
 */
final class RaftJournal implements RaftStore, AutoCloseable {

  private static final int MAGIC = 0x4153_484C; // "ASHL"
  static final int VERSION = 1;
  private static final int FRAME = 0x6F75_7473;
  private static final int HEAD = 13;
  private static final int ENDPOINT = 1;
  private static final int MEMBERS = 2;
  private static final int TERM = 3;
  private static final int ENTRIES = 4;
  private static final int CHUNK = 5;
  private static final int FROM = 6;
  private static final int UNTIL = 7;
  private static final int DROP = 8;
  private static final int JOINS = 9;

  private interface Writer {
    void to(DataOutputStream o) throws IOException;
  }

  private final Path file;
  private final String fleet;
  private final long most;
  private FileChannel out;
  private FileLock lock;
  private long size;
  /** What it had when it was written anew last. */
  private long least;
  private volatile boolean failed;
  private Consumer<IOException> onFailure = e -> { };
  private boolean joins;
  /** The last entry that it had at the start, as far as no leader has struck it out since. */
  private volatile long restoredLast;
  private final DurableState kept = new DurableState();
  private final LogOverlap overlap = new LogOverlap();

  private RaftJournal(Path file, String fleet, long most) {
    this.file = file;
    this.fleet = fleet;
    this.most = most;
  }

  /** Makes the empty file of a voter that has never been one; fails where there is one. One that {@code joins} others is not of their first group. */
  static void create(Path file, String fleet, boolean joins) throws IOException {
    if (file.toAbsolutePath().getParent() != null) {
      Files.createDirectories(file.toAbsolutePath().getParent());
    }
    ByteArrayOutputStream first = new ByteArrayOutputStream();
    first.write(head(fleet));
    if (joins) {
      first.write(frame(JOINS, o -> { }));
    }
    Files.write(file, first.toByteArray(), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE, StandardOpenOption.DSYNC);
  }

  private static byte[] head(String fleet) {
    byte[] name = fleet.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(12 + name.length).putInt(MAGIC).putInt(VERSION).putInt(name.length).put(name).array();
  }

  /**
   * Reads the file and goes on behind it.
   *
   * @param most octets past which it is written anew
   * @throws IOException where it is missing, another fleet's, of a newer version, spoilt, or in use by another process
   */
  static RaftJournal open(Path file, String fleet, long most) throws IOException {
    RaftJournal j = new RaftJournal(file, fleet, most);
    if (!Files.exists(file)) {
      throw new IOException(file + " is missing: `ashdeck outs init` makes it, for a voter that has never been one");
    }
    j.out = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
    try {
      j.lock = j.out.tryLock();
      if (j.lock == null) {
        throw new IOException(file + " is in use by another process");
      }
      j.recover(Files.readAllBytes(file));
      return j;
    } catch (IOException | RuntimeException e) {
      j.out.close();
      throw e instanceof IOException io ? io : new IOException(file + ": " + e, e);
    }
  }

  private void recover(byte[] all) throws IOException {
    byte[] head = head(fleet);
    ByteBuffer b = ByteBuffer.wrap(all);
    if (all.length < 12 || b.getInt() != MAGIC) {
      throw new IOException(file + " is no ledger's file");
    }
    int version = b.getInt();
    if (version != VERSION) {
      throw new IOException(file + " is of version " + version + ", this program knows " + VERSION);
    }
    if (all.length < head.length || !ByteBuffer.wrap(all, 0, head.length).equals(ByteBuffer.wrap(head))) {
      throw new IOException(file + " belongs to another fleet than \"" + fleet + "\"");
    }
    int at = head.length;
    while (at < all.length) {
      int length = whole(all, at);
      if (length < 0) {
        break;
      }
      take(all[at + 4], new DataInputStream(new ByteArrayInputStream(all, at + HEAD, length)));
      at += HEAD + length;
    }
    for (int later = at + 1; later + HEAD <= all.length; later++) {
      if (whole(all, later) >= 0) {
        throw new IOException(file + " is spoilt at octet " + at + " with sound parts behind: it is not used, replace the voter");
      }
    }
    overlap.snapshotUntil(kept.snapshot());
    overlap.has(kept.behindSnapshot());
    restoredLast = kept.last();
    out.truncate(at);
    out.position(at);
    size = at;
  }

  /** The length of the frame that begins here; -1 for none that is whole. */
  private static int whole(byte[] all, int at) {
    if (at + HEAD > all.length) {
      return -1;
    }
    ByteBuffer h = ByteBuffer.wrap(all, at, HEAD);
    boolean begins = h.getInt() == FRAME;
    h.get();
    int length = h.getInt();
    int sum = h.getInt();
    return begins && length >= 0 && length <= all.length - at - HEAD && sum == sum(all[at + 4], all, at + HEAD, length) ? length : -1;
  }

  private static int sum(int type, byte[] all, int at, int length) {
    CRC32C crc = new CRC32C();
    crc.update(type);
    crc.update(all, at, length);
    return (int) crc.getValue();
  }

  private void take(int type, DataInputStream i) throws IOException {
    switch (type) {
      case ENDPOINT -> kept.endpoint = Codec.MODEL.createRaftEndpointPersistentStateBuilder().setLocalEndpoint(Codec.endpoint(i))
          .setVoting(i.readBoolean()).build();
      case MEMBERS -> kept.members = Codec.members(i);
      case TERM -> kept.term = Codec.MODEL.createRaftTermPersistentStateBuilder().setTerm(i.readInt()).setVotedFor(Codec.endpoint(i)).build();
      case ENTRIES -> kept.add(Codec.entries(i));
      case CHUNK -> kept.add(Codec.chunk(i));
      case FROM -> kept.entries.tailMap(i.readLong(), true).clear();
      case UNTIL -> kept.entries.headMap(i.readLong(), true).clear();
      case JOINS -> joins = true;
      case DROP -> kept.chunks.remove(i.readLong());
      default -> throw new IOException(file + ": a frame of type " + type);
    }
  }

  /** The voters, as far as this one has heard. */
  RaftGroupMembersView group() {
    return kept.group();
  }

  /** What Raft starts with; null for a voter that has never been one. */
  RestoredRaftState restored() {
    return kept.restored();
  }

  /** What it had at the start goes up to here: whoever holds less of the ledger has not caught up with what it knew itself. */
  long restoredLast() {
    return restoredLast;
  }

  /** Whether it came to a group that was there before. */
  boolean joins() {
    return joins;
  }

  private void append(int type, Writer body) throws IOException {
    if (failed) {
      throw new IOException(file + ": a write failed before, the voter is to be restarted");
    }
    try {
      byte[] frame = frame(type, body);
      write(out, ByteBuffer.wrap(frame));
      size += frame.length;
    } catch (IOException e) {
      throw failed(e);
    }
  }

  /** What is in the file now is not known: nothing is written to it any more, and who owns it hears so. */
  private IOException failed(IOException e) {
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

  /** Who is told once where a write fails, on the thread that wrote. */
  void onFailure(Consumer<IOException> told) {
    onFailure = told;
  }

  private static byte[] frame(int type, Writer body) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(new byte[HEAD]);
    body.to(new DataOutputStream(bytes));
    byte[] frame = bytes.toByteArray();
    ByteBuffer.wrap(frame).putInt(FRAME).put((byte) type).putInt(frame.length - HEAD).putInt(sum(type, frame, HEAD, frame.length - HEAD));
    return frame;
  }

  private static void write(FileChannel to, ByteBuffer b) throws IOException {
    while (b.hasRemaining()) {
      to.write(b);
    }
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState s) throws IOException {
    kept.endpoint = s;
    append(ENDPOINT, o -> endpoint(o, s));
    flush();
  }

  private static void endpoint(DataOutputStream o, RaftEndpointPersistentState s) throws IOException {
    Codec.endpoint(o, s.getLocalEndpoint());
    o.writeBoolean(s.isVoting());
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView v) throws IOException {
    kept.members = v;
    append(MEMBERS, o -> Codec.members(o, v));
    flush();
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState t) throws IOException {
    kept.term = t;
    append(TERM, o -> term(o, t));
    flush();
  }

  private static void term(DataOutputStream o, RaftTermPersistentState t) throws IOException {
    o.writeInt(t.getTerm());
    Codec.endpoint(o, t.getVotedFor());
  }

  @Override
  public void persistLogEntries(List<LogEntry> more) throws IOException {
    kept.add(more);
    overlap.has(more);
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
    kept.add(c);
    overlap.has(c);
    append(CHUNK, o -> Codec.chunk(o, c));
  }

  @Override
  public void truncateLogEntriesFrom(long index) throws IOException {
    kept.entries.tailMap(index, true).clear();
    overlap.lostFrom(index);
    restoredLast = Math.min(restoredLast, index - 1);
    append(FROM, o -> o.writeLong(index));
  }

  @Override
  public void truncateLogEntriesUntil(long index) throws IOException {
    kept.entries.headMap(index, true).clear();
    overlap.lostUntil(index);
    append(UNTIL, o -> o.writeLong(index));
  }

  @Override
  public void deleteSnapshotChunks(long index, int count) throws IOException {
    kept.chunks.remove(index);
    append(DROP, o -> o.writeLong(index));
  }

  @Override
  public void flush() throws IOException {
    try {
      out.force(false);
    } catch (IOException e) {
      throw failed(e); // A second force may say yes over what the first has lost.
    }
    if (size > Math.max(most, 2 * least)) {
      compact();
    }
  }

  /** Written anew beside the old one, and in its place in one step: at any moment one of the two is whole. */
  private void compact() throws IOException {
    Path part = file.resolveSibling(file.getFileName() + ".part");
    Files.deleteIfExists(part);
    FileChannel next = FileChannel.open(part, StandardOpenOption.CREATE_NEW, StandardOpenOption.READ, StandardOpenOption.WRITE);
    FileLock held = null;
    try {
      held = next.tryLock();
      write(next, ByteBuffer.wrap(head(fleet)));
      if (kept.endpoint != null) {
        write(next, ByteBuffer.wrap(frame(ENDPOINT, o -> endpoint(o, kept.endpoint))));
      }
      if (kept.members != null) {
        write(next, ByteBuffer.wrap(frame(MEMBERS, o -> Codec.members(o, kept.members))));
      }
      if (kept.term != null) {
        write(next, ByteBuffer.wrap(frame(TERM, o -> term(o, kept.term))));
      }
      for (TreeMap<Integer, SnapshotChunk> s : kept.chunks.values()) {
        for (SnapshotChunk c : s.values()) {
          write(next, ByteBuffer.wrap(frame(CHUNK, o -> Codec.chunk(o, c))));
        }
      }
      write(next, ByteBuffer.wrap(frame(ENTRIES, o -> entries(o, new ArrayList<>(kept.entries.values())))));
      next.force(true);
      Files.move(part, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      next.close();
      return; // The old one is whole and goes on; the next flush tries again.
    }
    out.close();
    out = next;
    lock = held;
    size = out.position();
    least = size;
  }

  long size() {
    return size;
  }

  /** Used on Raft's thread, as everything that changes it. */
  LogOverlap overlap() {
    return overlap;
  }

  @Override
  public void close() throws IOException {
    out.close();
  }
}
