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

/** The recorder beside a slow, a full and a missing disk, and killed. */
@Timeout(60)
class RecorderTest {

  private static final long MB = 1 << 20;

  @TempDir
  Path folder;

  private RecordsConfig config(int queue, long segment, long most) {
    return new RecordsConfig(folder, "p", segment, most, 10, queue, RecordsConfig.Sync.SEGMENT);
  }

  private static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < until, "never: " + what);
      TimeUnit.MILLISECONDS.sleep(2);
    }
  }

  private List<Entry> all() throws IOException {
    List<Entry> all = new ArrayList<>();
    new Archive(List.of(folder)).readAll(all::add, n -> { });
    return all;
  }

  private static long count(List<Entry> all, Kind kind) {
    return all.stream().filter(e -> e.kind() == kind).count();
  }

  @Test
  void withoutAFolderNothingIsKept() {
    Recorder r = Recorder.open(new RecordsConfig(null, "p", MB, 2 * MB, 10, 1024, RecordsConfig.Sync.SEGMENT), "dns", null);
    assertFalse(r.isOn());
    r.recordAnswer(0, "x", "c", "t", "served", 0, 1);
    r.close();
    assertNull(Recorder.NONE.origin());
  }

  /** 50,000 a second for 10 s are scaled down to as many records in one go: more than the queue holds while the disk stands still. */
  @Test
  void aDiskThatStandsStillHoldsNobodyAndEveryDropIsCounted() throws Exception {
    CountDownLatch stall = new CountDownLatch(1);
    AtomicBoolean stalled = new AtomicBoolean();
    AtomicLong now = new AtomicLong(1_764_580_000_000_000L);
    Recorder r = new Recorder(config(4096, MB, 8 * MB), "process", null, now::incrementAndGet, file -> {
      SegmentWriter.Sink real = SegmentWriter.FILES.open(file);
      return new SegmentWriter.Sink() {
        @Override
        public void write(ByteBuffer b) throws IOException {
          try {
            stalled.set(true);
            stall.await();
          } catch (InterruptedException e) {
            throw new IOException(e);
          }
          real.write(b);
        }

        @Override
        public void force() throws IOException {
          real.force();
        }

        @Override
        public void close() throws IOException {
          real.close();
        }
      };
    });
    await("the writer stands", stalled::get);
    int told = 50_000;
    for (int i = 0; i < told; i++) { // Would never end if it waited.
      r.recordAnswer(i, "id" + i, "c", "t", "served", Entry.SERVED, 1000);
    }
    for (int i = 0; i < told; i++) {
      r.replaced("x"); // Of the greatest worth: these too are only dropped where there is no room at all.
    }
    assertTrue(r.unreportedDrops() > 0);
    stall.countDown();
    r.close();
    List<Entry> all = all();
    Map<String, Long> dropped = new java.util.HashMap<>();
    all.stream().filter(e -> e.kind() == Kind.DROPPED).forEach(e -> dropped.merge(e.word(), e.value(), Long::sum));
    assertEquals(told, count(all, Kind.ANSWERED) + dropped.getOrDefault("answered", 0L));
    assertEquals(told, count(all, Kind.REPLACED) + dropped.getOrDefault("replaced", 0L));
    assertTrue(dropped.get("answered") > 0 && dropped.get("replaced") > 0, dropped.toString());
    assertTrue(count(all, Kind.REPLACED) > 0, "room was kept for what is worth more");
    for (int i = 0; i < all.size(); i++) {
      assertEquals(i + 1, all.get(i).seq(), "numbers have no gaps");
    }
  }

  @Test
  void aFullDiskIsSurvivedAndWhatWasLostIsKnown() throws Exception {
    AtomicBoolean full = new AtomicBoolean();
    AtomicLong now = new AtomicLong(1_764_580_000_000_000L);
    Recorder r = new Recorder(config(1 << 16, MB, 8 * MB), "process", null, now::incrementAndGet, file -> {
      SegmentWriter.Sink real = SegmentWriter.FILES.open(file);
      return new SegmentWriter.Sink() {
        @Override
        public void write(ByteBuffer b) throws IOException {
          if (full.get()) {
            int half = b.remaining() / 2;
            real.write(b.slice(b.position(), half)); // As much as there was room for.
            throw new IOException("no space left on device");
          }
          real.write(b);
        }

        @Override
        public void force() {}

        @Override
        public void close() throws IOException {
          real.close();
        }
      };
    });
    for (int i = 0; i < 1000; i++) {
      r.recordAnswer(i, "a" + i, "c", "t", "served", 0, 1);
    }
    await("in the file", () -> {
      try {
        return count(all(), Kind.ANSWERED) == 1000;
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    });
    full.set(true);
    for (int i = 0; i < 3000; i++) {
      r.recordAnswer(i, "b" + i, "c", "t", "served", 0, 1);
    }
    await("the fault is seen", () -> r.writeError() != null);
    full.set(false);
    await("it writes again", () -> r.writeError() == null);
    r.recordAnswer(1, "last", "c", "t", "served", 0, 1);
    r.close();
    List<Entry> all = all();
    assertTrue(all.stream().anyMatch(e -> "last".equals(e.id())));
    long dropped = all.stream().filter(e -> e.kind() == Kind.DROPPED).mapToLong(Entry::value).sum();
    long missing = 0;
    for (int i = 1; i < all.size(); i++) {
      missing += all.get(i).seq() - all.get(i - 1).seq() - 1;
    }
    assertEquals(4001, count(all, Kind.ANSWERED) + dropped + missing, "each is there, dropped or missing");
    assertTrue(missing + dropped > 0);
  }

  @Test
  void aFolderThatCantBeMadeIsToldAndTheServiceGoesOn() throws Exception {
    Path file = Files.writeString(folder.resolve("taken"), "a file where the folder should be");
    RecordsConfig config = new RecordsConfig(file.resolve("records"), "p", MB, 2 * MB, 10, 1024, RecordsConfig.Sync.SEGMENT);
    Recorder r = Recorder.open(config, "process", null);
    r.recordAnswer(1, "x", "c", "t", "served", 0, 1);
    await("the fault is told", () -> r.writeError() != null);
    assertTrue(r.unreportedDrops() > 0);
    r.close();
  }

  /** The bound holds, the oldest go, and their going is recorded. */
  @Test
  void theOldestSegmentsGo() throws Exception {
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
    assertTrue(archive.bytes() <= 3 * MB + (MB >> 1), "octets " + archive.bytes());
    List<Entry> all = all();
    List<Entry> removed = all.stream().filter(e -> e.kind() == Kind.REMOVED).toList();
    assertFalse(removed.isEmpty());
    assertTrue(removed.stream().allMatch(e -> e.value() > 0 && e.word().endsWith(".rec")), removed.toString());
    assertTrue(all.get(0).seq() > 1, "what went is the oldest");
  }

  /** A kill leaves what is in the file, and no word of an end. */
  @Test
  void aKilledRecorderLeavesWholeBlocksAndNoStop() throws Exception {
    Recorder r = Recorder.open(config(1 << 16, MB, 8 * MB), "process", null);
    for (int i = 0; i < 5000; i++) {
      r.recordAnswer(i, "a" + i, "c", "t", "served", 0, 1);
    }
    await("written", () -> r.written() >= 5000);
    r.kill();
    List<Entry> all = all();
    assertEquals(0, count(all, Kind.STOP));
    assertEquals(1, count(all, Kind.START));
    assertTrue(count(all, Kind.ANSWERED) > 0);
    // The successor under the old name is another life.
    Recorder next = Recorder.open(config(1 << 16, MB, 8 * MB), "process", null);
    next.close();
    assertEquals(2, new Archive(List.of(folder)).incarnations().get("p").size());
  }

  /** A file is read while it grows: whole blocks only, more each time. */
  @Test
  void aFileIsReadWhileItGrows() throws Exception {
    Recorder r = Recorder.open(config(1 << 16, 64 * MB, 128 * MB), "process", null);
    long before = 0;
    for (int round = 1; round <= 5; round++) {
      for (int i = 0; i < 2000; i++) {
        r.recordAnswer(i, "a" + round + "-" + i, "c", "t", "served", 0, 1);
      }
      long want = 2000L * round;
      await("round " + round + " is in the file", () -> {
        try {
          return count(all(), Kind.ANSWERED) == want;
        } catch (IOException e) {
          throw new IllegalStateException(e);
        }
      });
      assertTrue(want > before);
      before = want;
    }
    r.close();
    Map<Kind, Long> kinds = new EnumMap<>(Kind.class);
    all().forEach(e -> kinds.merge(e.kind(), 1L, Long::sum));
    assertEquals(10_000L, kinds.get(Kind.ANSWERED));
    assertEquals(1L, kinds.get(Kind.STOP));
  }
}
