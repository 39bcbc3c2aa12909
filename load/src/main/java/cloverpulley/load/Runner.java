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
 * Plays planned requests in an open loop: each try leaves at its time, whatever became of those before. A thread of its own keeps
 * the time, all else runs on the one loop of the drivers. Should the loop fall behind, requests wait and their lateness is
 * recorded; none is dropped and none is sent early.
 */
public final class Runner {

  /** Requests handed over and not yet sent; past this the time-keeper waits, and what it hands over then is late. */
  private static final int MOST_WAITING = 100_000;
  private static final long WAIT_NANOS = 100_000;
  private static final int MOST_BATCH = 256;
  private static final int MOST_DOUBLINGS = 16;

  private final Plan plan;
  private final EventLoop loop;
  private final Driver driver;
  private final Results results;
  private final SplittableRandom random;
  private final String prefix;
  private final AtomicInteger waiting = new AtomicInteger();
  private final CountDownLatch over = new CountDownLatch(1);
  private Consumer<Results> everySecond = r -> { };
  private AttemptListener eachTry = (planned, id, outcome, tookNanos) -> { };
  private long startNanos;
  private long open;
  private boolean allStarted;
  private volatile boolean stopped;

  /** {@code prefix} begins the id of each try: two runs against one server differ in it. */
  public Runner(Plan plan, EventLoop loop, Driver driver, String prefix) {
    this.plan = plan;
    this.loop = loop;
    this.driver = driver;
    this.prefix = prefix;
    results = new Results(plan);
    random = new SplittableRandom(plan.seed() ^ 0x5deece66dL);
  }

  /** Told of each try as it ends, on the loop. */
  public interface AttemptListener {
    void ended(PlannedRequest planned, String id, Outcome outcome, long tookNanos);
  }

  public Runner eachTry(AttemptListener told) {
    eachTry = told;
    return this;
  }

  /** Told on the loop once a second while the run goes on. */
  public Runner everySecond(Consumer<Results> told) {
    everySecond = told;
    return this;
  }

  /** Ends the run early: what has started is still seen through. */
  public void stop() {
    stopped = true;
  }

  /** Plays all that the source gives; returns once each request has its outcome. */
  public Results run(Supplier<PlannedRequest> source) throws InterruptedException {
    startNanos = System.nanoTime();
    results.startNanos = startNanos;
    Future<?> ticks = loop.scheduleAtFixedRate(() -> everySecond.accept(results), 1, 1, TimeUnit.SECONDS);
    PlannedRequest p = source.get();
    while (p != null && !stopped) {
      awaitTime(due(p));
      while (waiting.get() >= MOST_WAITING) {
        LockSupport.parkNanos(WAIT_NANOS);
      }
      // All that is due by now goes over at once: waking the loop for each would cost more than sending it.
      List<PlannedRequest> batch = new ArrayList<>();
      long now = System.nanoTime();
      do {
        batch.add(p);
        p = source.get();
      } while (p != null && due(p) <= now && batch.size() < MOST_BATCH);
      waiting.addAndGet(batch.size());
      loop.execute(() -> batch.forEach(this::start));
    }
    loop.execute(() -> {
      allStarted = true;
      checkOver();
    });
    over.await();
    ticks.cancel(false);
    loop.submit(() -> { }).syncUninterruptibly(); // What was told last is seen by this thread.
    return results;
  }

  private long due(PlannedRequest p) {
    return startNanos + (long) (p.at() * 1e9);
  }

  /** Parks without spinning: the loop may have to share a core with this thread, and needs it more. */
  private static void awaitTime(long due) {
    for (long left = due - System.nanoTime(); left > 0; left = due - System.nanoTime()) {
      LockSupport.parkNanos(left);
    }
  }

  private void start(PlannedRequest p) {
    waiting.decrementAndGet();
    open++;
    results.intended(p);
    new Request(p, due(p)).attempt(due(p));
  }

  private void checkOver() {
    if (allStarted && open == 0) {
      over.countDown();
    }
  }

  /** One request through all of its tries. */
  private final class Request {

    private final PlannedRequest planned;
    private final long intended;
    private long firstSent;
    private int tries;

    Request(PlannedRequest planned, long intended) {
      this.planned = planned;
      this.intended = intended;
    }

    void attempt(long due) {
      long now = System.nanoTime();
      firstSent = tries == 0 ? now : firstSent;
      results.sent(planned, (now - startNanos) / 1e9, now - due);
      int attempt = tries++;
      String id = prefix + planned.number() + "." + attempt;
      driver.send(planned, id, attempt, (outcome, retryAfter) -> {
        eachTry.ended(planned, id, outcome, System.nanoTime() - now);
        ended(outcome, retryAfter);
      });
    }

    private void ended(Outcome outcome, double retryAfterMillis) {
      if (outcome != Outcome.SERVED && tries <= plan.clients().retries() && mayRetry(outcome)) {
        double wait = planned.honours() && retryAfterMillis > 0 ? retryAfterMillis
            : plan.clients().backOffMillis() * (1 << Math.min(MOST_DOUBLINGS, tries - 1)) * (0.5 + random.nextDouble() / 2);
        long due = System.nanoTime() + (long) (wait * 1e6);
        loop.schedule(() -> attempt(due), (long) (wait * 1e6), TimeUnit.NANOSECONDS);
        return;
      }
      long now = System.nanoTime();
      results.ended(planned, outcome, now - intended, now - firstSent);
      open--;
      checkOver();
    }

    /** A client does not ask twice for what must not run twice, unless it was told that nothing ran. */
    private boolean mayRetry(Outcome outcome) {
      return plan.types().get(planned.type()).effect() != Plan.Effect.UNSAFE || outcome == Outcome.REFUSED
          || outcome == Outcome.NO_CONNECTION || outcome == Outcome.NO_ROOM;
    }
  }
}
