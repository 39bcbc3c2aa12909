package cloverpulley.records;

import cloverpulley.config.Section;
import java.nio.file.Path;
import java.util.Map;

/**
 * Settings of the event records: section {@code [records]} of the operators' file.
 *
 * @param folder created if it does not exist; null to disable recording
 * @param instance name of the instance, which its successor processes keep
 * @param segmentBytes size at which a segment is finished and the next one started
 * @param maxBytes maximum total size of this instance's segments; the oldest are deleted first
 * @param flushMillis longest time until a record is written to the file
 * @param queue capacity of the queue to the writer; as it fills up, records are dropped by the priority of their kind, and counted
 * @param sync when the file is forced to the disk
 */
public record RecordsConfig(Path folder, String instance, long segmentBytes, long maxBytes, long flushMillis, int queue, Sync sync) {

  /** SEGMENT: only when a segment is finished; FLUSH: on every flush as well. */
  public enum Sync { SEGMENT, FLUSH }

  private static final Map<String, Sync> SYNCS = Map.of("segment", Sync.SEGMENT, "flush", Sync.FLUSH);
  private static final long MB = 1L << 20;

  /** Reads the section; without a folder, recording is disabled. */
  public static RecordsConfig read(Section section) {
    String folder = section.string("folder", "");
    String instance = section.string("instance", "ashdeck");
    if (!instance.matches("[!-~]{1,64}")) {
      section.reportError("instance", "expected 1 to 64 printable characters without spaces, got \"" + instance + "\"");
      instance = "ashdeck";
    }
    long segmentBytes = section.integer("segment_mb", 1, 1024, 16) * MB;
    long maxBytes = section.integer("most_mb", 2, 1_000_000, 512) * MB;
    if (maxBytes < 2 * segmentBytes) {
      section.reportError("most_mb", "expected at least two segments, " + 2 * segmentBytes / MB + ", got " + maxBytes / MB);
    }
    return new RecordsConfig(folder.isEmpty() ? null : Path.of(folder), instance, segmentBytes, maxBytes,
        section.integer("flush_ms", 10, 60_000, 500), (int) section.integer("queue", 1024, 1 << 22, 1 << 16),
        section.oneOf("sync", SYNCS, Sync.SEGMENT));
  }

  /** Default settings for a folder and an instance name. */
  public static RecordsConfig of(Path folder, String instance) {
    return new RecordsConfig(folder, instance, 16 * MB, 512 * MB, 500, 1 << 16, Sync.SEGMENT);
  }
}
