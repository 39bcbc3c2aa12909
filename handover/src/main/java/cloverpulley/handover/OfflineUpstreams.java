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
 * The upstreams that operators took offline, held in memory and shared with the other processes of the balancer through a folder.
 *
 * <p>Each change is an empty file whose name says what it is, of which upstream and when: the later change wins, whichever process it came to. Memory
 * is the truth of this process. A file that is missing says nothing, and is written again at the next {@link #synchronize}: only a later change to
 * online ends what was promised. Times are readings of the machine's monotonic clock. Not thread-safe: one thread at a time.
 */
public final class OfflineUpstreams {

  /** The longest name, in bytes of UTF-8: written in hexadecimal it fits a file's name. */
  public static final int MAX_NAME_BYTES = 100;
  /** The most upstreams that are offline at one time, and the most changes to online that are remembered. */
  public static final int MAX_OFFLINE = 4096;
  private static final int MAX_ONLINE = 1024;
  private static final String OFFLINE_PREFIX = "offline-";
  private static final String ONLINE_PREFIX = "online-";
  /** Files of the releases before, whose presence alone meant offline. */
  private static final String RELEASED_PREFIX = "out-";
  /** Digits of a time in a file's name. */
  private static final int TIME_DIGITS = 19;

  /** The last change of an upstream. */
  private record Change(boolean offline, long atNanos) {

    /** Of two at the same time offline wins: the safe direction. */
    boolean isAfter(Change other) {
      return other == null || atNanos > other.atNanos || atNanos == other.atNanos && offline && !other.offline;
    }
  }

  private final Path folder;
  private final LongSupplier clock;
  private final Map<String, Change> changes = new LinkedHashMap<>();

  /** {@code folder} may be null: then nothing is shared. */
  public OfflineUpstreams(Path folder) {
    this(folder, System::nanoTime);
  }

  OfflineUpstreams(Path folder, LongSupplier clock) {
    this.folder = folder;
    this.clock = clock;
  }

  /** Whether a name can be kept. */
  public static boolean isValidName(String id) {
    byte[] bytes = id.getBytes(StandardCharsets.UTF_8);
    return bytes.length > 0 && bytes.length <= MAX_NAME_BYTES;
  }

  /** Takes an upstream offline; one that is offline already stays so since when it was. False where there is no room for more. */
  public boolean setOffline(String id) {
    if (isOffline(id)) {
      return true;
    }
    if (offline().size() >= MAX_OFFLINE) {
      return false;
    }
    change(id, true);
    return true;
  }

  /** Puts an upstream online again. */
  public void setOnline(String id) {
    if (isOffline(id)) {
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
    changes.put(id, new Change(offline, before == null ? now : Math.max(now, before.atNanos + 1)));
    forgetOldest();
  }

  /** Forgets the oldest changes to online beyond what is remembered. */
  private void forgetOldest() {
    List<String> online = changes.entrySet().stream().filter(e -> !e.getValue().offline).map(Map.Entry::getKey).toList();
    online.subList(0, Math.max(0, online.size() - MAX_ONLINE)).forEach(changes::remove);
  }

  /** All that are offline, with how long they have been so, in nanoseconds. */
  public Map<String, Long> offline() {
    long now = clock.getAsLong();
    Map<String, Long> offline = new LinkedHashMap<>();
    changes.forEach((id, change) -> {
      if (change.offline) {
        offline.put(id, Math.max(0, now - change.atNanos));
      }
    });
    return offline;
  }

  /**
   * Takes in the changes of other processes and publishes those that the folder lacks. Throws where the folder can't be used; what was taken in
   * until then stays, and the rest is made good by the next call.
   */
  public void synchronize() throws IOException {
    if (folder == null) {
      return;
    }
    Files.createDirectories(folder);
    List<Path> files;
    try (Stream<Path> found = Files.list(folder)) {
      files = found.toList();
    }
    Set<Path> current = new HashSet<>();
    List<Path> stale = new ArrayList<>();
    for (Path file : files) {
      takeIn(file);
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
  }

  private void takeIn(Path file) {
    String id = id(file);
    Change change = change(file);
    if (id != null && change != null && change.isAfter(changes.get(id))) {
      changes.remove(id);
      changes.put(id, change);
      forgetOldest();
    }
  }

  private static boolean isOurs(Path file) {
    return id(file) != null && change(file) != null;
  }

  /** The change that a file stands for; null for a file of another kind. */
  private static Change change(Path file) {
    String name = file.getFileName().toString();
    if (name.startsWith(RELEASED_PREFIX)) {
      return new Change(true, 0);
    }
    int at = name.lastIndexOf('-');
    if (!name.startsWith(OFFLINE_PREFIX) && !name.startsWith(ONLINE_PREFIX) || name.length() - at - 1 != TIME_DIGITS) {
      return null;
    }
    try {
      return new Change(name.startsWith(OFFLINE_PREFIX), Long.parseLong(name.substring(at + 1)));
    } catch (NumberFormatException e) {
      return null;
    }
  }

  /** The upstream that a file speaks of; null for a file of another kind. */
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
