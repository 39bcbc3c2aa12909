package cloverpulley.quota.service;

import cloverpulley.quota.Dimension;
import cloverpulley.quota.Lane;
import cloverpulley.quota.QuotaPlan;
import cloverpulley.quota.Quotas;
import cloverpulley.quota.Quotas.NodeSnapshot;
import cloverpulley.quota.SizeEstimator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * Quotas on a loop, and their journal beside it: what was charged goes to the file some times a second, by a thread of its own that the
 * loop never waits for. A disk that fails is named once; decisions go on, and all is written again once it can be. Everything but the
 * start and the end is called on the loop.
 */
public final class QuotaKeeper implements AutoCloseable {

  /** Kinds of answers whose octets are remembered: bounds it where kinds come from callers. */
  private static final int KINDS = 1024;
  /** An answer teaches no more than this part of all octets that there are in a window. */
  private static final double ANSWER_PART = 0.1;

  private static final Logger LOG = Logger.getLogger(QuotaKeeper.class.getName());
  private static final long CLOSE_SECONDS = 5;

  private final QuotaConfig config;
  private final Quotas quotas;
  private final QuotaJournal journal;
  private final LongSupplier nanos;
  private final ScheduledFuture<?> flushes;
  private final ExecutorService writer = Executors.newSingleThreadExecutor(task -> {
    Thread t = new Thread(task, "quota journal");
    t.setDaemon(true);
    return t;
  });
  private final LeaseLink link;
  private final AtomicBoolean writing = new AtomicBoolean();
  private volatile boolean faulty;
  /** The file is another's, or can't be opened: it is left as it is. */
  private boolean broken;
  /** The writer's: states that are not in the file yet, one a node. */
  private final Map<String, NodeSnapshot> unwritten = new HashMap<>();
  private final double[] cost;
  private final double[] actual;
  /** The lanes of octets out, whose cost is known only with the answer. */
  private final BitSet out = new BitSet();
  private final SizeEstimator responseSizes;
  private final long startMillis = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();

  /** Reads the journal, if there is one, and starts; what a file lacks or spoils is told in the log. */
  public QuotaKeeper(QuotaConfig config, ScheduledExecutorService loop, LongSupplier nanos) {
    this.config = config;
    this.nanos = nanos;
    quotas = new Quotas(config.plan(), config.maxDynamicNodes(), nanos.getAsLong());
    cost = new double[config.plan().lanes().size()];
    actual = new double[cost.length];
    double most = Double.POSITIVE_INFINITY;
    for (int i = 0; i < cost.length; i++) {
      out.set(i, config.plan().lanes().get(i).dimension() == Dimension.BYTES_OUT);
      most = out.get(i) ? Math.min(most, config.plan().nodes().get("").guarantee()[i] * ANSWER_PART) : most;
    }
    responseSizes = new SizeEstimator(KINDS, most);
    journal = config.journal() == null ? null : new QuotaJournal(config.journal(), installation(config.plan()), config.maxJournalBytes(),
        config.force());
    recover();
    try {
      link = config.leases() == null ? null : new LeaseLink(config.plan(), config.leases(), this, loop, nanos);
    } catch (IOException e) {
      throw new UncheckedIOException("quotas can't be divided at " + config.leases().listen() + ": " + e.getMessage(), e);
    }
    flushes = journal == null ? null : loop.scheduleWithFixedDelay(this::flush, config.flushMillis(), config.flushMillis(),
        TimeUnit.MILLISECONDS);
  }

  /** Lanes are what a state's figures mean: a file with others is another installation's. */
  static String installation(QuotaPlan plan) {
    return plan.lanes().toString();
  }

  private void recover() {
    if (journal == null) {
      return;
    }
    try {
      QuotaJournal.Recovery r = journal.open();
      long now = unixMillis();
      for (QuotaJournal.TimestampedSnapshot t : r.snapshots()) {
        quotas.restore(nanos.getAsLong(), TimeUnit.MILLISECONDS.toNanos(now - t.unixMillis()), List.of(t.snapshot()));
      }
      LOG.info("quota journal read: nodes=" + r.snapshots().size() + " frames=" + r.frames() + " spoilt=" + r.corruptFrames() + " torn_octets="
          + r.truncatedBytes());
    } catch (IOException e) {
      faulty = true;
      broken = true;
      LOG.warning("quotas start without what was owed: " + e.getMessage());
    }
  }

  /** Where it divides the quotas among instances; null where it does not. */
  public InetSocketAddress leaseAddress() {
    return link == null ? null : link.address();
  }

  /** The decisions themselves. */
  public Quotas quotas() {
    return quotas;
  }

  /** One request of so much work, without an answer whose octets count; a grant, or a refusal ({@link Quotas#isRejected}). */
  public long tryAcquire(String path, double requests, double bytesIn, double workMillis, boolean inFlight) {
    return tryAcquire(path, requests, bytesIn, 0, workMillis, inFlight);
  }

  /** What the answer to a request of a kind is expected to have in octets; 0 where no lane counts them. */
  public double expectedResponseBytes(String kind) {
    return out.isEmpty() ? 0 : responseSizes.estimate(kind);
  }

  /**
   * The answer to what was granted has been seen, or there will be none: what was expected of it is set right. Once for each grant,
   * before its {@link #release}.
   *
   * @param askedAt clock reading at which it was granted
   * @param expected what {@link #tryAcquire} was told
   * @param octets of the answer; below 0 where there was none, which teaches nothing of its kind
   */
  public void settleResponse(String path, long grant, long askedAt, String kind, double expected, long octets) {
    if (out.isEmpty() || Quotas.isRejected(grant)) {
      return;
    }
    if (octets >= 0) {
      responseSizes.record(kind, octets);
    }
    for (int i = 0; i < cost.length; i++) {
      cost[i] = out.get(i) ? expected : 0;
      actual[i] = out.get(i) ? Math.max(0, octets) : 0;
    }
    quotas.settle(nanos.getAsLong(), path == null ? "" : path, grant, askedAt, cost, actual);
  }

  /** The same, of whose answer so many octets are expected. */
  public long tryAcquire(String path, double requests, double bytesIn, double bytesOut, double workMillis, boolean inFlight) {
    List<Lane> lanes = config.plan().lanes();
    for (int i = 0; i < cost.length; i++) {
      cost[i] = switch (lanes.get(i).dimension()) {
        case REQUESTS -> requests;
        case BYTES_IN -> bytesIn;
        case BYTES_OUT -> bytesOut;
        case WORK -> workMillis;
        case CONCURRENCY -> inFlight ? 1 : 0;
      };
    }
    long grant = quotas.tryAcquire(nanos.getAsLong(), path == null ? "" : path, cost);
    if (!inFlight && !Quotas.isRejected(grant)) {
      quotas.release(nanos.getAsLong(), path == null ? "" : path, grant);
    }
    return grant;
  }

  /** The request of a grant is over, whatever its end; once for each grant of one that was in flight. */
  public void release(String path, long grant) {
    quotas.release(nanos.getAsLong(), path == null ? "" : path, grant);
  }

  /** In how many nanoseconds the share of whoever was refused last is there. */
  public long retryAfterNanos() {
    return Math.max(0, quotas.retryAt() - nanos.getAsLong());
  }

  /**
   * Another plan; what was used, is owed and is in flight stays.
   *
   * @throws IllegalStateException where instances share the quotas
   */
  public void updatePlan(QuotaPlan plan) {
    if (link != null) {
      // Others divide by the plan that they have: a change is one of all instances, each begun anew.
      throw new IllegalStateException("quota: with [quota.leases] a change of quotas needs a restart, the quotas before stay");
    }
    quotas.updatePlan(plan, nanos.getAsLong());
  }

  /** Unix time by the wall clock of the start and the monotonic clock since then: a step ages nothing that is owed. */
  private long unixMillis() {
    return startMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  private void flush() {
    // One writing at a time: while the disk is slow, what is charged gathers in the nodes, and not in a queue.
    if (broken || !writing.compareAndSet(false, true)) {
      return;
    }
    List<NodeSnapshot> snapshots = quotas.snapshotChanged(nanos.getAsLong());
    long now = unixMillis();
    writer.execute(() -> {
      // What could not be written is written with what came since; the latest of a node is all there is to know.
      snapshots.forEach(k -> unwritten.put(k.path(), k));
      try {
        journal.append(now, unwritten.values());
        unwritten.clear();
        if (faulty) {
          LOG.info("the quota journal can be written again");
        }
        faulty = false;
      } catch (IOException e) {
        if (!faulty) {
          LOG.warning("the quota journal can't be written, a restart would forget: " + e);
        }
        faulty = true;
      } finally {
        writing.set(false);
      }
    });
  }

  /** Whether a restart now would forget what was charged lately. */
  public boolean isJournalFailing() {
    return faulty;
  }

  /** Writes what is owed. To be called after the loop's last decision. */
  @Override
  public void close() {
    if (link != null) {
      link.close();
    }
    if (journal == null) {
      return;
    }
    flushes.cancel(false);
    if (broken) {
      writer.shutdown();
      return;
    }
    List<NodeSnapshot> snapshots = quotas.snapshot(nanos.getAsLong());
    long now = unixMillis();
    writer.execute(() -> {
      try (journal) {
        journal.append(now, snapshots);
      } catch (IOException e) {
        LOG.warning("the quota journal could not be ended: " + e);
      }
    });
    writer.shutdown();
    try {
      writer.awaitTermination(CLOSE_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
