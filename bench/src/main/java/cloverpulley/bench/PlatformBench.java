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
 * Measures the cost of the balancer: the size of its jar, the time from its start by the deploy file's {@code run} until
 * {@code /healthz} returns 200, its resident memory then, and the CPU time per request with 10 and with 60 upstreams. With
 * {@code --against FOLDER}, a build of another version is measured alternately with this one.
 */
public final class PlatformBench {

  private static final int SMALL_FLEET = 10;
  private static final int LARGE_FLEET = 60;
  /** Requests for the warm-up, and measured ones: so many because the CPU time of a process is reported in hundredths of a second. */
  private static final int WARM_UP_REQUESTS = 8_000;
  private static final int MEASURED_REQUESTS = 24_000;

  private final Path root;
  private final List<Double> startMillis = new ArrayList<>();
  private final List<Double> residentMb = new ArrayList<>();
  private final List<Double> smallFleetMicros = new ArrayList<>();
  private final List<Double> largeFleetMicros = new ArrayList<>();

  private PlatformBench(Path root) {
    this.root = root;
  }

  /** {@code [--starts N] [--rounds N] [--against FOLDER]}. */
  public static void main(String[] args) throws Exception {
    List<String> arguments = Arrays.asList(args);
    int starts = number(arguments, "--starts", 5);
    int rounds = number(arguments, "--rounds", 3);
    List<PlatformBench> checkouts = new ArrayList<>(List.of(new PlatformBench(Path.of("").toAbsolutePath())));
    if (arguments.contains("--against")) {
      checkouts.add(new PlatformBench(Path.of(arguments.get(arguments.indexOf("--against") + 1)).toAbsolutePath()));
    }
    for (int i = 0; i < starts; i++) {
      for (PlatformBench p : checkouts) {
        p.measureStart();
      }
    }
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    try {
      for (int i = 0; i < rounds; i++) {
        for (PlatformBench p : checkouts) {
          p.smallFleetMicros.add(p.cpuMicrosPerRequest(group, SMALL_FLEET));
          p.largeFleetMicros.add(p.cpuMicrosPerRequest(group, LARGE_FLEET));
        }
      }
    } finally {
      group.shutdownGracefully();
    }
    List<String> figures = new ArrayList<>();
    for (int i = 0; i < checkouts.size(); i++) {
      PlatformBench p = checkouts.get(i);
      String prefix = i == 0 ? "" : "against_";
      System.out.println(p.root.getFileName() + ": start " + p.startMillis + " ms, resident " + p.residentMb + " MB, CPU per request "
          + p.smallFleetMicros
          + " us with " + SMALL_FLEET + " upstreams, " + p.largeFleetMicros + " with " + LARGE_FLEET);
      figures.addAll(List.of(prefix + "jar_bytes", Long.toString(Files.size(jar(p.root))), prefix + "start_ms",
          ChildProcess.figure(median(p.startMillis)), prefix + "resident_mb", ChildProcess.figure(median(p.residentMb)), prefix + "cpu_us",
          ChildProcess.figure(median(p.largeFleetMicros)), prefix + "growth",
          ChildProcess.figure(median(p.largeFleetMicros) / median(p.smallFleetMicros))));
    }
    System.out.println(ChildProcess.json(figures.toArray(String[]::new)));
  }

  private static int number(List<String> arguments, String option, int defaultValue) {
    return arguments.contains(option) ? Integer.parseInt(arguments.get(arguments.indexOf(option) + 1)) : defaultValue;
  }

  private static Path jar(Path root) {
    Path moduleJar = root.resolve("balancer/target/cloverpulley.jar");
    return Files.exists(moduleJar) ? moduleJar : root.resolve("target/cloverpulley.jar");
  }

  private static double median(List<Double> values) {
    return values.stream().sorted().toList().get(values.size() / 2);
  }

  private static double rounded(double value) {
    return Math.round(value * 10) / 10.0;
  }

  private void measureStart() throws IOException, InterruptedException {
    try (BalancerProcess p = new BalancerProcess(root, List.of("127.0.0.1:1"))) {
      startMillis.add(rounded(p.startMillis));
      residentMb.add(rounded(p.residentMb()));
    }
  }

  /** CPU time per request in microseconds, with this many upstreams that respond immediately. */
  private double cpuMicrosPerRequest(EventLoopGroup group, int upstreams) throws Exception {
    List<StandInUpstream> servers = new ArrayList<>();
    try {
      for (int i = 0; i < upstreams; i++) {
        servers.add(new StandInUpstream(group, r -> Answer.ok()));
      }
      try (BalancerProcess p = new BalancerProcess(root, servers.stream().map(StandInUpstream::address).toList())) {
        p.sendRequests(WARM_UP_REQUESTS);
        double before = p.cpuMicros();
        int served = p.sendRequests(MEASURED_REQUESTS);
        double cpu = p.cpuMicros() - before;
        if (served < MEASURED_REQUESTS) {
          throw new IOException("served " + served + " of " + MEASURED_REQUESTS + ": the CPU time per served request cannot be computed");
        }
        return rounded(cpu / MEASURED_REQUESTS);
      }
    } finally {
      servers.forEach(StandInUpstream::close);
    }
  }
}
