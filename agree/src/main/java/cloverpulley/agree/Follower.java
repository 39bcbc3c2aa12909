package cloverpulley.agree;

import cloverpulley.outs.UpstreamReconciler;
import cloverpulley.outs.Command;
import cloverpulley.outs.Heartbeat;
import cloverpulley.outs.RejectionRate;
import cloverpulley.outs.LedgerState;
import cloverpulley.outs.UpstreamHealthMonitor;
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
 * An instance's side of the ledger, on a thread of its own: looks at it, has its module act, says so with the next look, and tells what it
 * sees of upstreams. Without a word from any voter everything stays as it is: what is out stays out, the rest serves.
 */
public final class Follower implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(Follower.class);

  private static final long TELL_MILLIS = 1000;
  private static final long ACT_MILLIS = 1000;
  private static final int MOST_WORDS = 50;
  private static final int MOST_OUTCOMES = 8192;
  /** The part of its patience after which one that starts takes the ledger of a voter that knows of no leader: better old than none. */
  private static final double PATIENCE_PART = 0.75;

  private record Outcome(String upstream, boolean answered, boolean nothingCame) {}

  /** Where an instance acts. */
  public interface Upstreams {
    /** Nothing new to it; done once the module knows. */
    CompletableFuture<Void> setOffline(String id, long forMillis);

    /** It may serve again, cold; done once the module knows. */
    CompletableFuture<Void> setOnline(String id);
  }

  private final AgreeConfig config;
  private final AgreeClient client;
  private final Upstreams upstreams;
  private final long patientUntil;
  private final UpstreamReconciler acting = new UpstreamReconciler();
  private final UpstreamHealthMonitor watch;
  private final MpscArrayQueue<Outcome> outcomes = new MpscArrayQueue<>(MOST_OUTCOMES);
  private final ScheduledExecutorService thread = new ScheduledThreadPoolExecutor(1, task -> {
    Thread made = new Thread(task, "ledger");
    made.setDaemon(true);
    return made;
  });
  /** Tells this process from another of the same name. */
  private final String process = UUID.randomUUID().toString();
  private final RejectionRate refusals = new RejectionRate();
  private final LongAdder ended = new LongAdder();
  private final LongAdder refused = new LongAdder();
  private final ArrayDeque<UpstreamReconciler.Action> todo = new ArrayDeque<>();
  private final CompletableFuture<Void> first = new CompletableFuture<>();
  private LedgerState seen;
  private long acted = -1;
  private boolean deaf;

  /**
   * Begins to look at once.
   *
   * @param warmMillis how long an upstream that came back takes until it is warm
   * @param patienceMillis how long its first look may take
   */
  public Follower(AgreeConfig config, Upstreams upstreams, long warmMillis, long patienceMillis) {
    patientUntil = now() + (long) (PATIENCE_PART * patienceMillis);
    this.config = config;
    this.upstreams = upstreams;
    client = new AgreeClient(config.voters());
    watch = new UpstreamHealthMonitor(config.name(), warmMillis, Math.max(config.pollMillis(), config.rules().freshMillis() / 3));
    thread.scheduleWithFixedDelay(this::look, 0, config.pollMillis(), TimeUnit.MILLISECONDS);
  }

  /** An attempt at an upstream has ended; from any thread, which waits for nobody: what there is no room for is not told. */
  public void recordAttempt(String upstream, boolean answered, boolean nothingCame) {
    outcomes.offer(new Outcome(upstream, answered, nothingCame));
  }

  /** A request has its answer; from any thread. */
  public void recordRequest(boolean wasRefused) {
    ended.increment();
    if (wasRefused) {
      refused.increment();
    }
  }

  /** Done once the ledger was looked at and acted on for the first time. */
  public CompletableFuture<Void> firstSync() {
    return first;
  }

  private static long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Never throws: a turn that did would be the last. */
  private void look() {
    try {
      if (!todo.isEmpty()) {
        act(seen == null ? LedgerState.EMPTY : seen);
      }
      LedgerState s = client.poll(config.name(), new Heartbeat(process, config.groups(), acted, refusals.update(now(), ended.sum(), refused.sum())), acted);
      if (s != null && (client.isLed() || first.isDone() || now() >= patientUntil)) {
        act(s);
      }
      if (deaf) {
        deaf = false;
        LOG.info("the ledger is heard again");
      }
      outcomes.drain(o -> watch.recordAttempt(now(), o.upstream(), o.answered(), o.nothingCame()));
      if (seen != null) {
        tell();
      }
    } catch (IOException | RuntimeException e) {
      if (!deaf) {
        deaf = true;
        LOG.warn("the ledger can't be heard, what is out stays out: {}", e.getMessage());
      }
    }
  }

  private void act(LedgerState s) throws IOException {
    try {
      todo.addAll(acting.reconcile(s));
      while (!todo.isEmpty()) {
        UpstreamReconciler.Action step = todo.peek(); // Gone only once it is done: what the module has not heard is told again.
        if (step instanceof UpstreamReconciler.Action.SetOffline t) {
          LOG.info("agreed: {} out", t.upstream());
          upstreams.setOffline(t.upstream(), t.forMillis()).get(ACT_MILLIS, TimeUnit.MILLISECONDS);
        } else if (step instanceof UpstreamReconciler.Action.SetOnline c) {
          LOG.info("agreed: {} back", c.upstream());
          upstreams.setOnline(c.upstream()).get(ACT_MILLIS, TimeUnit.MILLISECONDS);
        }
        todo.poll();
      }
      if (s.index() >= acting.index()) {
        seen = s;
        acted = s.index();
        first.complete(null);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("the module could not act", e); // Not said to have acted.
    }
  }

  private void tell() throws IOException {
    List<Command> words = watch.pendingReports(now(), seen);
    for (int i = 0; i < Math.min(MOST_WORDS, words.size()); i++) {
      client.command(words.get(i), TELL_MILLIS);
    }
  }

  /** Looks no more; what is out stays out. */
  @Override
  public void close() {
    thread.shutdownNow();
  }
}
