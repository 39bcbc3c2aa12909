package cloverpulley.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.incident.Entry;
import cloverpulley.incident.Kind;
import cloverpulley.incident.Origin;
import cloverpulley.load.Driver.Outcome;
import cloverpulley.records.Archive;
import cloverpulley.records.Recorder;
import cloverpulley.records.RecordsConfig;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ArchiveTraceTest {

  private static final long T = 1_764_580_000_000_000L;

  @TempDir
  Path folder;

  private static Entry entry(Recorder r, Kind kind, long at, String id, long key, String word, long value, long other) {
    return new Entry(new Origin("x", 0), 0, at, kind, 1, id, "quote", "steppe", key, 0, 0, null, word, value, other);
  }

  /** The records of two instances interleave in time, so they are in order only after they have been merged. */
  @Test
  void answersBecomeRequestsInOrderOfArrival() throws Exception {
    for (String instance : List.of("p1", "p2")) {
      Recorder r = Recorder.open(RecordsConfig.of(folder.resolve(instance), instance), "process", null);
      long off = instance.equals("p2") ? 500 : 0;
      for (int i = 0; i < 100; i++) {
        String id = instance + "-" + i;
        r.record(entry(r, Kind.TAKEN, T + i * 1000 + off, id, 77 + i, null, 2_000_000, 12_000));
        // Answers come out of order: every other one takes long.
        r.record(entry(r, Kind.ANSWERED, T + i * 1000 + off + (i % 2 == 0 ? 5000 : 100), id, 0, i % 10 == 0 ? "over_rate" : "served",
            i % 2 == 0 ? 5000 : 100, i % 10 == 0 ? Entry.REFUSED : Entry.SERVED));
      }
      r.record(entry(r, Kind.ANSWERED, T + 200_000 + off, null, 0, "served", 10, Entry.SERVED)); // From a cache.
      r.recordCall("c" + instance, "quote", "steppe", Entry.SERVED, 1000); // Recorded by a caller: the server's own record of it counts instead.
      r.close();
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ArchiveTrace.Summary summary = ArchiveTrace.convert(new Archive(List.of(folder)), out);
    assertEquals(new ArchiveTrace.Summary(202, 2, 0, 0), summary);
    List<Trace.Entry> all = new ArrayList<>();
    try (Trace.Reader reader = new Trace.Reader(new ByteArrayInputStream(out.toByteArray()))) {
      for (Trace.Entry e = reader.next(); e != null; e = reader.next()) {
        all.add(e);
      }
      assertNull(reader.damage());
    }
    assertEquals(202, all.size());
    for (int i = 0; i < 200; i++) {
      assertEquals(i * 500L, all.get(i).atMicros(), "" + i);
      assertEquals(77 + i / 2, all.get(i).keyHash());
      assertEquals(12_000, all.get(i).hintMicros());
      assertEquals(i / 2 % 10 == 0 ? Outcome.REFUSED : Outcome.SERVED, all.get(i).outcome());
    }
    assertTrue(all.get(201).atMicros() > all.get(199).atMicros());
  }
}
