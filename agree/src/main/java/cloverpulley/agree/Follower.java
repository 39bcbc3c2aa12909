package cloverpulley.agree;

import cloverpulley.outs.Command;
import cloverpulley.outs.Heartbeat;
import cloverpulley.outs.LedgerState;
import cloverpulley.outs.RejectionRate;
import cloverpulley.outs.UpstreamHealthMonitor;
import cloverpulley.outs.UpstreamReconciler;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.LongAdder;
import org.jctools.queues.MpscArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An instance's client of the ledger, on a thread of its own: polls the state, sets upstreams offline and online accordingly, acknowledges
 * that with the next poll, and reports the health of upstreams. While no voter is reachable everything stays as it is: upstreams that are
 * offline stay offline, the others serve.
 */
public final class Follower implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(Follower.class);

  private static final long REPORT_TIMEOUT_MILLIS = 1000;
  private static final long ACTION_TIMEOUT_MILLIS = 1000;
  private static final int MAX_REPORTS = 50;
  private static final int MAX_OUTCOMES = 8192;
  /**
   * Ratio of the time for the first sync after which the state of a voter that knows no leader is accepted: a starting instance rather uses a
   * stale ledger than none.
   */
  private static final double LEADERLESS_AFTER_RATIO = 0.75;

  private record AttemptOutcome(String upstream, boolean answered, boolean wasTimeout) {}

  /** Changes the administrative state of an instance's upstreams. */
  public interface Upstreams {
    /** Sends the upstream nothing new; it has been out for {@code forMillis} already. Completes once the change is in effect. */
    CompletableFuture<Void> setOffline(String id, long forMillis);

    /** Lets the upstream serve again, in slow start. Completes once the change is in effect. */
    CompletableFuture<Void> setOnline(String id);
  }

  private final AgreeConfig config;
  private final AgreeClient client;
  private final Upstreams upstreams;
  private final long acceptLeaderlessAt;
  private final UpstreamReconciler reconciler = new UpstreamReconciler();
  private final UpstreamHealthMonitor healthMonitor;
  private final MpscArrayQueue<AttemptOutcome> outcomes = new MpscArrayQueue<>(MAX_OUTCOMES);
  private final ScheduledExecutorService thread = new ScheduledThreadPoolExecutor(1, task -> {
    Thread t = new Thread(task, "ledger");
    t.setDaemon(true);
    return t;
  });
  /** Distinguishes this process from others of the same instance. */
  private final String process = UUID.randomUUID().toString();
  private final RejectionRate rejectionRate = new RejectionRate();
  private final LongAdder completed = new LongAdder();
  private final LongAdder rejected = new LongAdder();
  private final ArrayDeque<UpstreamReconciler.Action> pendingActions = new ArrayDeque<>();
  private final CompletableFuture<Void> firstSync = new CompletableFuture<>();
  private LedgerState current;
  private long appliedIndex = -1;
  private boolean isDisconnected;

  /**
   * Starts polling immediately.
   *
   * @param warmMillis duration of the slow start of a returning upstream
   * @param firstSyncMillis time that the caller waits for the first sync
   */
  public Follower(AgreeConfig config, Upstreams upstreams, long warmMillis, long firstSyncMillis) {
    acceptLeaderlessAt = nowMillis() + (long) (LEADERLESS_AFTER_RATIO * firstSyncMillis);
    this.config = config;
    this.upstreams = upstreams;
    client = new AgreeClient(config.voters());
    healthMonitor = new UpstreamHealthMonitor(config.name(), warmMillis, Math.max(config.pollMillis(), config.rules().freshMillis() / 3));
    thread.scheduleWithFixedDelay(this::poll, 0, config.pollMillis(), TimeUnit.MILLISECONDS);
  }

  /** Records the end of an attempt. Thread-safe and non-blocking; outcomes beyond the capacity of the queue are dropped. */
  public void recordAttempt(String upstream, boolean answered, boolean wasTimeout) {
    outcomes.offer(new AttemptOutcome(upstream, answered, wasTimeout));
  }

  /** Records an answered request. Thread-safe. */
  public void recordRequest(boolean wasRejected) {
    completed.increment();
    if (wasRejected) {
      rejected.increment();
    }
  }

  /** Completes once the ledger has been read and applied for the first time. */
  public CompletableFuture<Void> firstSync() {
    return firstSync;
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Never throws: the executor cancels a periodic task that does. */
  private void poll() {
    try {
      if (!pendingActions.isEmpty()) {
        apply(current == null ? LedgerState.EMPTY : current);
      }
      LedgerState s = client.poll(config.name(), new Heartbeat(process, config.groups(), appliedIndex,
          rejectionRate.update(nowMillis(), completed.sum(), rejected.sum())), appliedIndex);
      if (s != null && (client.hasLeader() || firstSync.isDone() || nowMillis() >= acceptLeaderlessAt)) {
        apply(s);
      }
      if (isDisconnected) {
        isDisconnected = false;
        LOG.info("the ledger is reachable again");
      }
      outcomes.drain(o -> healthMonitor.recordAttempt(nowMillis(), o.upstream(), o.answered(), o.wasTimeout()));
      if (current != null) {
        sendReports();
      }
    } catch (IOException | RuntimeException e) {
      if (!isDisconnected) {
        isDisconnected = true;
        LOG.warn("the ledger is unreachable, offline upstreams stay offline: {}", e.getMessage());
      }
    }
  }

  private void apply(LedgerState s) throws IOException {
    try {
      pendingActions.addAll(reconciler.reconcile(s));
      while (!pendingActions.isEmpty()) {
        UpstreamReconciler.Action action = pendingActions.peek(); // Removed only once it is done, so that a failed action is repeated.
        if (action instanceof UpstreamReconciler.Action.SetOffline offline) {
          LOG.info("setting offline: {}", offline.upstream());
          upstreams.setOffline(offline.upstream(), offline.forMillis()).get(ACTION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } else if (action instanceof UpstreamReconciler.Action.SetOnline online) {
          LOG.info("setting online: {}", online.upstream());
          upstreams.setOnline(online.upstream()).get(ACTION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
        pendingActions.poll();
      }
      if (s.index() >= reconciler.index()) {
        current = s;
        appliedIndex = s.index();
        firstSync.complete(null);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("the change of an upstream failed", e); // Not acknowledged with the next poll.
    }
  }

  private void sendReports() throws IOException {
    List<Command> reports = healthMonitor.pendingReports(nowMillis(), current);
    for (int i = 0; i < Math.min(MAX_REPORTS, reports.size()); i++) {
      client.command(reports.get(i), REPORT_TIMEOUT_MILLIS);
    }
  }

  /** Stops polling; offline upstreams stay offline. */
  @Override
  public void close() {
    thread.shutdownNow();
  }
}
