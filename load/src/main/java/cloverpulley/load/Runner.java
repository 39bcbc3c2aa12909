package cloverpulley.load;

import cloverpulley.load.Driver.Outcome;
import cloverpulley.load.RequestGenerator.PlannedRequest;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Runs planned requests in an open loop: each request is sent at its intended time, regardless of the outcome of earlier ones. The
 * thread that calls {@link #run} does the scheduling; everything else runs on the drivers' single event loop. If the loop falls
 * behind, requests are queued and their lateness is recorded; none is dropped and none is sent early.
 */
public final class Runner {

  /** Limit on requests queued on the event loop. At this limit the scheduling thread waits, so the requests after that are late. */
  private static final int MAX_QUEUED = 100_000;
  private static final long PARK_NANOS = 100_000;
  private static final int MAX_BATCH = 256;
  private static final int MAX_DOUBLINGS = 16;

  private final Plan plan;
  private final EventLoop loop;
  private final Driver driver;
  private final Results results;
  private final SplittableRandom random;
  private final String prefix;
  private final AtomicInteger queued = new AtomicInteger();
  private final CountDownLatch finished = new CountDownLatch(1);
  private Consumer<Results> everySecond = r -> { };
  private AttemptListener attemptListener = (planned, id, outcome, tookNanos) -> { };
  private long startNanos;
  private long inFlight;
  private boolean allStarted;
  private volatile boolean stopped;

  /** Every attempt id starts with {@code prefix}, which has to be unique per run: a server may deduplicate by id. */
  public Runner(Plan plan, EventLoop loop, Driver driver, String prefix) {
    this.plan = plan;
    this.loop = loop;
    this.driver = driver;
    this.prefix = prefix;
    results = new Results(plan);
    random = new SplittableRandom(plan.seed() ^ 0x5deece66dL);
  }

  /** Notified on the event loop as each attempt ends. */
  public interface AttemptListener {
    void onAttemptEnd(PlannedRequest planned, String id, Outcome outcome, long tookNanos);
  }

  public Runner attemptListener(AttemptListener listener) {
    attemptListener = listener;
    return this;
  }

  /** Sets a listener that is called on the event loop once a second during the run. */
  public Runner everySecond(Consumer<Results> listener) {
    everySecond = listener;
    return this;
  }

  /** Stops the run early; requests that have started still run to completion. */
  public void stop() {
    stopped = true;
  }

  /** Runs every request that the source returns; returns when each of them has its outcome. */
  public Results run(Supplier<PlannedRequest> source) throws InterruptedException {
    startNanos = System.nanoTime();
    results.startNanos = startNanos;
    Future<?> ticker = loop.scheduleAtFixedRate(() -> everySecond.accept(results), 1, 1, TimeUnit.SECONDS);
    PlannedRequest p = source.get();
    while (p != null && !stopped) {
      parkUntil(due(p));
      while (queued.get() >= MAX_QUEUED) {
        LockSupport.parkNanos(PARK_NANOS);
      }
      // Submits all requests that are due in one batch: waking the event loop for each one would cost more than sending it.
      List<PlannedRequest> batch = new ArrayList<>();
      long now = System.nanoTime();
      do {
        batch.add(p);
        p = source.get();
      } while (p != null && due(p) <= now && batch.size() < MAX_BATCH);
      queued.addAndGet(batch.size());
      loop.execute(() -> batch.forEach(this::start));
    }
    loop.execute(() -> {
      allStarted = true;
      checkFinished();
    });
    finished.await();
    ticker.cancel(false);
    loop.submit(() -> { }).syncUninterruptibly(); // Makes the loop's last writes visible to this thread.
    return results;
  }

  private long due(PlannedRequest p) {
    return startNanos + (long) (p.startSeconds() * 1e9);
  }

  /** Parks without spinning: the event loop may share a core with this thread and needs the CPU time more. */
  private static void parkUntil(long due) {
    for (long left = due - System.nanoTime(); left > 0; left = due - System.nanoTime()) {
      LockSupport.parkNanos(left);
    }
  }

  private void start(PlannedRequest p) {
    queued.decrementAndGet();
    inFlight++;
    results.recordIntended(p);
    new Request(p, due(p)).attempt(due(p));
  }

  private void checkFinished() {
    if (allStarted && inFlight == 0) {
      finished.countDown();
    }
  }

  /** A request and all of its attempts. */
  private final class Request {

    private final PlannedRequest planned;
    private final long intended;
    private long firstSent;
    private int attempts;

    Request(PlannedRequest planned, long intended) {
      this.planned = planned;
      this.intended = intended;
    }

    void attempt(long due) {
      long now = System.nanoTime();
      firstSent = attempts == 0 ? now : firstSent;
      results.recordSent(planned, (now - startNanos) / 1e9, now - due);
      int attempt = attempts++;
      String id = prefix + planned.number() + "." + attempt;
      driver.send(planned, id, attempt, (outcome, retryAfter) -> {
        attemptListener.onAttemptEnd(planned, id, outcome, System.nanoTime() - now);
        onOutcome(outcome, retryAfter);
      });
    }

    private void onOutcome(Outcome outcome, double retryAfterMillis) {
      if (outcome != Outcome.SERVED && attempts <= plan.clients().retries() && mayRetry(outcome)) {
        double wait = planned.honoursRetryAfter() && retryAfterMillis > 0 ? retryAfterMillis
            : plan.clients().backOffMillis() * (1 << Math.min(MAX_DOUBLINGS, attempts - 1)) * (0.5 + random.nextDouble() / 2);
        long due = System.nanoTime() + (long) (wait * 1e6);
        loop.schedule(() -> attempt(due), (long) (wait * 1e6), TimeUnit.NANOSECONDS);
        return;
      }
      long now = System.nanoTime();
      results.recordOutcome(planned, outcome, now - intended, now - firstSent);
      inFlight--;
      checkFinished();
    }

    /** A request that is not idempotent is retried only if the previous attempt was certainly not executed. */
    private boolean mayRetry(Outcome outcome) {
      return plan.classes().get(planned.classIndex()).effect() != Plan.Effect.UNSAFE || outcome == Outcome.REFUSED
          || outcome == Outcome.NO_CONNECTION || outcome == Outcome.NO_ROOM;
    }
  }
}
