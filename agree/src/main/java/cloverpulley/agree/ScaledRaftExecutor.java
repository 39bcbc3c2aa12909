package cloverpulley.agree;

import io.microraft.RaftConfig;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.lifecycle.RaftNodeLifecycleAware;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Raft's thread and time. The library counts heartbeats in whole seconds; here its second lasts a tenth, by a clock that does not step, so
 * that a leader that is gone is missed within a second of ours.
 */
final class ScaledRaftExecutor implements RaftNodeExecutor, RaftNodeLifecycleAware {

  /** So much faster the library's time runs. */
  static final int FASTER = 10;

  private final ScheduledExecutorService thread;

  ScaledRaftExecutor() {
    ScheduledThreadPoolExecutor t = new ScheduledThreadPoolExecutor(1, task -> {
      Thread made = new Thread(task, "raft");
      made.setDaemon(true);
      return made;
    });
    t.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    thread = t;
  }

  /** A heartbeat each 0.2 s; without one for 1 s a follower stands for election, within 0.3 s. */
  static RaftConfig config(int snapshotEvery) {
    return RaftConfig.newBuilder().setLeaderHeartbeatPeriodSecs(2).setLeaderHeartbeatTimeoutSecs(10).setLeaderElectionTimeoutMillis(3000)
        .setCommitCountToTakeSnapshot(snapshotEvery).build();
  }

  /** The library's clock over one of ours, in microseconds. */
  static Clock clock(LongSupplier micros) {
    return new Clock() {
      @Override
      public ZoneId getZone() {
        return ZoneOffset.UTC;
      }

      @Override
      public Clock withZone(ZoneId zone) {
        return this;
      }

      @Override
      public Instant instant() {
        return Instant.ofEpochMilli(millis());
      }

      @Override
      public long millis() {
        return micros.getAsLong() * FASTER / 1000;
      }
    };
  }

  @Override
  public void execute(Runnable task) {
    submit(task);
  }

  @Override
  public void submit(Runnable task) {
    try {
      thread.execute(task);
    } catch (RejectedExecutionException e) {
      return; // The voter has ended.
    }
  }

  @Override
  public void schedule(Runnable task, long delay, TimeUnit unit) {
    try {
      thread.schedule(task, unit.toMicros(delay) / FASTER, TimeUnit.MICROSECONDS);
    } catch (RejectedExecutionException e) {
      return;
    }
  }

  @Override
  public void onRaftNodeTerminate() {
    thread.shutdown();
  }
}
