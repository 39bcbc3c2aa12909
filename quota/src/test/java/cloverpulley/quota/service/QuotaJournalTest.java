package cloverpulley.quota.service;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.quota.Quotas.NodeSnapshot;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Recovery of the journal after truncation, corruption and disk errors, compared with the states that were completely written. */
class QuotaJournalTest {

  private static final long SEED = 20261201;
  private static final String INSTALLATION = "[requests in 1000 ms]";

  @TempDir
  Path directory;

  private final List<Map<String, Double>> expected = new ArrayList<>();
  private final List<Long> frameEnds = new ArrayList<>();

  private static NodeSnapshot snapshot(String path, double used) {
    return new NodeSnapshot(path, new double[] {used}, new double[] {0}, new double[] {used / 2}, new double[] {0});
  }

  private Path write(int frames) throws IOException {
    Path file = directory.resolve("q.journal");
    SplittableRandom r = new SplittableRandom(SEED);
    Map<String, Double> state = new HashMap<>();
    try (QuotaJournal j = new QuotaJournal(file, INSTALLATION, Long.MAX_VALUE, false)) {
      j.open();
      expected.add(Map.of());
      frameEnds.add(j.size());
      for (int i = 0; i < frames; i++) {
        List<NodeSnapshot> batch = new ArrayList<>();
        for (int n = 1 + r.nextInt(5); n > 0; n--) {
          String path = "n" + r.nextInt(20);
          float used = r.nextInt(1000);
          state.put(path, (double) used);
          batch.removeIf(k -> k.path().equals(path));
          batch.add(snapshot(path, used));
        }
        j.append(1000 + i, batch);
        expected.add(new HashMap<>(state));
        frameEnds.add(j.size());
      }
    }
    return file;
  }

  private static Map<String, Double> read(Path file, QuotaJournal.Recovery[] recovery) throws IOException {
    Map<String, Double> recovered = new HashMap<>();
    try (QuotaJournal j = new QuotaJournal(file, INSTALLATION, Long.MAX_VALUE, false)) {
      recovery[0] = j.open();
      recovery[0].snapshots().forEach(t -> recovered.put(t.snapshot().path(), t.snapshot().used()[0]));
    }
    return recovered;
  }

  /** SIGKILL at each byte of a write: complete frames are recovered, a truncated one is cut off, and writing continues behind them. */
  @Test
  void recoversTheLastCompleteStateWhereverAWriteIsCut() throws IOException {
    Path file = write(30);
    byte[] all = Files.readAllBytes(file);
    Path cut = directory.resolve("cut");
    QuotaJournal.Recovery[] r = new QuotaJournal.Recovery[1];
    for (int at = 0; at <= all.length; at++) {
      Files.write(cut, Arrays.copyOf(all, at));
      int complete = 0;
      while (complete + 1 < frameEnds.size() && frameEnds.get(complete + 1) <= at) {
        complete++;
      }
      assertEquals(expected.get(complete), read(cut, r), "cut at " + at);
      assertEquals(0, r[0].corruptFrames(), "a truncated frame is not corrupt: " + at);
      assertEquals(Math.max(frameEnds.get(0), frameEnds.get(complete)), Files.size(cut), "cut at " + at);
    }
    try (QuotaJournal j = new QuotaJournal(cut, INSTALLATION, Long.MAX_VALUE, false)) {
      j.open();
      j.append(5000, List.of(snapshot("later", 7)));
    }
    assertEquals(7.0, read(cut, r).get("later"));
  }

  @Test
  void corruptFrameIsSkippedAndCounted() throws IOException {
    Path file = write(40);
    byte[] all = Files.readAllBytes(file);
    SplittableRandom random = new SplittableRandom(SEED);
    QuotaJournal.Recovery[] r = new QuotaJournal.Recovery[1];
    Path corrupt = directory.resolve("corrupt");
    for (int round = 0; round < 200; round++) {
      byte[] b = all.clone();
      int frame = random.nextInt(38);
      int from = (int) (long) frameEnds.get(frame);
      int at = from + random.nextInt((int) (frameEnds.get(frame + 1) - from));
      b[at] ^= (byte) (1 + random.nextInt(255));
      Files.write(corrupt, b);
      Map<String, Double> recovered = read(corrupt, r);
      assertEquals(39, r[0].frames(), "round " + round + " at " + at);
      assertEquals(1, r[0].corruptFrames(), "round " + round + " at " + at);
      assertTrue(recovered.keySet().containsAll(expected.get(frame).keySet()));
    }
  }

  @Test
  void fileOfAnotherInstallationIsRejectedAndUnchanged() throws IOException {
    Path file = write(3);
    byte[] before = Files.readAllBytes(file);
    QuotaJournal other = new QuotaJournal(file, "[work in 1000 ms]xxx", Long.MAX_VALUE, false);
    assertTrue(assertThrows(IOException.class, other::open).getMessage().contains("not a quota journal of this installation"));
    Path text = Files.writeString(directory.resolve("text"), "a file of another kind that is longer than the header of a quota journal");
    assertThrows(IOException.class, () -> new QuotaJournal(text, INSTALLATION, 100, false).open());
    assertArrayEquals(before, Files.readAllBytes(file));
  }

  @Test
  void compactionBoundsTheSizeAndKeepsTheState() throws IOException {
    Path file = directory.resolve("q.journal");
    QuotaJournal.Recovery[] r = new QuotaJournal.Recovery[1];
    try (QuotaJournal j = new QuotaJournal(file, INSTALLATION, 20_000, false)) {
      j.open();
      for (int i = 0; i < 5000; i++) {
        j.append(1_000_000 + i, List.of(snapshot("n" + i % 50, i)));
        assertTrue(j.size() <= 20_100, "size " + j.size());
      }
    }
    Map<String, Double> recovered = read(file, r);
    assertEquals(50, recovered.size());
    for (int i = 0; i < 50; i++) {
      assertEquals(4950.0 + i, recovered.get("n" + i));
    }
    assertEquals(1_000_000 + 4999, r[0].snapshots().stream().mapToLong(QuotaJournal.TimestampedSnapshot::unixMillis).max().orElse(0));
  }

  /** Compaction drops snapshots that are older than an hour. */
  @Test
  void compactionDropsExpiredSnapshots() throws IOException {
    Path file = directory.resolve("q.journal");
    try (QuotaJournal j = new QuotaJournal(file, INSTALLATION, 5000, false)) {
      j.open();
      j.append(1000, List.of(snapshot("old", 1)));
      for (int i = 0; i < 200; i++) {
        j.append(5_000_000 + i, List.of(snapshot("new", i)));
      }
    }
    assertEquals(Map.of("new", 199.0), read(file, new QuotaJournal.Recovery[1]));
  }

  /** The disk is full when a compaction opens its new file: the failure is reported and the old file stays in use and readable. */
  @Test
  void fullDiskLosesNoCompleteFrame() throws IOException {
    Path file = directory.resolve("q.journal");
    QuotaJournal.FileOpener failingOpener = new QuotaJournal.FileOpener() {
      private int opened;

      @Override
      public FileChannel open(Path f) throws IOException {
        if (opened++ > 0 && f.toString().endsWith(".part")) {
          throw new IOException("no space left on device");
        }
        return FileChannel.open(f, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.READ);
      }
    };
    QuotaJournal j = new QuotaJournal(file, INSTALLATION, 2000, false, failingOpener);
    j.open();
    int failed = 0;
    for (int i = 0; i < 100; i++) {
      try {
        j.append(1000 + i, List.of(snapshot("n" + i % 5, i)));
      } catch (IOException e) {
        failed++;
      }
    }
    j.close();
    assertTrue(failed > 0, "the failure is reported");
    Map<String, Double> recovered = read(file, new QuotaJournal.Recovery[1]);
    assertEquals(99.0, recovered.get("n4"));
  }

  @Test
  void randomCorruptionIsHandled() throws IOException {
    byte[] good = Files.readAllBytes(write(10));
    SplittableRandom random = new SplittableRandom(SEED);
    Path file = directory.resolve("x");
    for (int i = 0; i < 500; i++) {
      byte[] b = good.clone();
      for (int n = random.nextInt(30); n > 0; n--) {
        b[random.nextInt(b.length)] = (byte) random.nextInt(256);
      }
      Files.write(file, b);
      try {
        read(file, new QuotaJournal.Recovery[1]).forEach((k, v) -> assertTrue(k.matches("n\\d+"), k));
      } catch (IOException e) {
        assertTrue(e.getMessage().contains("not a quota journal"), e.getMessage());
      }
    }
  }
}
