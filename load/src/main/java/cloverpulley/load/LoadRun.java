package cloverpulley.load;

import cloverpulley.load.RequestGenerator.PlannedRequest;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Runs a plan, or replays a trace with the settings of a plan, against the plan's target. */
public final class LoadRun {

  private LoadRun() {}

  /** Warms up the generator with a short load against an in-process server, using the plan's protocol. */
  public static void warmUp(Plan plan) throws IOException, InterruptedException {
    WarmUp.run(plan);
  }

  /** Runs a plan; {@code everySecond} is called once a second during the run. */
  public static Results run(Plan plan, Consumer<Results> everySecond) throws InterruptedException {
    return run(plan, everySecond, (planned, id, outcome, took) -> { });
  }

  /** Runs a plan; {@code attemptListener} is notified of each attempt. */
  public static Results run(Plan plan, Consumer<Results> everySecond, Runner.AttemptListener attemptListener)
      throws InterruptedException {
    RequestGenerator generator = new RequestGenerator(plan);
    return run(plan, generator::next, everySecond, attemptListener);
  }

  /**
   * The results of a replay.
   *
   * @param damage where and why the trace could not be read further; null if it is intact
   */
  public record ReplayResult(Results results, String damage) {}

  /** Replays a trace {@code speed} times as fast as it was recorded. */
  public static ReplayResult replay(Plan plan, Path trace, double speed, Consumer<Results> everySecond)
      throws IOException, InterruptedException {
    Checks.require(speed > 0, "the speed must be above 0");
    Plan whole;
    try (Trace.Reader reader = open(trace)) {
      whole = Replay.plan(plan, reader, speed);
    }
    try (Trace.Reader reader = open(trace)) {
      Results results = run(whole, new Replay(reader, whole, speed), everySecond, (planned, id, outcome, took) -> { });
      return new ReplayResult(results, reader.damage());
    }
  }

  private static Trace.Reader open(Path trace) throws IOException {
    return new Trace.Reader(new BufferedInputStream(Files.newInputStream(trace)));
  }

  private static Results run(Plan plan, Supplier<PlannedRequest> source, Consumer<Results> everySecond,
      Runner.AttemptListener attemptListener) throws InterruptedException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    EventLoop loop = group.next();
    Driver driver = loop.submit(() -> driver(plan, loop)).syncUninterruptibly().getNow();
    try {
      // Two runs of the same plan against the same server use different ids, because a server may deduplicate by id.
      String prefix = "l" + Long.toString(System.nanoTime(), 36) + "-";
      Results results = new Runner(plan, loop, driver, prefix).everySecond(everySecond).attemptListener(attemptListener).run(source);
      results.duplicateResponses = loop.submit(driver::duplicateResponses).syncUninterruptibly().getNow();
      return results;
    } finally {
      loop.submit(driver::close).syncUninterruptibly();
      group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
    }
  }

  private static Driver driver(Plan plan, EventLoop loop) {
    return switch (plan.target().protocol()) {
      case HTTP -> new HttpDriver(plan, loop);
      case EXT_PROC -> new ExtProcDriver(plan, loop);
      case DNS_UDP, DNS_TCP -> new DnsDriver(plan, loop);
    };
  }
}
