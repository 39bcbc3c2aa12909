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
 * Runs the quotas on an event loop and keeps their journal. Changed state is written several times a second by a separate thread that the
 * loop never waits for. A failing disk is logged once; decisions continue, and all unwritten state is written as soon as the disk works
 * again. All methods except the constructor and {@link #close} are called on the loop.
 */
public final class QuotaKeeper implements AutoCloseable {

  /** Number of response kinds whose size is estimated; bounded because kinds come from callers. */
  private static final int MAX_KINDS = 1024;
  /** A response counts in the estimate for at most this part of all bytes available in a window. */
  private static final double MAX_SAMPLE_RATIO = 0.1;

  private static final Logger LOG = Logger.getLogger(QuotaKeeper.class.getName());
  private static final long CLOSE_SECONDS = 5;

  private final QuotaConfig config;
  private final Quotas quotas;
  private final QuotaJournal journal;
  private final LongSupplier nanos;
  private final ScheduledFuture<?> flushTask;
  private final ExecutorService writer = Executors.newSingleThreadExecutor(task -> {
    Thread t = new Thread(task, "quota journal");
    t.setDaemon(true);
    return t;
  });
  private final LeaseLink leaseLink;
  private final AtomicBoolean writing = new AtomicBoolean();
  private volatile boolean journalFailing;
  /** The journal can't be opened or belongs to another installation; it is left unchanged. */
  private boolean journalUnusable;
  /** Snapshots not yet in the file, one per node; used by the writer thread only. */
  private final Map<String, NodeSnapshot> unwritten = new HashMap<>();
  private final double[] cost;
  private final double[] actual;
  /** Lanes of bytes out, whose cost is known only with the response. */
  private final BitSet bytesOutLanes = new BitSet();
  private final SizeEstimator responseSizes;
  private final long startMillis = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();

  /** Restores the journal, if there is one, and starts; missing or corrupt data is logged. */
  public QuotaKeeper(QuotaConfig config, ScheduledExecutorService loop, LongSupplier nanos) {
    this.config = config;
    this.nanos = nanos;
    quotas = new Quotas(config.plan(), config.maxDynamicNodes(), nanos.getAsLong());
    cost = new double[config.plan().lanes().size()];
    actual = new double[cost.length];
    double maxSample = Double.POSITIVE_INFINITY;
    for (int i = 0; i < cost.length; i++) {
      bytesOutLanes.set(i, config.plan().lanes().get(i).dimension() == Dimension.BYTES_OUT);
      maxSample = bytesOutLanes.get(i) ? Math.min(maxSample, config.plan().nodes().get("").guarantee()[i] * MAX_SAMPLE_RATIO) : maxSample;
    }
    responseSizes = new SizeEstimator(MAX_KINDS, maxSample);
    journal = config.journal() == null ? null : new QuotaJournal(config.journal(), installation(config.plan()), config.maxJournalBytes(),
        config.force());
    recover();
    try {
      leaseLink = config.leases() == null ? null : new LeaseLink(config.plan(), config.leases(), this, loop, nanos);
    } catch (IOException e) {
      throw new UncheckedIOException("can't listen for quota lease reports at " + config.leases().listen() + ": " + e.getMessage(), e);
    }
    flushTask = journal == null ? null : loop.scheduleWithFixedDelay(this::flush, config.flushMillis(), config.flushMillis(),
        TimeUnit.MILLISECONDS);
  }

  /** The lanes give the values of a snapshot their meaning, so a file with other lanes belongs to another installation. */
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
      journalFailing = true;
      journalUnusable = true;
      LOG.warning("quota journal not restored, starting without saved state: " + e.getMessage());
    }
  }

  /** Address of this instance's lease coordinator; null where it is none. */
  public InetSocketAddress leaseAddress() {
    return leaseLink == null ? null : leaseLink.address();
  }

  public Quotas quotas() {
    return quotas;
  }

  /** Requests the given cost without counting bytes of the response. Returns a grant, or a rejection ({@link Quotas#isRejected}). */
  public long tryAcquire(String path, double requests, double bytesIn, double workMillis, boolean inFlight) {
    return tryAcquire(path, requests, bytesIn, 0, workMillis, inFlight);
  }

  /** Returns the estimated size of the response to a request of a kind; 0 where no lane counts it. */
  public double expectedResponseBytes(String kind) {
    return bytesOutLanes.isEmpty() ? 0 : responseSizes.estimate(kind);
  }

  /**
   * Replaces the estimated response size of a grant by the actual one. To be called once for each grant, before {@link #release}, also
   * where there was no response.
   *
   * @param grantedAt clock reading of the grant
   * @param expected the estimate passed to {@link #tryAcquire}
   * @param bytes size of the response; negative for no response, which doesn't count in the estimate
   */
  public void settleResponse(String path, long grant, long grantedAt, String kind, double expected, long bytes) {
    if (bytesOutLanes.isEmpty() || Quotas.isRejected(grant)) {
      return;
    }
    if (bytes >= 0) {
      responseSizes.record(kind, bytes);
    }
    for (int i = 0; i < cost.length; i++) {
      cost[i] = bytesOutLanes.get(i) ? expected : 0;
      actual[i] = bytesOutLanes.get(i) ? Math.max(0, bytes) : 0;
    }
    quotas.settle(nanos.getAsLong(), path == null ? "" : path, grant, grantedAt, cost, actual);
  }

  /** Requests the given cost with an estimated response size. Returns a grant, or a rejection ({@link Quotas#isRejected}). */
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

  /** Ends a granted request, whatever its outcome; once for each grant of a request in flight. */
  public void release(String path, long grant) {
    quotas.release(nanos.getAsLong(), path == null ? "" : path, grant);
  }

  /** Returns the time until the request rejected last could be granted. */
  public long retryAfterNanos() {
    return Math.max(0, quotas.retryAt() - nanos.getAsLong());
  }

  /**
   * Replaces the plan; usage, credit and requests in flight stay.
   *
   * @throws IllegalStateException if instances share the quotas
   */
  public void updatePlan(QuotaPlan plan) {
    if (leaseLink != null) {
      // Other instances divide by the plan that they started with, so all of them have to be restarted with a new one.
      throw new IllegalStateException("quota: with [quota.leases] a change of quotas needs a restart, the previous quotas remain in effect");
    }
    quotas.updatePlan(plan, nanos.getAsLong());
  }

  /** Unix time from the wall clock at the start and the monotonic clock since then, so that a clock step ages no saved state. */
  private long unixMillis() {
    return startMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  private void flush() {
    // One write at a time: while the disk is slow, changes accumulate in the nodes and not in a queue.
    if (journalUnusable || !writing.compareAndSet(false, true)) {
      return;
    }
    List<NodeSnapshot> snapshots = quotas.snapshotChanged(nanos.getAsLong());
    long now = unixMillis();
    writer.execute(() -> {
      // Snapshots of a failed write are written with the next one; only the latest of each node counts.
      snapshots.forEach(s -> unwritten.put(s.path(), s));
      try {
        journal.append(now, unwritten.values());
        unwritten.clear();
        if (journalFailing) {
          LOG.info("the quota journal can be written again");
        }
        journalFailing = false;
      } catch (IOException e) {
        if (!journalFailing) {
          LOG.warning("the quota journal can't be written, a restart would lose recent usage: " + e);
        }
        journalFailing = true;
      } finally {
        writing.set(false);
      }
    });
  }

  /** Whether a restart now would lose recent usage. */
  public boolean isJournalFailing() {
    return journalFailing;
  }

  /** Writes the final state. To be called after the last decision on the loop. */
  @Override
  public void close() {
    if (leaseLink != null) {
      leaseLink.close();
    }
    if (journal == null) {
      return;
    }
    flushTask.cancel(false);
    if (journalUnusable) {
      writer.shutdown();
      return;
    }
    List<NodeSnapshot> snapshots = quotas.snapshot(nanos.getAsLong());
    long now = unixMillis();
    writer.execute(() -> {
      try (journal) {
        journal.append(now, snapshots);
      } catch (IOException e) {
        LOG.warning("the quota journal could not be closed: " + e);
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
