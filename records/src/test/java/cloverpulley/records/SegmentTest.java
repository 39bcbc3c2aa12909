package cloverpulley.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.incident.Entry;
import cloverpulley.incident.Kind;
import cloverpulley.incident.Origin;
import cloverpulley.incident.Query;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Writing and reading of segments. Damage to a file must affect only the blocks that it touches, and must be reported. */
class SegmentTest {

  private static final long SEED = 20261201;
  private static final Origin ORIGIN = new Origin("p 1", 1_764_580_000_000_000L);
  private static final Query.Constraints ALL = new Query.Constraints(Long.MIN_VALUE, Long.MAX_VALUE, Map.of());

  @TempDir
  Path folder;

  static Entry randomEntry(SplittableRandom r, long seq) {
    Kind kind = Kind.values()[r.nextInt(Kind.values().length)];
    return new Entry(ORIGIN, seq, ORIGIN.start() + seq * 1000 + r.nextInt(500), kind, r.nextInt(3) == 0 ? 0 : seq / 4 + 1,
        r.nextInt(3) == 0 ? null : "req-" + seq / 4, r.nextInt(4) == 0 ? null : "class" + r.nextInt(4),
        r.nextInt(4) == 0 ? null : "tenant" + r.nextInt(8), r.nextInt(3) == 0 ? 0 : r.nextLong(), r.nextInt(4),
        r.nextInt(3) == 0 ? 0 : r.nextInt(5) + 1L, r.nextInt(3) == 0 ? null : "s" + r.nextInt(5),
        r.nextInt(3) == 0 ? null : "w\u0000é" + r.nextInt(3), r.nextInt(3) == 0 ? 0 : r.nextLong(), r.nextInt(3) == 0 ? 0 : -r.nextInt(99));
  }

  private Path write(int count, boolean finish, List<Entry> into) throws IOException {
    Path file = folder.resolve(SegmentWriter.fileName(ORIGIN, into.hashCode() & 0xFFFF));
    SplittableRandom r = new SplittableRandom(SEED);
    try (SegmentWriter w = new SegmentWriter(SegmentWriter.FILES, file, ORIGIN, "process")) {
      for (int i = 1; i <= count; i++) {
        Entry e = randomEntry(r, i);
        into.add(e);
        w.add(e);
      }
      if (finish) {
        w.finish();
      } else {
        w.flush();
      }
    }
    return file;
  }

  private static List<Entry> read(Path file, int[] corruptBlocks, long[] truncatedBytes) throws IOException {
    List<Entry> entries = new ArrayList<>();
    try (SegmentReader r = new SegmentReader(file)) {
      assertEquals(ORIGIN, r.origin());
      r.read(ALL, 0, true, entries::add);
      corruptBlocks[0] = r.damage().corruptBlocks();
      truncatedBytes[0] = r.damage().truncatedBytes();
    }
    return entries;
  }

  @Test
  void readsWhatWasWrittenWithAndWithoutAnIndex() throws IOException {
    for (boolean finish : new boolean[] {true, false}) {
      List<Entry> written = new ArrayList<>();
      Path file = write(20_000, finish, written);
      assertEquals(written, read(file, new int[1], new long[1]));
      Files.delete(file);
    }
  }

  /** Queries that use the index find the same records as a scan and read fewer blocks. */
  @Test
  void indexFindsAllThatAScanFinds() throws IOException {
    List<Entry> written = new ArrayList<>();
    write(40_000, true, written);
    Archive archive = new Archive(List.of(folder));
    for (String q : List.of("request=req-17", "request=none", "tenant=tenant3 and kind=sent", "server=s1", "upstream=2 and word~w",
        "at>=1764580010 and at<1764580012", "kind=dropped and class=class1", "class=missing", "")) {
      List<Entry> scanned = new ArrayList<>();
      List<Entry> found = new ArrayList<>();
      Archive.Read all = archive.scan(Query.of(q), scanned::add);
      Archive.Read some = archive.read(Query.of(q), found::add, n -> { });
      assertEquals(scanned, found, q);
      assertEquals(written.stream().filter(Query.of(q)::test).toList(), found, q);
      assertTrue(some.blocks() <= all.blocks(), q);
    }
    int indexedBlocks = archive.read(Query.of("request=req-17"), e -> { }, n -> { }).blocks();
    int scannedBlocks = archive.scan(Query.of(""), e -> { }).blocks();
    assertTrue(indexedBlocks * 5 <= scannedBlocks,
        "a request ID is in one or two blocks, plus false positives of the filters: " + indexedBlocks + " of " + scannedBlocks);
    assertEquals(0, archive.read(Query.of("class=missing"), e -> { }, n -> { }).blocks());
  }

  /** A file truncated at any byte: the complete blocks before it are read, and nothing of the rest. */
  @Test
  void truncatedFileYieldsItsCompleteBlocks() throws IOException {
    List<Entry> written = new ArrayList<>();
    Path file = write(9000, true, written);
    byte[] all = Files.readAllBytes(file);
    SplittableRandom r = new SplittableRandom(SEED);
    int before = -1;
    List<Integer> lengths = new ArrayList<>();
    for (int i = 0; i < 150; i++) {
      lengths.add(r.nextInt(all.length));
    }
    for (int i = 0; i < 60; i++) {
      lengths.add(all.length - 1 - i); // Through the trailer and into the index.
    }
    lengths.sort(null);
    Path truncated = folder.resolve("truncated" + SegmentWriter.SUFFIX);
    for (int length : lengths) {
      Files.write(truncated, Arrays.copyOf(all, length));
      List<Entry> entries;
      try {
        entries = read(truncated, new int[1], new long[1]);
      } catch (CorruptSegmentException e) {
        assertTrue(length < 200, "rejected only without a complete header: " + length);
        continue;
      }
      assertEquals(written.subList(0, entries.size()), entries, "truncated at " + length);
      assertTrue(entries.size() >= before, "truncated at " + length);
      before = entries.size();
    }
    assertEquals(written.size(), before, "all records precede the index");
  }

  @Test
  void corruptBlockAffectsNoOtherBlock() throws IOException {
    List<Entry> written = new ArrayList<>();
    Path file = write(20_000, true, written);
    byte[] all = Files.readAllBytes(file);
    SplittableRandom r = new SplittableRandom(SEED);
    for (int round = 0; round < 60; round++) {
      byte[] corrupt = all.clone();
      for (int n = r.nextInt(8) + 1, offset = 200 + r.nextInt(all.length - 300); n > 0 && offset + n < corrupt.length; n--) {
        corrupt[offset + n] ^= (byte) (1 + r.nextInt(255));
      }
      for (boolean indexed : new boolean[] {true, false}) {
        Files.write(file, indexed ? corrupt : Arrays.copyOf(corrupt, corrupt.length - SegmentWriter.TRAILER_SIZE));
        List<Entry> entries = new ArrayList<>();
        try (SegmentReader s = new SegmentReader(file)) {
          s.read(ALL, 0, true, entries::add);
          boolean lost = entries.size() < written.size();
          assertTrue(!lost || s.damage().corruptBlocks() + s.damage().truncatedBytes() > 0, "seed " + SEED + ", round " + round);
          assertTrue(s.damage().corruptBlocks() <= 2, "at most two, at a block boundary: " + s.damage());
        }
        assertTrue(written.containsAll(entries.subList(0, Math.min(50, entries.size()))), "only records that were written");
        assertTrue(entries.size() > written.size() / 2, "round " + round + ": " + entries.size());
      }
    }
  }

  @Test
  void skipsAndReportsUnsupportedVersionsAndOtherFiles() throws IOException {
    List<Entry> written = new ArrayList<>();
    Path file = write(100, true, written);
    byte[] newer = Files.readAllBytes(file);
    newer[7] = 2;
    Files.write(folder.resolve("b" + SegmentWriter.SUFFIX), newer);
    Files.write(folder.resolve("c" + SegmentWriter.SUFFIX), new byte[3]);
    Files.write(folder.resolve("d" + SegmentWriter.SUFFIX), "not a segment at all".getBytes());
    Archive archive = new Archive(List.of(folder));
    Archive.Read read = archive.readAll(e -> { }, n -> { });
    assertEquals(100, read.records());
    assertEquals(3, read.unread().size());
    assertTrue(read.unread().get(0).problem().contains("version 2"), read.unread().toString());
  }

  /** For arbitrary bytes the reader terminates and returns nothing but records that were written. */
  @Test
  void readerHandlesRandomBytes() throws IOException {
    SplittableRandom r = new SplittableRandom(SEED);
    List<Entry> written = new ArrayList<>();
    byte[] good = Files.readAllBytes(write(300, true, written));
    Path file = folder.resolve("x" + SegmentWriter.SUFFIX);
    for (int i = 0; i < 2000; i++) {
      byte[] b = r.nextBoolean() ? good.clone() : new byte[r.nextInt(2000)];
      for (int n = r.nextInt(40); n > 0 && b.length > 0; n--) {
        b[r.nextInt(b.length)] = (byte) r.nextInt(256);
      }
      Files.write(file, b);
      try (SegmentReader s = new SegmentReader(file)) {
        s.read(ALL, 0, true, e -> assertTrue(written.contains(e)));
      } catch (CorruptSegmentException e) {
        assertTrue(e.getMessage().length() > 3);
      }
    }
    // The row decoder alone, which a checksum usually protects.
    for (int i = 0; i < 20_000; i++) {
      byte[] b = new byte[r.nextInt(64)];
      for (int n = 0; n < b.length; n++) {
        b[n] = (byte) r.nextInt(256);
      }
      try {
        Rows.read(ORIGIN, 1, r.nextInt(20), b, b.length, e -> { });
      } catch (CorruptSegmentException e) {
        assertTrue(e.getMessage().length() > 3);
      }
    }
    assertThrows(CorruptSegmentException.class, () -> new VarintBuffer(new byte[] {-1, -1, -1, -1, -1, -1, -1, -1, -1, -1, 1}, 11).readVarint());
  }
}
