package cloverpulley.bench;

import cloverpulley.standins.StandInUpstream;
import cloverpulley.standins.StandInUpstream.Answer;
import cloverpulley.standins.StandInUpstream.Seen;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What operators do to the platform's program, under load and with idle callers at its door throughout: new versions, upstreams taken out and
 * called back, other settings, spoilt ones among them; and its memory with many long answers to slow readers. Stand-ins only.
 */
public final class OperationsBench {

  private static final int UPSTREAMS = 4;
  private static final int IDLE_CALLERS = 8;
  private static final long IDLE_MILLIS = 4000;
  /** How long an upstream is out; what it may still get after the yes, for it was on its way. */
  private static final long OUT_MILLIS = 60;
  private static final long ON_ITS_WAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final List<Double> door = Collections.synchronizedList(new ArrayList<>());
  private final List<Double> retunes = new ArrayList<>();
  private final List<Double> back = new ArrayList<>();
  private final List<StandInUpstream> upstreams = new ArrayList<>();
  private int afterOut;
  private int wrongTaken;
  private int classes;

  private OperationsBench() {}

  /** {@code [--upgrades N] [--each N]}: so many upgrades, and before each so many outs and retunes. */
  public static void main(String[] args) throws Exception {
    List<String> given = Arrays.asList(args);
    int upgrades = number(given, "--upgrades", 20);
    int each = number(given, "--each", 10);
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    try {
      new OperationsBench().run(group, upgrades, each);
    } finally {
      group.shutdownGracefully();
    }
  }

  private static int number(List<String> given, String option, int otherwise) {
    return given.contains(option) ? Integer.parseInt(given.get(given.indexOf(option) + 1)) : otherwise;
  }

  private void run(EventLoopGroup group, int upgrades, int each) throws Exception {
    for (int i = 0; i < UPSTREAMS; i++) {
      upstreams.add(new StandInUpstream(group, r -> Answer.ok(5)));
    }
    double two = 0;
    double longRss;
    RequestLoad load;
    try (BalancerDeployment operated = new BalancerDeployment(upstreams.stream().map(StandInUpstream::address).toList())) {
      operated.start();
      operated.awaitReady(0);
      load = new RequestLoad(operated.port());
      Thread idle = idleCallers(operated);
      for (int i = 1; i <= upgrades; i++) {
        for (int n = 0; n < each; n++) {
          outAndBack(operated, upstreams.get(n % UPSTREAMS), n % UPSTREAMS);
          retune(operated);
        }
        operated.start();
        operated.awaitReady(i);
        two = Math.max(two, operated.residentMb());
        operated.stopOldest();
        System.out.println("upgrade " + i + ": " + load);
      }
      load.close();
      idle.interrupt();
      idle.join();
      longRss = LongResponses.residentMb();
    }
    Set<String> ids = new HashSet<>();
    long doubles = upstreams.stream().flatMap(u -> u.seen().stream()).map(Seen::id).filter(id -> !ids.add(id)).count();
    upstreams.forEach(StandInUpstream::close);
    System.out.println(ChildProcess.json("upgrades", Integer.toString(upgrades), "outs", Integer.toString(back.size()), "retunes",
        Integer.toString(retunes.size()), "answered", Long.toString(load.answered()), "lost", Long.toString(load.lost()), "reset",
        Long.toString(load.reset()), "double", Long.toString(doubles), "after_out", Integer.toString(afterOut), "back_within_s",
        ChildProcess.figure(Collections.max(back)), "door_p99_ms", ChildProcess.figure(part(door, 0.99)), "retune_p99_ms",
        ChildProcess.figure(part(retunes, 0.99)), "wrong_settings_taken", Integer.toString(wrongTaken), "rss_two_mb", ChildProcess.figure(two),
        "long_rss_mb", ChildProcess.figure(longRss)));
  }

  private static double part(List<Double> values, double part) {
    List<Double> sorted = values.stream().sorted().toList();
    return sorted.get((int) Math.ceil(sorted.size() * part) - 1);
  }

  /** Callers that connect and say nothing, anew each time they are let go. */
  private static Thread idleCallers(BalancerDeployment operated) {
    Thread thread = new Thread(() -> {
      try {
        while (true) {
          List<Socket> sockets = new ArrayList<>();
          try {
            for (int i = 0; i < IDLE_CALLERS; i++) {
              sockets.add(operated.caller());
            }
            TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
          } catch (IOException e) {
            TimeUnit.MILLISECONDS.sleep(1); // Between two processes.
          } finally {
            for (Socket s : sockets) {
              s.close();
            }
          }
        }
      } catch (IOException | InterruptedException e) {
        return;
      }
    }, "idle callers");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void call(BalancerDeployment operated, String call) throws IOException {
    long begun = System.nanoTime();
    String status = operated.call(call);
    door.add((System.nanoTime() - begun) / 1e6);
    if (!status.startsWith("2")) {
      throw new IOException(call + " was answered " + status);
    }
  }

  private void outAndBack(BalancerDeployment operated, StandInUpstream upstream, int number) throws Exception {
    call(operated, "POST /control/upstreams/s-" + number + "/offline");
    long out = System.nanoTime() + ON_ITS_WAY_NANOS;
    TimeUnit.MILLISECONDS.sleep(OUT_MILLIS);
    long called = System.nanoTime();
    afterOut += (int) upstream.seen().stream().filter(s -> s.atNanos() > out && s.atNanos() < called).count();
    call(operated, "POST /control/upstreams/s-" + number + "/online");
    long before = System.nanoTime();
    int seen = upstream.seen().size();
    while (upstream.seen().size() == seen) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    back.add((System.nanoTime() - before) / 1e9);
  }

  /** Spoilt settings, which have to change nothing, then good ones; how long until a request of the new class is served. */
  private void retune(BalancerDeployment operated) throws Exception {
    String name = "v" + ++classes;
    operated.settings("bad" + name, "0");
    operated.hangUp();
    operated.settings(name, "2000000000");
    long begun = System.nanoTime();
    operated.hangUp();
    while (operated.ask(name) == 400) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    retunes.add((System.nanoTime() - begun) / 1e6);
    wrongTaken += operated.ask("bad" + name) == 400 ? 0 : 1;
  }
}
