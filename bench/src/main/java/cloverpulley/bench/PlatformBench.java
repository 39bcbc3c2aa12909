package cloverpulley.bench;

import cloverpulley.standins.StandInUpstream;
import cloverpulley.standins.StandInUpstream.Answer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * What the platform's program costs: the size of its jar, the time from its start by the deploy file's {@code run} until
 * {@code /healthz} answers 200, its memory then, and CPU for a request with 10 and with 60 upstreams. With
 * {@code --against FOLDER}, a build of another version is measured by turns with this one.
 */
public final class PlatformBench {

  private static final int FEW = 10;
  private static final int MANY = 60;
  /** Requests before any counts, and those that do: CPU time is told in hundredths of a second. */
  private static final int FIRST = 8_000;
  private static final int COUNTED = 24_000;

  private final Path root;
  private final List<Double> millis = new ArrayList<>();
  private final List<Double> resident = new ArrayList<>();
  private final List<Double> few = new ArrayList<>();
  private final List<Double> many = new ArrayList<>();

  private PlatformBench(Path root) {
    this.root = root;
  }

  /** {@code [--starts N] [--rounds N] [--against FOLDER]}. */
  public static void main(String[] args) throws Exception {
    List<String> given = Arrays.asList(args);
    int starts = number(given, "--starts", 5);
    int rounds = number(given, "--rounds", 3);
    List<PlatformBench> all = new ArrayList<>(List.of(new PlatformBench(Path.of("").toAbsolutePath())));
    if (given.contains("--against")) {
      all.add(new PlatformBench(Path.of(given.get(given.indexOf("--against") + 1)).toAbsolutePath()));
    }
    for (int i = 0; i < starts; i++) {
      for (PlatformBench p : all) {
        p.start();
      }
    }
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    try {
      for (int i = 0; i < rounds; i++) {
        for (PlatformBench p : all) {
          p.few.add(p.requests(group, FEW));
          p.many.add(p.requests(group, MANY));
        }
      }
    } finally {
      group.shutdownGracefully();
    }
    List<String> figures = new ArrayList<>();
    for (int i = 0; i < all.size(); i++) {
      PlatformBench p = all.get(i);
      String at = i == 0 ? "" : "against_";
      System.out.println(p.root.getFileName() + ": start " + p.millis + " ms, resident " + p.resident + " MB, CPU a request " + p.few
          + " us with " + FEW + " upstreams, " + p.many + " with " + MANY);
      figures.addAll(List.of(at + "jar_bytes", Long.toString(Files.size(jar(p.root))), at + "start_ms",
          ChildProcess.figure(median(p.millis)), at + "resident_mb", ChildProcess.figure(median(p.resident)), at + "cpu_us",
          ChildProcess.figure(median(p.many)), at + "growth", ChildProcess.figure(median(p.many) / median(p.few))));
    }
    System.out.println(ChildProcess.json(figures.toArray(String[]::new)));
  }

  private static int number(List<String> given, String option, int otherwise) {
    return given.contains(option) ? Integer.parseInt(given.get(given.indexOf(option) + 1)) : otherwise;
  }

  private static Path jar(Path root) {
    Path moved = root.resolve("balancer/target/cloverpulley.jar");
    return Files.exists(moved) ? moved : root.resolve("target/cloverpulley.jar");
  }

  private static double median(List<Double> values) {
    return values.stream().sorted().toList().get(values.size() / 2);
  }

  private static double rounded(double value) {
    return Math.round(value * 10) / 10.0;
  }

  private void start() throws IOException, InterruptedException {
    try (BalancerProcess p = new BalancerProcess(root, List.of("127.0.0.1:1"))) {
      millis.add(rounded(p.startMillis));
      resident.add(rounded(p.residentMb()));
    }
  }

  /** CPU of a request in microseconds, with so many upstreams that answer at once. */
  private double requests(EventLoopGroup group, int upstreams) throws Exception {
    List<StandInUpstream> servers = new ArrayList<>();
    try {
      for (int i = 0; i < upstreams; i++) {
        servers.add(new StandInUpstream(group, r -> Answer.ok()));
      }
      try (BalancerProcess p = new BalancerProcess(root, servers.stream().map(StandInUpstream::address).toList())) {
        p.ask(FIRST);
        double before = p.cpuMicros();
        int served = p.ask(COUNTED);
        double cpu = p.cpuMicros() - before;
        if (served < COUNTED) {
          throw new IOException("served " + served + " of " + COUNTED + ": the figure would not be that of a request served");
        }
        return rounded(cpu / COUNTED);
      }
    } finally {
      servers.forEach(StandInUpstream::close);
    }
  }
}
