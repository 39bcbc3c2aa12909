package cloverpulley.handover;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

/**
 * The processes of one balancer that share a folder. Each has a file there and holds a lock on it while it runs; the system releases the lock when
 * the process ends, so that a reused process id or a stale file is never mistaken for a live process.
 *
 * <p>The folder is not authoritative: it may be emptied, removed or fail at any time. A process whose file is gone publishes it again at the next
 * {@link #refresh}, and a file that vanishes does not mean that its process has ended. Processes are ordered by the machine's monotonic clock, never
 * by wall-clock time. Not thread-safe.
 */
public final class ProcessRegistry implements AutoCloseable {

  /** The state of a process. Stored by ordinal. */
  public enum Lifecycle { STARTING, SERVING, LEAVING }

  /**
   * Another live process.
   *
   * @param name its name in the registry
   * @param startedLater whether it started after this one
   * @param descriptors file descriptors that it holds
   */
  public record PeerProcess(String name, boolean startedLater, Lifecycle lifecycle, int descriptors) {}

  /** A snapshot file of another process, and its modification time, which serves only to detect a new version. */
  public record Snapshot(String from, long modifiedNanos, byte[] bytes) {}

  private record Sighting(PeerProcess peer, long atNanos) {}

  private static final String PROCESS_PREFIX = "process-";
  private static final String JOINING_PREFIX = "joins-";
  private static final String SNAPSHOT_PREFIX = "left-";
  private static final String NEW_SNAPSHOT_PREFIX = "new-";
  /** The maximum number of files examined in one scan; this program never needs as many. */
  private static final int MAX_FILES = 64;
  private static final int RECORD_BYTES = 1 + Integer.BYTES;
  /** Added to readings of the monotonic clock in names, so that they sort after those of releases that used wall-clock time. */
  private static final long NAME_EPOCH = 1_000_000_000_000_000_000L;
  /** How long a process whose file has vanished still counts as alive; a live one publishes its file again well within this time. */
  private static final long VANISHED_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final Path folder;
  private final String name;
  private final LongSupplier clock;
  private final Map<String, Sighting> sightings = new HashMap<>();
  /** Null while this process has no file in the folder. */
  private FileChannel channel;
  private Object fileKey;

  private ProcessRegistry(Path folder, String name, LongSupplier clock) {
    this.folder = folder;
    this.name = name;
    this.clock = clock;
  }

  /**
   * Creates the registry of this process without accessing the folder; {@link #refresh} joins.
   *
   * @param monotonicNanos reading of the machine's monotonic clock at the start of this process: the later process is the successor
   * @param processId distinguishes processes that started at the same reading
   */
  public static ProcessRegistry of(Path folder, long monotonicNanos, long processId) {
    return of(folder, monotonicNanos, processId, System::nanoTime);
  }

  /** As above, with the given monotonic clock, in nanoseconds. */
  static ProcessRegistry of(Path folder, long monotonicNanos, long processId, LongSupplier clock) {
    return new ProcessRegistry(folder, String.format("%s%019d-%019d", PROCESS_PREFIX, NAME_EPOCH + monotonicNanos, processId), clock);
  }

  /** Publishes the state of this process, joining first if it has no file (any more), and returns the other live processes. */
  public List<PeerProcess> refresh(Lifecycle lifecycle, int descriptors) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(RECORD_BYTES).put((byte) lifecycle.ordinal()).putInt(descriptors).flip();
    if (isPublished()) {
      channel.write(bytes, 0);
    } else {
      join(bytes);
    }
    return peers();
  }

  /** Whether the file under this process's name is the one that it has locked. */
  private boolean isPublished() throws IOException {
    if (channel == null) {
      return false;
    }
    try {
      return Files.readAttributes(file(), BasicFileAttributes.class).fileKey().equals(fileKey);
    } catch (NoSuchFileException e) {
      return false;
    }
  }

  private void join(ByteBuffer record) throws IOException {
    Files.createDirectories(folder);
    // Renamed into place once it is locked and written: a scan in between would mistake it for the file of a dead process.
    Path joining = folder.resolve(JOINING_PREFIX + name);
    FileChannel opened = FileChannel.open(joining, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    try {
      if (opened.tryLock() == null) {
        throw new IOException("can't lock " + joining);
      }
      opened.write(record, 0);
      Object key = Files.readAttributes(joining, BasicFileAttributes.class).fileKey();
      Files.move(joining, file(), StandardCopyOption.ATOMIC_MOVE);
      closeQuietly(channel);
      channel = opened;
      fileKey = key;
    } catch (IOException | OverlappingFileLockException e) {
      closeQuietly(opened);
      throw e instanceof IOException io ? io : new IOException(e);
    }
  }

  private static void closeQuietly(FileChannel file) {
    try {
      if (file != null) {
        file.close();
      }
    } catch (IOException e) {
      return; // The descriptor is released all the same.
    }
  }

  private List<PeerProcess> peers() throws IOException {
    List<Path> files;
    try (Stream<Path> all = Files.list(folder)) {
      files = all.filter(f -> f.getFileName().toString().startsWith(PROCESS_PREFIX) && !f.equals(file())).limit(MAX_FILES).toList();
    }
    Set<String> alive = new HashSet<>();
    Set<String> dead = new HashSet<>();
    for (Path file : files) {
      String peer = file.getFileName().toString();
      try (FileChannel other = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
        if (isHeld(other)) {
          alive.add(peer);
          sightings.put(peer, new Sighting(read(peer, other), clock.getAsLong()));
        } else {
          dead.add(peer);
        }
      } catch (NoSuchFileException e) {
        continue; // It was removed after the folder was listed.
      }
    }
    for (String peer : dead) {
      sightings.remove(peer);
      removeFilesOf(peer);
    }
    long now = clock.getAsLong();
    sightings.values().removeIf(s -> !alive.contains(s.peer.name())
        && (s.peer.lifecycle() == Lifecycle.LEAVING || now - s.atNanos > VANISHED_NANOS));
    List<PeerProcess> found = new ArrayList<>(sightings.size());
    sightings.values().forEach(s -> found.add(s.peer));
    return found;
  }

  private void removeFilesOf(String peer) throws IOException {
    Files.deleteIfExists(folder.resolve(NEW_SNAPSHOT_PREFIX + peer));
    Files.deleteIfExists(snapshotOf(peer));
    Files.deleteIfExists(folder.resolve(peer));
  }

  private static boolean isHeld(FileChannel file) throws IOException {
    try (FileLock lock = file.tryLock()) {
      return lock == null;
    } catch (OverlappingFileLockException e) {
      return true; // Locked by this very process: tests run two balancers in one process.
    }
  }

  private PeerProcess read(String peer, FileChannel from) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(RECORD_BYTES);
    int length = from.read(bytes, 0);
    Lifecycle[] states = Lifecycle.values();
    // A truncated or half-written record counts as starting.
    boolean isComplete = length == RECORD_BYTES && bytes.get(0) >= 0 && bytes.get(0) < states.length;
    return new PeerProcess(peer, peer.compareTo(name) > 0, isComplete ? states[bytes.get(0)] : Lifecycle.STARTING,
        isComplete ? Math.max(0, bytes.getInt(1)) : 0);
  }

  /** Publishes a snapshot for the other processes and replaces the previous one atomically, even if this process is killed. */
  public void publishSnapshot(byte[] bytes) throws IOException {
    Path written = folder.resolve(NEW_SNAPSHOT_PREFIX + name);
    Files.write(written, bytes);
    Files.move(written, snapshotOf(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Whether the snapshot that this process published last still exists. */
  public boolean hasSnapshot() {
    return Files.exists(snapshotOf(name));
  }

  /** The snapshot of another process; {@code seen} itself if it has not changed since, null for none. */
  public Snapshot snapshot(PeerProcess peer, Snapshot seen, int maxBytes) throws IOException {
    Path file = snapshotOf(peer.name());
    try {
      long time = Files.getLastModifiedTime(file).to(TimeUnit.NANOSECONDS);
      if (seen != null && seen.from().equals(peer.name()) && seen.modifiedNanos() == time) {
        return seen;
      }
      try (InputStream in = Files.newInputStream(file)) {
        return new Snapshot(peer.name(), time, in.readNBytes(maxBytes));
      }
    } catch (NoSuchFileException e) {
      return null;
    }
  }

  private Path file() {
    return folder.resolve(name);
  }

  private Path snapshotOf(String process) {
    return folder.resolve(SNAPSHOT_PREFIX + process);
  }

  /** Leaves the registry: removes this process's files and releases its lock, even if the folder can't be written. */
  @Override
  public void close() throws IOException {
    try {
      removeFilesOf(name);
    } finally {
      closeQuietly(channel);
      channel = null;
    }
  }
}
