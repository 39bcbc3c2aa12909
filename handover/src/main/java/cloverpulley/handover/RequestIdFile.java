package cloverpulley.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The file in the shared folder in which the processes of one balancer lock the ids of their requests, each as one byte at the position of its
 * hash. The file stays empty: locks take no space, and the system releases those of a process that ends, however it ends.
 *
 * <p>The system also releases all locks of a process when it closes any descriptor of the file, so a process must not open a file that it has
 * open. {@link #open} and {@link #isInPlace} access the folder and may block; {@link #tryLock} does not.
 */
public final class RequestIdFile {

  private static final String NAME = "request-ids";
  /** Calls of the system that fail for now, as when interrupted, are repeated at once; further attempts would hardly differ. */
  private static final int MAX_TRIES = 8;
  private static final long MAX_POSITION = 1L << 62;

  private final Path path;
  private final FileChannel channel;
  private final Object fileKey;
  private final MessageDigest hash = newHash();

  private RequestIdFile(Path path, FileChannel channel, Object fileKey) {
    this.path = path;
    this.channel = channel;
    this.fileKey = fileKey;
  }

  /** Opens the file of a folder, and creates both if necessary. */
  public static RequestIdFile open(Path folder) throws IOException {
    Files.createDirectories(folder);
    Path path = folder.resolve(NAME);
    FileChannel channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
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

  /** Locks an id; null if another process or another balancer of this process holds it. Throws if the system can't tell. */
  FileLock tryLock(String id) throws IOException {
    long position = positionOf(id);
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

  private long positionOf(String id) {
    return ByteBuffer.wrap(hash.digest(id.getBytes(StandardCharsets.UTF_8))).getLong() & (MAX_POSITION - 1);
  }

  private static MessageDigest newHash() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // Every Java platform has it.
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
