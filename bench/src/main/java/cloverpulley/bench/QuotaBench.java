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
 * Compares the cost of a decision at depth 4 with a single token bucket of a well-maintained library (Bucket4j), alternately in one run, with
 * 10, 1,000 and 100,000 active leaves; measures its allocation, the shares at a month end on a virtual clock, and the time to restore a journal
 * of a million entries.
 */
public final class QuotaBench {

  private static final long SEED = 20261201;
  private static final long SECOND = 1_000_000_000L;
  private static final int[] LEAVES = {10, 1000, 100_000};
  private static final int DECISIONS = 2_000_000;

  private QuotaBench() {}

  /** {@code --rounds N}. */
  public static void main(String[] args) throws IOException {
    List<String> arguments = Arrays.asList(args);
    int at = arguments.indexOf("--rounds");
    int rounds = at < 0 ? 7 : Integer.parseInt(arguments.get(at + 1));
    System.out.println("seed " + SEED + ", " + rounds + " rounds of " + DECISIONS + " decisions");
    List<Double> bucket = new ArrayList<>();
    List<List<Double>> treeNanos = new ArrayList<>();
    Tree[] treeFixtures = new Tree[LEAVES.length];
    for (int i = 0; i < LEAVES.length; i++) {
      treeNanos.add(new ArrayList<>());
      treeFixtures[i] = new Tree(LEAVES[i]);
    }
    double allocated = 0;
    for (int round = -2; round < rounds; round++) { // Two rounds of warm-up.
      double b = bucket();
      if (round >= 0) {
        bucket.add(b);
      }
      for (int i = 0; i < LEAVES.length; i++) {
        long before = allocatedBytes();
        double t = treeFixtures[i].nanosPerDecision();
        allocated = (allocatedBytes() - before) / (double) DECISIONS;
        if (round >= 0) {
          treeNanos.get(i).add(t);
        }
      }
    }
    for (int i = 0; i < LEAVES.length; i++) {
      System.out.printf(Locale.ROOT, "%7d leaves: %6.1f ns per decision (%d nodes in memory); one bucket %.1f ns%n", LEAVES[i],
          median(treeNanos.get(i)), treeFixtures[i].quotas.nodeCount(), median(bucket));
    }
    double[] month = monthEnd();
    double recovery = recovery();
    System.out.println(ChildProcess.json("cost_ratio", ChildProcess.figure(median(treeNanos.get(1)) / median(bucket)), "growth",
        ChildProcess.figure(median(treeNanos.get(2)) / median(treeNanos.get(0))), "decisions_per_s",
        ChildProcess.figure(1e9 / median(treeNanos.get(1))),
        "bytes_per_decision", ChildProcess.figure(allocated), "worst_share", ChildProcess.figure(month[0]), "utilisation",
        ChildProcess.figure(month[1]), "lent_back_ms", ChildProcess.figure(month[2]), "recovery_s", ChildProcess.figure(recovery)));
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
    double elapsed = (System.nanoTime() - start) / (double) DECISIONS;
    if (passed == 0) {
      throw new IllegalStateException("no request passed the bucket");
    }
    return elapsed;
  }

  /** A tree of organisation, partners, groups and teams; half of the requests use their node's guarantee, half are lent or rejected. */
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
        quotas.tryAcquire(now, p, cost); // Creates all nodes before the measurement.
      }
    }

    double nanosPerDecision() {
      long start = System.nanoTime();
      long granted = 0;
      for (int i = 0; i < DECISIONS; i++) {
        now += 500; // Two million requests per second, twice the capacity.
        String path = paths[(order[i & order.length - 1] + i) % paths.length];
        long grant = quotas.tryAcquire(now, path, cost);
        if (!Quotas.isRejected(grant)) {
          granted++;
          quotas.release(now, path, grant);
        }
      }
      if (granted < DECISIONS / 4) {
        throw new IllegalStateException("granted only " + granted);
      }
      return (System.nanoTime() - start) / (double) DECISIONS;
    }
  }

  /**
   * Simulates three partners for ten minutes on a virtual clock: one with constant high demand, one intermittent, one with low demand. Returns
   * the worst ratio of received to guaranteed share in any second with demand, the utilisation, and the longest time in milliseconds from
   * the return of a lender until it receives 97 % of its guaranteed rate.
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
    double[][] requested = new double[3][slots];
    double[][] granted = new double[3][slots];
    double[] rates = {0, 15_000, 300};
    double totalRate = 20_000;
    for (double t = 0; t < 600;) {
      t += -Math.log(1 - r.nextDouble()) / totalRate;
      int slot = (int) (t * 10);
      rates[0] = (int) (t / 31) % 2 == 1 ? 4000 : 0;
      double pick = r.nextDouble() * totalRate;
      for (int i = 0; i < 3 && slot < slots; i++) {
        pick -= rates[i];
        if (pick < 0) {
          requested[i][slot]++;
          long grant = q.tryAcquire(SECOND + (long) (t * SECOND), names[i], new double[] {1});
          if (!Quotas.isRejected(grant)) {
            granted[i][slot]++;
            q.release(SECOND + (long) (t * SECOND), names[i], grant);
          }
          break;
        }
      }
    }
    double worst = 1;
    for (int i = 0; i < 3; i++) {
      for (int s = 10; s + 10 <= slots; s++) {
        double guaranteed = 0;
        double received = 0;
        for (int k = s; k < s + 10; k++) {
          guaranteed += Math.min(requested[i][k], guarantee[i] / 10);
          received += granted[i][k];
        }
        worst = guaranteed >= 50 && guaranteed >= guarantee[i] / 4 ? Math.min(worst, received / guaranteed) : worst;
      }
    }
    double servedTotal = 0;
    double slowestReturnMillis = 0;
    for (int s = 100; s < slots; s++) {
      servedTotal += granted[0][s] + granted[1][s] + granted[2][s];
    }
    for (int from = 310; from < slots - 10; from += 620) {
      double received = 0;
      int s = from;
      do {
        received = granted[0][s++];
      } while (received < 0.97 * guarantee[0] / 10 && s < slots);
      slowestReturnMillis = Math.max(slowestReturnMillis, (s - from) * 100.0);
    }
    return new double[] {worst, servedTotal / ((slots - 100) / 10.0) / 3000, slowestReturnMillis};
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
    double elapsed = (System.nanoTime() - start) / 1e9;
    System.out.printf(Locale.ROOT, "journal of 1,000,000 entries, %d bytes, %d nodes: %.2f s%n", Files.size(file), q.nodeCount(), elapsed);
    Files.delete(file);
    Files.delete(folder);
    return elapsed;
  }
}
