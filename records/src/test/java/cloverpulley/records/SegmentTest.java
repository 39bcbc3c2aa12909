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

/** Segments: what is written is read again, and whatever becomes of the file costs what it touches and is told. */
class SegmentTest {

  private static final long SEED = 20261201;
  private static final Origin ORIGIN = new Origin("p 1", 1_764_580_000_000_000L);
  private static final Query.Constraints ALL = new Query.Constraints(Long.MIN_VALUE, Long.MAX_VALUE, Map.of());

  @TempDir
  Path folder;

  static Entry random(SplittableRandom r, long seq) {
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
        Entry e = random(r, i);
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

  private static List<Entry> read(Path file, int[] spoilt, long[] torn) throws IOException {
    List<Entry> got = new ArrayList<>();
    try (SegmentReader r = new SegmentReader(file)) {
      assertEquals(ORIGIN, r.origin());
      r.read(ALL, 0, true, got::add);
      spoilt[0] = r.damage().corruptBlocks();
      torn[0] = r.damage().truncatedBytes();
    }
    return got;
  }

  @Test
  void whatIsWrittenIsReadWithAndWithoutAnIndex() throws IOException {
    for (boolean finish : new boolean[] {true, false}) {
      List<Entry> put = new ArrayList<>();
      Path file = write(20_000, finish, put);
      assertEquals(put, read(file, new int[1], new long[1]));
      Files.delete(file);
    }
  }

  /** Questions by index find what a plain scan finds, and read fewer blocks. */
  @Test
  void theIndexFindsAllThatAScanFinds() throws IOException {
    List<Entry> put = new ArrayList<>();
    write(40_000, true, put);
    Archive archive = new Archive(List.of(folder));
    for (String q : List.of("request=req-17", "request=none", "tenant=tenant3 and kind=sent", "server=s1", "upstream=2 and word~w",
        "at>=1764580010 and at<1764580012", "kind=dropped and class=class1", "class=missing", "")) {
      List<Entry> scanned = new ArrayList<>();
      List<Entry> found = new ArrayList<>();
      Archive.Read all = archive.scan(Query.of(q), scanned::add);
      Archive.Read some = archive.read(Query.of(q), found::add, n -> { });
      assertEquals(scanned, found, q);
      assertEquals(put.stream().filter(Query.of(q)::test).toList(), found, q);
      assertTrue(some.blocks() <= all.blocks(), q);
    }
    int named = archive.read(Query.of("request=req-17"), e -> { }, n -> { }).blocks();
    int whole = archive.scan(Query.of(""), e -> { }).blocks();
    assertTrue(named * 5 <= whole, "a name is in one block or two, and in some filters by chance: " + named + " of " + whole);
    assertEquals(0, archive.read(Query.of("class=missing"), e -> { }, n -> { }).blocks());
  }

  /** A write that ended at any octet: what was whole before it is read, and the rest is told as cut off. */
  @Test
  void aFileCutAtAnyPointGivesItsWholeBlocks() throws IOException {
    List<Entry> put = new ArrayList<>();
    Path file = write(9000, true, put);
    byte[] all = Files.readAllBytes(file);
    SplittableRandom r = new SplittableRandom(SEED);
    int before = -1;
    List<Integer> cuts = new ArrayList<>();
    for (int i = 0; i < 150; i++) {
      cuts.add(r.nextInt(all.length));
    }
    for (int i = 0; i < 60; i++) {
      cuts.add(all.length - 1 - i); // Through the trailer and into the index.
    }
    cuts.sort(null);
    Path cut = folder.resolve("cut" + SegmentWriter.SUFFIX);
    for (int at : cuts) {
      Files.write(cut, Arrays.copyOf(all, at));
      List<Entry> got;
      try {
        got = read(cut, new int[1], new long[1]);
      } catch (CorruptSegmentException e) {
        assertTrue(at < 200, "only without its header is it no segment: " + at);
        continue;
      }
      assertEquals(put.subList(0, got.size()), got, "cut at " + at);
      assertTrue(got.size() >= before, "cut at " + at);
      before = got.size();
    }
    assertEquals(put.size(), before, "all records stand before the index");
  }

  @Test
  void aSpoiltBlockInTheMiddleCostsItselfAlone() throws IOException {
    List<Entry> put = new ArrayList<>();
    Path file = write(20_000, true, put);
    byte[] all = Files.readAllBytes(file);
    SplittableRandom r = new SplittableRandom(SEED);
    for (int round = 0; round < 60; round++) {
      byte[] spoilt = all.clone();
      for (int n = r.nextInt(8) + 1, at = 200 + r.nextInt(all.length - 300); n > 0 && at + n < spoilt.length; n--) {
        spoilt[at + n] ^= (byte) (1 + r.nextInt(255));
      }
      for (boolean indexed : new boolean[] {true, false}) {
        Files.write(file, indexed ? spoilt : Arrays.copyOf(spoilt, spoilt.length - SegmentWriter.TRAILER_SIZE));
        List<Entry> got = new ArrayList<>();
        try (SegmentReader s = new SegmentReader(file)) {
          s.read(ALL, 0, true, got::add);
          boolean lost = got.size() < put.size();
          assertTrue(!lost || s.damage().corruptBlocks() + s.damage().truncatedBytes() > 0, "seed " + SEED + ", round " + round);
          assertTrue(s.damage().corruptBlocks() <= 2, "two at an edge: " + s.damage());
        }
        assertTrue(put.containsAll(got.subList(0, Math.min(50, got.size()))), "nothing that was not written");
        assertTrue(got.size() > put.size() / 2, "round " + round + ": " + got.size());
      }
    }
  }

  @Test
  void otherVersionsAndOtherFilesAreNamedAndPassedOver() throws IOException {
    List<Entry> put = new ArrayList<>();
    Path file = write(100, true, put);
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

  /** Whatever octets there are: a reader ends, and gives nothing or what was written. */
  @Test
  void randomOctetsNeverBreakAReader() throws IOException {
    SplittableRandom r = new SplittableRandom(SEED);
    List<Entry> put = new ArrayList<>();
    byte[] good = Files.readAllBytes(write(300, true, put));
    Path file = folder.resolve("x" + SegmentWriter.SUFFIX);
    for (int i = 0; i < 2000; i++) {
      byte[] b = r.nextBoolean() ? good.clone() : new byte[r.nextInt(2000)];
      for (int n = r.nextInt(40); n > 0 && b.length > 0; n--) {
        b[r.nextInt(b.length)] = (byte) r.nextInt(256);
      }
      Files.write(file, b);
      try (SegmentReader s = new SegmentReader(file)) {
        s.read(ALL, 0, true, e -> assertTrue(put.contains(e)));
      } catch (CorruptSegmentException e) {
        assertTrue(e.getMessage().length() > 3);
      }
    }
    // And the rows themselves, past any checksum.
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
