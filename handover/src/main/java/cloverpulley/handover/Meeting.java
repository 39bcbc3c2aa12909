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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Where the processes of one balancer see one another: a folder that they share, with a file of each, on which it holds a lock for
 * as long as it lives. The system ends the lock with the process, however that ends, so that a number used again or a file
 * left behind is never taken for a process. One thread at a time.
 */
public final class Meeting implements AutoCloseable {

  /** What a process is about. */
  public enum Stage { STARTING, SERVING, LEAVING }

  /** Another live process: its name here, when it started relative to this one, what it is about, and the descriptors it holds. */
  public record Other(String name, boolean startedLater, Stage stage, int descriptors) {}

  private static final String PREFIX = "process-";
  private static final String LEFT = "left-";
  /** Files looked at: more are not this program's doing. */
  private static final int MOST = 64;
  private static final int LENGTH = 1 + Integer.BYTES;

  private final Path folder;
  private final Path mine;
  private final FileChannel channel;

  private Meeting(Path folder, Path mine, FileChannel channel) {
    this.folder = folder;
    this.mine = mine;
    this.channel = channel;
  }

  /**
   * Joins the processes that meet in a folder, which is made where there is none.
   *
   * @param unixMillis when this process started: the later is the successor
   * @param number tells apart those that started in the same millisecond, such as the process's number
   */
  public static Meeting join(Path folder, long unixMillis, long number) throws IOException {
    Files.createDirectories(folder);
    Path mine = folder.resolve(String.format("%s%019d-%019d", PREFIX, unixMillis, number));
    // Under another name until it is locked and says what it is about: whoever looked in between would take it for that of a dead process and remove
    // it, or hold its lock for that moment.
    Path made = folder.resolve("joins-" + mine.getFileName());
    FileChannel channel = FileChannel.open(made, StandardOpenOption.CREATE_NEW, StandardOpenOption.READ, StandardOpenOption.WRITE);
    try {
      if (channel.tryLock() == null) {
        throw new IOException("no lock on " + made);
      }
      Meeting meeting = new Meeting(folder, mine, channel);
      meeting.tell(Stage.STARTING, 0);
      Files.move(made, mine, StandardCopyOption.ATOMIC_MOVE);
      return meeting;
    } catch (IOException | OverlappingFileLockException e) {
      channel.close();
      Files.deleteIfExists(made);
      throw new IOException(e);
    }
  }

  /** Tells the others what this process is about. */
  public void tell(Stage stage, int descriptors) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(LENGTH).put((byte) stage.ordinal()).putInt(descriptors).flip();
    channel.write(bytes, 0);
  }

  /** The others that live. Files of dead ones are removed. */
  public List<Other> others() throws IOException {
    List<Path> files;
    try (Stream<Path> all = Files.list(folder)) {
      files = all.filter(f -> f.getFileName().toString().startsWith(PREFIX) && !f.equals(mine)).limit(MOST).toList();
    }
    List<Other> found = new ArrayList<>(files.size());
    for (Path file : files) {
      try (FileChannel other = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
        if (isHeld(other)) {
          found.add(read(file, other));
        } else {
          Files.deleteIfExists(left(file.getFileName().toString()));
          Files.deleteIfExists(file);
        }
      } catch (NoSuchFileException e) {
        continue; // It left in this moment.
      }
    }
    return found;
  }

  private static boolean isHeld(FileChannel file) throws IOException {
    try (FileLock lock = file.tryLock()) {
      return lock == null;
    } catch (OverlappingFileLockException e) {
      return true; // By this very process, which tests have two balancers in.
    }
  }

  private Other read(Path file, FileChannel from) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(LENGTH);
    int length = from.read(bytes, 0);
    Stage[] stages = Stage.values();
    // One that has only just made its file is starting.
    boolean whole = length == LENGTH && bytes.get(0) >= 0 && bytes.get(0) < stages.length;
    return new Other(file.getFileName().toString(), file.compareTo(mine) > 0, whole ? stages[bytes.get(0)] : Stage.STARTING,
        whole ? Math.max(0, bytes.getInt(1)) : 0);
  }

  /** Leaves octets for the others, in place of those left before: whole or not at all, whenever this process ends. */
  public void leave(byte[] bytes) throws IOException {
    Path made = folder.resolve("new-" + mine.getFileName());
    Files.write(made, bytes);
    Files.move(made, left(mine.getFileName().toString()), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** What another process has left, where that is not what it was when {@code seen} was its time; null for nothing. */
  public Left left(Other other, Left seen, int mostBytes) throws IOException {
    Path file = left(other.name());
    try {
      long time = Files.getLastModifiedTime(file).to(TimeUnit.NANOSECONDS);
      if (seen != null && seen.from().equals(other.name()) && seen.time() == time) {
        return seen;
      }
      try (InputStream in = Files.newInputStream(file)) {
        return new Left(other.name(), time, in.readNBytes(mostBytes));
      }
    } catch (NoSuchFileException e) {
      return null;
    }
  }

  /** What a process left, and the file's time. */
  public record Left(String from, long time, byte[] bytes) {}

  private Path left(String process) {
    return folder.resolve(LEFT + process);
  }

  /** Leaves. */
  @Override
  public void close() throws IOException {
    Files.deleteIfExists(left(mine.getFileName().toString()));
    Files.deleteIfExists(mine);
    channel.close();
  }
}
