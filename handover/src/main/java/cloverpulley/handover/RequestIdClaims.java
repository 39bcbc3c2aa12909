package cloverpulley.handover;

import java.io.IOException;
import java.nio.channels.FileLock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * The ids of the requests that this balancer has accepted and not finished, and of finished ones that may not run again. An id can be claimed once at a time, in this process and, through
 * a {@link RequestIdFile}, in all processes of the balancer: during an upgrade a client could otherwise have a request run a second time by
 * sending its id to the other process.
 *
 * <p>Claims are kept in memory and locked in the file, so they survive the loss of the folder: a file that replaces a lost one is adopted with
 * all claims. For a while ids are then locked in both, since the other processes adopt the new one at another moment. Where no file can be
 * opened or locked, claims hold for this process alone and requests are served: a failing folder must not turn requests away. Not thread-safe.
 */
public final class RequestIdClaims implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(RequestIdClaims.class.getName());

  /** How long a replaced file is still used: every process adopts the new one well within that time, also after a failure of the folder. */
  static final long REPLACED_FILE_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** The claim of one id, held until it is released. */
  public final class Claim {

    private final String id;
    private final long hash;
    private final List<FileLock> locks = new ArrayList<>(1);
    private boolean released;

    private Claim(String id, long hash) {
      this.id = id;
      this.hash = hash;
    }

    /** Releases the id; further calls have no effect. */
    public void release() {
      if (!released) {
        released = true;
        held.remove(id);
        locks.forEach(RequestIdFile::unlock);
      }
    }

    /** Releases the id for good: it can't be claimed again, by any process of the balancer, for as long as it is remembered. */
    public void useUp() {
      if (!released) {
        remember(hash);
        release();
      }
    }

    /** Locks the id in a file; false if another process holds it. */
    private boolean lockIn(RequestIdFile file) {
      try {
        FileLock lock = file.tryLock(hash);
        if (lock != null) {
          locks.add(lock);
        }
        return lock != null;
      } catch (IOException e) {
        logFailure(e);
        return true;
      }
    }
  }

  private final LongSupplier clock;
  private final RequestIdHash hash = new RequestIdHash();
  private final Map<String, Claim> held = new HashMap<>();
  /** The ids that this process has used up; the file has those of all processes. */
  private final UsedIdTable usedIds = UsedIdTable.inMemory();
  /** The file that all processes use; null for none. */
  private RequestIdFile file;
  /** The file before it, and when it was replaced; null once it is closed. */
  private RequestIdFile replacedFile;
  private long replacedAt;
  private boolean failureLogged;

  /** Creates an empty set of claims that holds for this process alone until a file is adopted. */
  public RequestIdClaims() {
    this(System::nanoTime);
  }

  /** As above, with the given monotonic clock, in nanoseconds. */
  RequestIdClaims(LongSupplier clock) {
    this.clock = clock;
  }

  /** Claims an id; null if it is held already or used up, by this process or by another of the balancer. */
  public Claim claim(String id) {
    if (held.containsKey(id)) {
      return null;
    }
    closeReplacedFile();
    Claim claim = new Claim(id, hash.of(id));
    // Locked first: the process that holds it marks it as used before it releases it.
    if (file != null && !claim.lockIn(file) || replacedFile != null && !claim.lockIn(replacedFile) || isUsed(claim.hash)) {
      claim.locks.forEach(RequestIdFile::unlock);
      return null;
    }
    held.put(id, claim);
    return claim;
  }

  private boolean isUsed(long id) {
    try {
      return usedIds.contains(id) || file != null && file.usedIds().contains(id) || replacedFile != null && replacedFile.usedIds().contains(id);
    } catch (IOException e) {
      logFailure(e);
      return false;
    }
  }

  private void remember(long id) {
    try {
      usedIds.add(id);
      if (file != null) {
        file.usedIds().add(id);
      }
      if (replacedFile != null) {
        replacedFile.usedIds().add(id);
      }
    } catch (IOException e) {
      logFailure(e);
    }
  }

  private void closeReplacedFile() {
    if (replacedFile != null && clock.getAsLong() - replacedAt > REPLACED_FILE_NANOS) {
      replacedFile.close();
      replacedFile = null;
    }
  }

  /** Uses a file from now on, and locks all ids in it that are held. */
  public void adopt(RequestIdFile newFile) {
    if (replacedFile != null) {
      replacedFile.close();
    }
    replacedFile = file;
    replacedAt = clock.getAsLong();
    file = newFile;
    held.values().forEach(claim -> claim.lockIn(newFile));
    try {
      newFile.usedIds().addAll(usedIds);
    } catch (IOException e) {
      logFailure(e);
    }
  }

  private void logFailure(IOException e) {
    if (!failureLogged) {
      failureLogged = true;
      LOG.warning("request ids can't be kept in the shared folder, they are checked in this process alone: " + e);
    }
  }

  /** Closes the files; claims then hold for this process alone. */
  @Override
  public void close() {
    if (file != null) {
      file.close();
      file = null;
    }
    if (replacedFile != null) {
      replacedFile.close();
      replacedFile = null;
    }
  }
}
