package cloverpulley.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;

/**
 * The file in the shared folder in which the processes of one balancer lock the ids of their requests, each as one byte at the position of its
 * hash. Locks take no space, and the system releases those of a process that ends, however it ends. The file's content is the table of used ids,
 * which outlives the processes; positions of locks and of content are independent.
 *
 * <p>The system also releases all locks of a process when it closes any descriptor of the file, so a process must not open a file that it has
 * open. {@link #open} and {@link #isInPlace} access the folder and may block; {@link #tryLock} does not.
 * Reads and writes of the table are short and go to the system's cache.
 */
public final class RequestIdFile {

  private static final String NAME = "request-ids";
  /** Calls of the system that fail for now, as when interrupted, are repeated at once; further attempts would hardly differ. */
  private static final int MAX_TRIES = 8;
  private static final long MAX_POSITION = 1L << 62;

  private final Path path;
  private final FileChannel channel;
  private final Object fileKey;
  private final UsedIdTable usedIds = new UsedIdTable(new UsedIdTable.Storage() {
    @Override
    public void read(ByteBuffer buckets, long position) throws IOException {
      channel.read(buckets, position);
    }

    @Override
    public void write(ByteBuffer buckets, long position) throws IOException {
      channel.write(buckets, position);
    }
  });

  private RequestIdFile(Path path, FileChannel channel, Object fileKey) {
    this.path = path;
    this.channel = channel;
    this.fileKey = fileKey;
  }

  /** Opens the file of a folder, and creates both if necessary. */
  public static RequestIdFile open(Path folder) throws IOException {
    Files.createDirectories(folder);
    Path path = folder.resolve(NAME);
    FileChannel channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    try {
      return new RequestIdFile(path, channel, Files.readAttributes(path, BasicFileAttributes.class).fileKey());
    } catch (IOException e) {
      channel.close();
      throw e;
    }
  }

  /** Whether this file can be used and the folder still holds it: a process that looks for it would open the same one. */
  public boolean isInPlace() throws IOException {
    try {
      return channel.isOpen() && Files.readAttributes(path, BasicFileAttributes.class).fileKey().equals(fileKey);
    } catch (NoSuchFileException e) {
      return false;
    }
  }

  /** The ids that were used up by any process. */
  UsedIdTable usedIds() {
    return usedIds;
  }

  /** Locks the id with this hash; null if another process or another balancer of this process holds it. Throws if the system can't tell. */
  FileLock tryLock(long hash) throws IOException {
    long position = hash & (MAX_POSITION - 1);
    IOException failure = null;
    for (int i = 0; i < MAX_TRIES; i++) {
      try {
        return channel.tryLock(position, 1, false);
      } catch (OverlappingFileLockException e) {
        return null;
      } catch (IOException e) {
        failure = e;
      }
    }
    throw failure;
  }

  /** Releases a lock; one that can't be released ends with the process. */
  static void unlock(FileLock lock) {
    for (int i = 0; i < MAX_TRIES && lock.isValid(); i++) {
      try {
        lock.release();
      } catch (IOException e) {
        continue; // Interrupted, or the file was closed, which has released it.
      }
    }
  }

  /** Closes the file, which releases all locks that this process holds in it. */
  void close() {
    try {
      channel.close();
    } catch (IOException e) {
      return; // The descriptor is released all the same.
    }
  }
}
