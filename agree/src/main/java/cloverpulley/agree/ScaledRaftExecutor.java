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
 * Runs Raft on a single thread and with scaled time. MicroRaft configures heartbeats in whole seconds; here its time runs ten times faster, on a
 * monotonic clock, so that the loss of a leader is detected within one real second.
 */
final class ScaledRaftExecutor implements RaftNodeExecutor, RaftNodeLifecycleAware {

  /** How many times faster MicroRaft's time runs. */
  static final int TIME_SCALE = 10;

  private final ScheduledExecutorService thread;

  ScaledRaftExecutor() {
    ScheduledThreadPoolExecutor t = new ScheduledThreadPoolExecutor(1, task -> {
      Thread thread = new Thread(task, "raft");
      thread.setDaemon(true);
      return thread;
    });
    t.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    thread = t;
  }

  /** In real time: a heartbeat each 0.2 s, an election after 1 s without one, an election timeout of 0.3 s. */
  static RaftConfig config(int snapshotEvery) {
    return RaftConfig.newBuilder().setLeaderHeartbeatPeriodSecs(2).setLeaderHeartbeatTimeoutSecs(10).setLeaderElectionTimeoutMillis(3000)
        .setCommitCountToTakeSnapshot(snapshotEvery).build();
  }

  /** MicroRaft's clock, scaled from a clock in microseconds. */
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
        return micros.getAsLong() * TIME_SCALE / 1000;
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
      return; // The voter has been terminated.
    }
  }

  @Override
  public void schedule(Runnable task, long delay, TimeUnit unit) {
    try {
      thread.schedule(task, unit.toMicros(delay) / TIME_SCALE, TimeUnit.MICROSECONDS);
    } catch (RejectedExecutionException e) {
      return;
    }
  }

  @Override
  public void onRaftNodeTerminate() {
    thread.shutdown();
  }
}
