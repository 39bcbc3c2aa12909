package cloverpulley.bench;

import cloverpulley.quota.Dimension;
import cloverpulley.quota.Lane;
import cloverpulley.quota.QuotaPlan;
import cloverpulley.quota.Quotas;
import cloverpulley.quota.service.QuotaJournal;
import com.sun.management.ThreadMXBean;
import io.github.bucket4j.Bucket;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * What a decision costs at depth 4 beside a single token bucket of a well-kept library (Bucket4j), by turns in one run, with 10, 1,000 and
 * 100,000 active leaves; what it allocates; the shares of a month end on a virtual clock; a journal of a million entries read again.
 */
public final class QuotaBench {

  private static final long SEED = 20261201;
  private static final long SECOND = 1_000_000_000L;
  private static final int[] LEAVES = {10, 1000, 100_000};
  private static final int DECISIONS = 2_000_000;

  private QuotaBench() {}

  /** {@code --rounds N}. */
  public static void main(String[] args) throws IOException {
    List<String> given = Arrays.asList(args);
    int at = given.indexOf("--rounds");
    int rounds = at < 0 ? 7 : Integer.parseInt(given.get(at + 1));
    System.out.println("seed " + SEED + ", " + rounds + " rounds of " + DECISIONS + " decisions");
    List<Double> bucket = new ArrayList<>();
    List<List<Double>> trees = new ArrayList<>();
    Tree[] made = new Tree[LEAVES.length];
    for (int i = 0; i < LEAVES.length; i++) {
      trees.add(new ArrayList<>());
      made[i] = new Tree(LEAVES[i]);
    }
    double allocated = 0;
    for (int round = -2; round < rounds; round++) { // Two to warm up.
      double b = bucket();
      if (round >= 0) {
        bucket.add(b);
      }
      for (int i = 0; i < LEAVES.length; i++) {
        long before = allocatedBytes();
        double t = made[i].play();
        allocated = (allocatedBytes() - before) / (double) DECISIONS;
        if (round >= 0) {
          trees.get(i).add(t);
        }
      }
    }
    for (int i = 0; i < LEAVES.length; i++) {
      System.out.printf(Locale.ROOT, "%7d leaves: %6.1f ns a decision (%d nodes kept); one bucket %.1f ns%n", LEAVES[i],
          median(trees.get(i)), made[i].quotas.nodeCount(), median(bucket));
    }
    double[] month = monthEnd();
    double recovery = recovery();
    System.out.println(ChildProcess.json("cost_ratio", ChildProcess.figure(median(trees.get(1)) / median(bucket)), "growth",
        ChildProcess.figure(median(trees.get(2)) / median(trees.get(0))), "decisions_per_s", ChildProcess.figure(1e9 / median(trees.get(1))),
        "bytes_per_decision", ChildProcess.figure(allocated), "worst_share", ChildProcess.figure(month[0]), "utilisation", ChildProcess.figure(month[1]),
        "lent_back_ms", ChildProcess.figure(month[2]), "recovery_s", ChildProcess.figure(recovery)));
  }

  private static long allocatedBytes() {
    return ((ThreadMXBean) ManagementFactory.getThreadMXBean()).getThreadAllocatedBytes(Thread.currentThread().getId());
  }

  private static double median(List<Double> values) {
    return values.stream().sorted().toList().get(values.size() / 2);
  }

  private static double bucket() {
    Bucket b = Bucket.builder().addLimit(l -> l.capacity(1_000_000).refillGreedy(1_000_000, Duration.ofSeconds(1))).build();
    long start = System.nanoTime();
    long passed = 0;
    for (int i = 0; i < DECISIONS; i++) {
      passed += b.tryConsume(1) ? 1 : 0;
    }
    double took = (System.nanoTime() - start) / (double) DECISIONS;
    if (passed == 0) {
      throw new IllegalStateException("nothing passed");
    }
    return took;
  }

  /** Organisation, partners, groups and teams: half of the requests are their node's own, half are lent or refused. */
  private static final class Tree {
    final Quotas quotas;
    final String[] paths;
    final int[] order = new int[1 << 16];
    final double[] cost = {1};
    long now = SECOND;

    Tree(int leaves) {
      double total = 1_000_000;
      QuotaPlan.Builder plan = new QuotaPlan.Builder(List.of(new Lane(Dimension.REQUESTS, SECOND)), new double[] {total});
      int partners = leaves >= 1000 ? 10 : 2;
      int groups = leaves >= 1000 ? 10 : 1;
      int teams = leaves / partners / groups;
      paths = new String[partners * groups * teams];
      int n = 0;
      plan.node("org", 1, new double[] {total}, null, null);
      for (int p = 0; p < partners; p++) {
        String partner = "org/p" + p;
        plan.node(partner, 1 + p, new double[] {total / partners}, null, null);
        for (int g = 0; g < groups; g++) {
          String group = partner + "/g" + g;
          plan.node(group, 1, new double[] {total / partners / groups}, null, new QuotaPlan.ChildTemplate(1, 1.0 / teams, null));
          for (int t = 0; t < teams; t++) {
            paths[n++] = group + "/t" + t;
          }
        }
      }
      quotas = new Quotas(plan.build(), leaves + 1, now);
      SplittableRandom r = new SplittableRandom(SEED);
      for (int i = 0; i < order.length; i++) {
        order[i] = r.nextInt(paths.length);
      }
      for (String p : paths) {
        quotas.tryAcquire(now, p, cost); // All are there before anything counts.
      }
    }

    double play() {
      long start = System.nanoTime();
      long given = 0;
      for (int i = 0; i < DECISIONS; i++) {
        now += 500; // Two million a second, twice what there is.
        String path = paths[(order[i & order.length - 1] + i) % paths.length];
        long grant = quotas.tryAcquire(now, path, cost);
        if (!Quotas.isRejected(grant)) {
          given++;
          quotas.release(now, path, grant);
        }
      }
      if (given < DECISIONS / 4) {
        throw new IllegalStateException("given " + given);
      }
      return (System.nanoTime() - start) / (double) DECISIONS;
    }
  }

  /**
   * Ten minutes of three partners on a virtual clock: one never goes quiet, one comes and goes, one is modest. The worst part of a due
   * share in any second of demand, use while there is demand, and the longest time in milliseconds from a lender's return until it has had
   * 97 % of its guarantee's pace.
   */
  private static double[] monthEnd() {
    QuotaPlan plan = new QuotaPlan.Builder(List.of(new Lane(Dimension.REQUESTS, SECOND)), new double[] {3000})
        .node("steppe-auto", 48, new double[] {1440}, null, null).node("agro-tehnika", 35, new double[] {1050}, null, null)
        .node("kaspi-trucks", 17, new double[] {510}, null, null).build();
    String[] names = {"steppe-auto", "agro-tehnika", "kaspi-trucks"};
    double[] guarantee = {1440, 1050, 510};
    Quotas q = new Quotas(plan, 10, SECOND);
    SplittableRandom r = new SplittableRandom(SEED);
    int slots = 6000;
    double[][] asked = new double[3][slots];
    double[][] given = new double[3][slots];
    double[] rates = {0, 15_000, 300};
    double sum = 20_000;
    for (double t = 0; t < 600;) {
      t += -Math.log(1 - r.nextDouble()) / sum;
      int slot = (int) (t * 10);
      rates[0] = (int) (t / 31) % 2 == 1 ? 4000 : 0;
      double pick = r.nextDouble() * sum;
      for (int i = 0; i < 3 && slot < slots; i++) {
        pick -= rates[i];
        if (pick < 0) {
          asked[i][slot]++;
          long grant = q.tryAcquire(SECOND + (long) (t * SECOND), names[i], new double[] {1});
          if (!Quotas.isRejected(grant)) {
            given[i][slot]++;
            q.release(SECOND + (long) (t * SECOND), names[i], grant);
          }
          break;
        }
      }
    }
    double worst = 1;
    for (int i = 0; i < 3; i++) {
      for (int s = 10; s + 10 <= slots; s++) {
        double due = 0;
        double had = 0;
        for (int k = s; k < s + 10; k++) {
          due += Math.min(asked[i][k], guarantee[i] / 10);
          had += given[i][k];
        }
        worst = due >= 50 && due >= guarantee[i] / 4 ? Math.min(worst, had / due) : worst;
      }
    }
    double used = 0;
    double back = 0;
    for (int s = 100; s < slots; s++) {
      used += given[0][s] + given[1][s] + given[2][s];
    }
    for (int from = 310; from < slots - 10; from += 620) {
      double had = 0;
      int s = from;
      do {
        had = given[0][s++];
      } while (had < 0.97 * guarantee[0] / 10 && s < slots);
      back = Math.max(back, (s - from) * 100.0);
    }
    return new double[] {worst, used / ((slots - 100) / 10.0) / 3000, back};
  }

  private static double recovery() throws IOException {
    Path folder = Files.createTempDirectory("ashdeck-quota-bench");
    Path file = folder.resolve("q.journal");
    QuotaPlan plan = new QuotaPlan.Builder(List.of(new Lane(Dimension.REQUESTS, 600 * SECOND)), new double[] {1e9})
        .node("p", 1, new double[] {1e9}, null, new QuotaPlan.ChildTemplate(1, 1e-6, null)).build();
    long millis = System.currentTimeMillis();
    try (QuotaJournal j = new QuotaJournal(file, "bench", Long.MAX_VALUE, false)) {
      j.open();
      for (int i = 0; i < 1000; i++) {
        List<Quotas.NodeSnapshot> batch = new ArrayList<>();
        for (int k = 0; k < 1000; k++) {
          batch.add(new Quotas.NodeSnapshot("p/t" + (i * 1000 + k) % 200_000, new double[] {k}, new double[1], new double[1], new double[1]));
        }
        j.append(millis, batch);
      }
    }
    long start = System.nanoTime();
    Quotas q = new Quotas(plan, 1_000_000, SECOND);
    try (QuotaJournal j = new QuotaJournal(file, "bench", Long.MAX_VALUE, false)) {
      for (QuotaJournal.TimestampedSnapshot t : j.open().snapshots()) {
        q.restore(SECOND, 0, List.of(t.snapshot()));
      }
    }
    double took = (System.nanoTime() - start) / 1e9;
    System.out.printf(Locale.ROOT, "journal of 1,000,000 entries, %d octets, %d nodes: %.2f s%n", Files.size(file), q.nodeCount(), took);
    Files.delete(file);
    Files.delete(folder);
    return took;
  }
}
