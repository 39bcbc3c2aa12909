package cloverpulley.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

/**
 * The upstreams that operators have taken offline, kept in memory and shared with the other processes of the balancer through a folder.
 *
 * <p>Each change is an empty file whose name holds the kind of change, the upstream and the time; the latest change wins, whichever process made it.
 * The state in memory is authoritative for this process. A missing file means nothing and is written again by the next {@link #synchronize}: only
 * a later change to online brings an upstream back. Times are readings of the machine's monotonic clock. Not thread-safe.
 */
public final class OfflineUpstreams {

  /** The maximum length of a name, in bytes of UTF-8: its hexadecimal form must fit into a file name. */
  public static final int MAX_NAME_BYTES = 100;
  /** The maximum number of upstreams offline at one time, and of changes to online that are remembered. */
  public static final int MAX_OFFLINE = 4096;
  private static final int MAX_ONLINE = 1024;
  private static final String OFFLINE_PREFIX = "offline-";
  private static final String ONLINE_PREFIX = "online-";
  /** Files of earlier releases, whose mere presence meant offline. */
  private static final String LEGACY_PREFIX = "out-";
  /** Digits of the time in a file name. */
  private static final int TIME_DIGITS = 19;

  /**
   * The last change of an upstream.
   *
   * @param sinceNanos when it was first known to be offline, if it was taken offline repeatedly
   */
  private record Change(boolean offline, long sinceNanos, long atNanos) {

    /** Of two changes at the same time offline wins, which is the safe choice. */
    boolean isAfter(Change other) {
      return other == null || atNanos > other.atNanos || atNanos == other.atNanos && offline && !other.offline;
    }
  }

  private final Path folder;
  private final LongSupplier clock;
  private final Map<String, Change> changes = new LinkedHashMap<>();
  /** Whether the last {@link #synchronize} has read and written the whole folder. */
  private boolean synchronizedLast;

  /** {@code folder} may be null; nothing is shared then. */
  public OfflineUpstreams(Path folder) {
    this(folder, System::nanoTime);
  }

  OfflineUpstreams(Path folder, LongSupplier clock) {
    this.folder = folder;
    this.clock = clock;
    synchronizedLast = folder == null;
  }

  /** Whether a name can be stored. */
  public static boolean isValidName(String id) {
    byte[] bytes = id.getBytes(StandardCharsets.UTF_8);
    return bytes.length > 0 && bytes.length <= MAX_NAME_BYTES;
  }

  /**
   * Takes an upstream offline. Recorded even if it is offline already: another process may have brought it online in a change that this one has
   * not seen yet, and the later of the two has to win. Returns false if the maximum number is offline.
   */
  public boolean setOffline(String id) {
    if (!isOffline(id) && offline().size() >= MAX_OFFLINE) {
      return false;
    }
    change(id, true);
    return true;
  }

  /**
   * Brings an upstream back online. Recorded also where the folder could not be read last, since another process may have taken it offline
   * meanwhile. To be called after {@link #synchronize}.
   */
  public void setOnline(String id) {
    if (isOffline(id) || !synchronizedLast) {
      change(id, false);
    }
  }

  private boolean isOffline(String id) {
    Change change = changes.get(id);
    return change != null && change.offline;
  }

  private void change(String id, boolean offline) {
    Change before = changes.remove(id);
    long now = clock.getAsLong();
    long atNanos = before == null ? now : Math.max(now, before.atNanos + 1);
    boolean repeated = offline && before != null && before.offline;
    changes.put(id, new Change(offline, repeated ? before.sinceNanos : atNanos, atNanos));
    removeOldestOnline();
  }

  /** Removes the oldest changes to online beyond {@link #MAX_ONLINE}. */
  private void removeOldestOnline() {
    List<String> online = changes.entrySet().stream().filter(e -> !e.getValue().offline).map(Map.Entry::getKey).toList();
    online.subList(0, Math.max(0, online.size() - MAX_ONLINE)).forEach(changes::remove);
  }

  /** The upstreams that are offline, each with how long it has been offline, in nanoseconds. */
  public Map<String, Long> offline() {
    long now = clock.getAsLong();
    Map<String, Long> offline = new LinkedHashMap<>();
    changes.forEach((id, change) -> {
      if (change.offline) {
        offline.put(id, Math.max(0, now - change.sinceNanos));
      }
    });
    return offline;
  }

  /**
   * Applies the changes of other processes and publishes those that the folder lacks. Throws if the folder can't be used; changes applied
   * until then stay, and the next call does the rest.
   */
  public void synchronize() throws IOException {
    if (folder == null) {
      return;
    }
    synchronizedLast = false;
    Files.createDirectories(folder);
    List<Path> files;
    try (Stream<Path> found = Files.list(folder)) {
      files = found.toList();
    }
    Set<Path> current = new HashSet<>();
    List<Path> stale = new ArrayList<>();
    for (Path file : files) {
      applyFile(file);
    }
    changes.forEach((id, change) -> current.add(file(id, change)));
    for (Path file : files) {
      if (!current.contains(file) && isOurs(file)) {
        stale.add(file);
      }
    }
    current.removeAll(new HashSet<>(files));
    for (Path missing : current) {
      Files.write(missing, new byte[0]);
    }
    for (Path file : stale) {
      Files.deleteIfExists(file);
    }
    synchronizedLast = true;
  }

  private void applyFile(Path file) {
    String id = id(file);
    Change change = change(file);
    if (id != null && change != null && change.isAfter(changes.get(id))) {
      Change before = changes.remove(id);
      boolean repeated = change.offline && before != null && before.offline;
      changes.put(id, repeated ? new Change(true, before.sinceNanos, change.atNanos) : change);
      removeOldestOnline();
    }
  }

  private static boolean isOurs(Path file) {
    return id(file) != null && change(file) != null;
  }

  /** The change that a file represents; null for an unrelated file. */
  private static Change change(Path file) {
    String name = file.getFileName().toString();
    if (name.startsWith(LEGACY_PREFIX)) {
      return new Change(true, 0, 0);
    }
    int at = name.lastIndexOf('-');
    if (!name.startsWith(OFFLINE_PREFIX) && !name.startsWith(ONLINE_PREFIX) || name.length() - at - 1 != TIME_DIGITS) {
      return null;
    }
    try {
      long atNanos = Long.parseLong(name.substring(at + 1));
      return new Change(name.startsWith(OFFLINE_PREFIX), atNanos, atNanos);
    } catch (NumberFormatException e) {
      return null;
    }
  }

  /** The upstream that a file is about; null for an unrelated file. */
  private static String id(Path file) {
    String[] parts = file.getFileName().toString().split("-", -1);
    if (parts.length < 2 || parts.length > 3) {
      return null;
    }
    try {
      byte[] bytes = HexFormat.of().parseHex(parts[1]);
      String id = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
      return isValidName(id) ? id : null;
    } catch (IllegalArgumentException | CharacterCodingException e) {
      return null;
    }
  }

  private Path file(String id, Change change) {
    String hex = HexFormat.of().formatHex(id.getBytes(StandardCharsets.UTF_8));
    return folder.resolve(String.format("%s%s-%0" + TIME_DIGITS + "d", change.offline ? OFFLINE_PREFIX : ONLINE_PREFIX, hex, change.atNanos));
  }
}
