package cloverpulley.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.incident.Entry;
import cloverpulley.incident.Kind;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The recorder with a stalled, a full and an unusable disk, after a kill, and while its file is being read. */
@Timeout(60)
class RecorderTest {

  private static final long MB = 1 << 20;

  @TempDir
  Path folder;

  private RecordsConfig config(int queue, long segmentBytes, long maxBytes) {
    return new RecordsConfig(folder, "p", segmentBytes, maxBytes, 10, queue, RecordsConfig.Sync.SEGMENT);
  }

  private static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < until, "timed out: " + what);
      TimeUnit.MILLISECONDS.sleep(2);
    }
  }

  private List<Entry> readAll() throws IOException {
    List<Entry> entries = new ArrayList<>();
    new Archive(List.of(folder)).readAll(entries::add, n -> { });
    return entries;
  }

  private static long count(List<Entry> entries, Kind kind) {
    return entries.stream().filter(e -> e.kind() == kind).count();
  }

  @Test
  void recordsNothingWithoutAFolder() {
    Recorder r = Recorder.open(new RecordsConfig(null, "p", MB, 2 * MB, 10, 1024, RecordsConfig.Sync.SEGMENT), "dns", null);
    assertFalse(r.isOn());
    r.recordAnswer(0, "x", "c", "t", "served", 0, 1);
    r.close();
    assertNull(Recorder.NONE.origin());
  }

  /**
   * Guards against callers that wait for a stalled disk and against drops that are not counted. Scaled down from 50,000 records a second for 10 s
   * to 100,000 records in a burst, which exceeds the queue.
   */
  @Test
  void stalledDiskBlocksNoCallerAndEveryDropIsCounted() throws Exception {
    CountDownLatch diskResumes = new CountDownLatch(1);
    AtomicBoolean writerBlocked = new AtomicBoolean();
    AtomicLong now = new AtomicLong(1_764_580_000_000_000L);
    Recorder r = new Recorder(config(4096, MB, 8 * MB), "process", null, now::incrementAndGet, file -> {
      SegmentWriter.Sink fileSink = SegmentWriter.FILES.open(file);
      return new SegmentWriter.Sink() {
        @Override
        public void write(ByteBuffer b) throws IOException {
          try {
            writerBlocked.set(true);
            diskResumes.await();
          } catch (InterruptedException e) {
            throw new IOException(e);
          }
          fileSink.write(b);
        }

        @Override
        public void force() throws IOException {
          fileSink.force();
        }

        @Override
        public void close() throws IOException {
          fileSink.close();
        }
      };
    });
    await("the writer is blocked", writerBlocked::get);
    int sent = 50_000;
    for (int i = 0; i < sent; i++) { // Would never end if the caller waited for the disk.
      r.recordAnswer(i, "id" + i, "c", "t", "served", Entry.SERVED, 1000);
    }
    for (int i = 0; i < sent; i++) {
      r.moduleReplaced("x"); // Highest priority: dropped only if the queue is full.
    }
    assertTrue(r.unreportedDrops() > 0);
    diskResumes.countDown();
    r.close();
    List<Entry> entries = readAll();
    Map<String, Long> dropped = new java.util.HashMap<>();
    entries.stream().filter(e -> e.kind() == Kind.DROPPED).forEach(e -> dropped.merge(e.word(), e.value(), Long::sum));
    assertEquals(sent, count(entries, Kind.ANSWERED) + dropped.getOrDefault("answered", 0L));
    assertEquals(sent, count(entries, Kind.REPLACED) + dropped.getOrDefault("replaced", 0L));
    assertTrue(dropped.get("answered") > 0 && dropped.get("replaced") > 0, dropped.toString());
    assertTrue(count(entries, Kind.REPLACED) > 0, "records of the highest priority still fit");
    for (int i = 0; i < entries.size(); i++) {
      assertEquals(i + 1, entries.get(i).seq(), "sequence numbers have no gaps");
    }
  }

  @Test
  void recoversFromAFullDiskAndReportsWhatWasLost() throws Exception {
    AtomicBoolean diskFull = new AtomicBoolean();
    AtomicLong now = new AtomicLong(1_764_580_000_000_000L);
    Recorder r = new Recorder(config(1 << 16, MB, 8 * MB), "process", null, now::incrementAndGet, file -> {
      SegmentWriter.Sink fileSink = SegmentWriter.FILES.open(file);
      return new SegmentWriter.Sink() {
        @Override
        public void write(ByteBuffer b) throws IOException {
          if (diskFull.get()) {
            int half = b.remaining() / 2;
            fileSink.write(b.slice(b.position(), half)); // The part that still fits.
            throw new IOException("no space left on device");
          }
          fileSink.write(b);
        }

        @Override
        public void force() {}

        @Override
        public void close() throws IOException {
          fileSink.close();
        }
      };
    });
    for (int i = 0; i < 1000; i++) {
      r.recordAnswer(i, "a" + i, "c", "t", "served", 0, 1);
    }
    await("the records are in the file", () -> {
      try {
        return count(readAll(), Kind.ANSWERED) == 1000;
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    });
    diskFull.set(true);
    for (int i = 0; i < 3000; i++) {
      r.recordAnswer(i, "b" + i, "c", "t", "served", 0, 1);
    }
    await("the write error is reported", () -> r.writeError() != null);
    diskFull.set(false);
    await("writing succeeds again", () -> r.writeError() == null);
    r.recordAnswer(1, "last", "c", "t", "served", 0, 1);
    r.close();
    List<Entry> entries = readAll();
    assertTrue(entries.stream().anyMatch(e -> "last".equals(e.id())));
    long dropped = entries.stream().filter(e -> e.kind() == Kind.DROPPED).mapToLong(Entry::value).sum();
    long missing = 0;
    for (int i = 1; i < entries.size(); i++) {
      missing += entries.get(i).seq() - entries.get(i - 1).seq() - 1;
    }
    assertEquals(4001, count(entries, Kind.ANSWERED) + dropped + missing, "each record is in the file, counted as dropped, or missing");
    assertTrue(missing + dropped > 0);
  }

  @Test
  void reportsAnErrorIfTheFolderCannotBeCreated() throws Exception {
    Path file = Files.writeString(folder.resolve("taken"), "a file where the folder should be");
    RecordsConfig config = new RecordsConfig(file.resolve("records"), "p", MB, 2 * MB, 10, 1024, RecordsConfig.Sync.SEGMENT);
    Recorder r = Recorder.open(config, "process", null);
    r.recordAnswer(1, "x", "c", "t", "served", 0, 1);
    await("the write error is reported", () -> r.writeError() != null);
    assertTrue(r.unreportedDrops() > 0);
    r.close();
  }

  /** The total size stays within the limit: the oldest segments are deleted, and the deletions are recorded. */
  @Test
  void deletesTheOldestSegments() throws Exception {
    AtomicLong now = new AtomicLong(1_764_580_000_000_000L);
    Recorder r = new Recorder(config(1 << 16, MB, 3 * MB), "process", null, now::incrementAndGet, SegmentWriter.FILES);
    java.util.SplittableRandom random = new java.util.SplittableRandom(7);
    for (int i = 0; i < 300_000; i++) {
      while (r.written() < i - 30_000) {
        TimeUnit.MICROSECONDS.sleep(100);
      }
      r.recordAnswer(i, Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong()), "c", "t", "served", 0, random.nextInt());
    }
    r.close();
    Archive archive = new Archive(List.of(folder));
    assertTrue(archive.bytes() <= 3 * MB + (MB >> 1), "bytes " + archive.bytes());
    List<Entry> entries = readAll();
    List<Entry> removed = entries.stream().filter(e -> e.kind() == Kind.REMOVED).toList();
    assertFalse(removed.isEmpty());
    assertTrue(removed.stream().allMatch(e -> e.value() > 0 && e.word().endsWith(".rec")), removed.toString());
    assertTrue(entries.get(0).seq() > 1, "the oldest records were deleted");
  }

  /** After a kill, the file has complete blocks and no STOP record. */
  @Test
  void killedRecorderLeavesCompleteBlocksAndNoStopRecord() throws Exception {
    Recorder r = Recorder.open(config(1 << 16, MB, 8 * MB), "process", null);
    for (int i = 0; i < 5000; i++) {
      r.recordAnswer(i, "a" + i, "c", "t", "served", 0, 1);
    }
    await("the records are written", () -> r.written() >= 5000);
    r.kill();
    List<Entry> entries = readAll();
    assertEquals(0, count(entries, Kind.STOP));
    assertEquals(1, count(entries, Kind.START));
    assertTrue(count(entries, Kind.ANSWERED) > 0);
    // A successor with the same instance name is another incarnation.
    Recorder next = Recorder.open(config(1 << 16, MB, 8 * MB), "process", null);
    next.close();
    assertEquals(2, new Archive(List.of(folder)).incarnations().get("p").size());
  }

  /** A segment can be read while it is written: the reader returns complete blocks only, more each time. */
  @Test
  void readsAFileWhileItGrows() throws Exception {
    Recorder r = Recorder.open(config(1 << 16, 64 * MB, 128 * MB), "process", null);
    long before = 0;
    for (int round = 1; round <= 5; round++) {
      for (int i = 0; i < 2000; i++) {
        r.recordAnswer(i, "a" + round + "-" + i, "c", "t", "served", 0, 1);
      }
      long expected = 2000L * round;
      await("round " + round + " is in the file", () -> {
        try {
          return count(readAll(), Kind.ANSWERED) == expected;
        } catch (IOException e) {
          throw new IllegalStateException(e);
        }
      });
      assertTrue(expected > before);
      before = expected;
    }
    r.close();
    Map<Kind, Long> kinds = new EnumMap<>(Kind.class);
    readAll().forEach(e -> kinds.merge(e.kind(), 1L, Long::sum));
    assertEquals(10_000L, kinds.get(Kind.ANSWERED));
    assertEquals(1L, kinds.get(Kind.STOP));
  }
}
