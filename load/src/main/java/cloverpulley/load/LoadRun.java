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

/** Runs a plan, or a trace by a plan, against what the plan names as its target. */
public final class LoadRun {

  private LoadRun() {}

  /** Makes the generator ready: a short load against a server of its own, by the plan's protocol. */
  public static void warmUp(Plan plan) throws IOException, InterruptedException {
    WarmUp.run(plan);
  }

  /** Plays a plan; {@code everySecond} is told while it goes on. */
  public static Results play(Plan plan, Consumer<Results> everySecond) throws InterruptedException {
    return play(plan, everySecond, (planned, id, outcome, took) -> { });
  }

  /** The same, told of each try as well. */
  public static Results play(Plan plan, Consumer<Results> everySecond, Runner.AttemptListener eachTry) throws InterruptedException {
    RequestGenerator draw = new RequestGenerator(plan);
    return play(plan, draw::next, everySecond, eachTry);
  }

  /** What came of a replay, and where the trace was damaged; null where it was not. */
  public record ReplayResult(Results results, String damage) {}

  /** Plays a trace at so many times its speed. */
  public static ReplayResult replay(Plan plan, Path trace, double speed, Consumer<Results> everySecond)
      throws IOException, InterruptedException {
    Checks.require(speed > 0, "the speed must be above 0");
    Plan whole;
    try (Trace.Reader reader = open(trace)) {
      whole = Replay.plan(plan, reader, speed);
    }
    try (Trace.Reader reader = open(trace)) {
      Results results = play(whole, new Replay(reader, whole, speed), everySecond, (planned, id, outcome, took) -> { });
      return new ReplayResult(results, reader.damage());
    }
  }

  private static Trace.Reader open(Path trace) throws IOException {
    return new Trace.Reader(new BufferedInputStream(Files.newInputStream(trace)));
  }

  private static Results play(Plan plan, Supplier<PlannedRequest> source, Consumer<Results> everySecond, Runner.AttemptListener eachTry)
      throws InterruptedException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    EventLoop loop = group.next();
    Driver driver = loop.submit(() -> driver(plan, loop)).syncUninterruptibly().getNow();
    try {
      // Two runs of one plan against one server have ids of their own: a server may remember them.
      String prefix = "l" + Long.toString(System.nanoTime(), 36) + "-";
      Results results = new Runner(plan, loop, driver, prefix).everySecond(everySecond).eachTry(eachTry).run(source);
      results.doubles = loop.submit(driver::doubles).syncUninterruptibly().getNow();
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
