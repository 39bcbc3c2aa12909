package cloverpulley.records;

import cloverpulley.config.Section;
import java.nio.file.Path;
import java.util.Map;

/**
 * Where records go: {@code [records]} of the operators' file.
 *
 * @param folder made where it is missing; null for no records at all
 * @param instance the name that successors carry on
 * @param segmentBytes a segment is ended at this size
 * @param mostBytes all of this instance's segments together; the oldest goes first
 * @param flushMillis the longest that a record waits before it is in the file
 * @param queue records that wait for the writer; past it they are dropped by kind, and counted
 * @param sync when the file is forced to the disk
 */
public record RecordsConfig(Path folder, String instance, long segmentBytes, long mostBytes, long flushMillis, int queue, Sync sync) {

  /** Never but at a segment's end; or with each flush as well. */
  public enum Sync { SEGMENT, FLUSH }

  private static final Map<String, Sync> SYNCS = Map.of("segment", Sync.SEGMENT, "flush", Sync.FLUSH);
  private static final long MB = 1L << 20;

  /** Reads the section; without a folder nothing is kept. */
  public static RecordsConfig read(Section s) {
    String folder = s.text("folder", "");
    String instance = s.text("instance", "ashdeck");
    if (!instance.matches("[!-~]{1,64}")) {
      s.wrong("instance", "expected 1 to 64 printable characters without a blank, got \"" + instance + "\"");
      instance = "ashdeck";
    }
    long segment = s.whole("segment_mb", 1, 1024, 16) * MB;
    long most = s.whole("most_mb", 2, 1_000_000, 512) * MB;
    if (most < 2 * segment) {
      s.wrong("most_mb", "expected no less than two segments, " + 2 * segment / MB + ", got " + most / MB);
    }
    return new RecordsConfig(folder.isEmpty() ? null : Path.of(folder), instance, segment, most, s.whole("flush_ms", 10, 60_000, 500),
        (int) s.whole("queue", 1024, 1 << 22, 1 << 16), s.word("sync", SYNCS, Sync.SEGMENT));
  }

  /** With what is usual but the folder and the name. */
  public static RecordsConfig of(Path folder, String instance) {
    return new RecordsConfig(folder, instance, 16 * MB, 512 * MB, 500, 1 << 16, Sync.SEGMENT);
  }
}
