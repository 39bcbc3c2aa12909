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
 * Measures operator actions on the balancer under load, with idle connections to its management port throughout: upgrades, upstreams set
 * offline and online, and changed settings, invalid ones among them; then its memory with many long responses to slow readers. All upstreams
 * are test servers.
 */
public final class OperationsBench {

  private static final int UPSTREAMS = 4;
  private static final int IDLE_CONNECTIONS = 8;
  private static final long IDLE_MILLIS = 4000;
  /** How long an upstream stays offline; for {@code IN_FLIGHT_NANOS} after the confirmation it may still receive requests that were in flight. */
  private static final long OFFLINE_MILLIS = 60;
  private static final long IN_FLIGHT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final List<Double> managementMillis = Collections.synchronizedList(new ArrayList<>());
  private final List<Double> reloadMillis = new ArrayList<>();
  private final List<Double> returnSeconds = new ArrayList<>();
  private final List<StandInUpstream> upstreams = new ArrayList<>();
  private int sentWhileOffline;
  private int invalidSettingsAccepted;
  private int classCount;

  private OperationsBench() {}

  /**
   * {@code [--upgrades N] [--each N]}: the number of upgrades, and before each upgrade the number of times that an
   * upstream is set offline and that the settings change.
   */
  public static void main(String[] args) throws Exception {
    List<String> arguments = Arrays.asList(args);
    int upgrades = number(arguments, "--upgrades", 20);
    int changesPerUpgrade = number(arguments, "--each", 10);
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    try {
      new OperationsBench().run(group, upgrades, changesPerUpgrade);
    } finally {
      group.shutdownGracefully();
    }
  }

  private static int number(List<String> arguments, String option, int defaultValue) {
    return arguments.contains(option) ? Integer.parseInt(arguments.get(arguments.indexOf(option) + 1)) : defaultValue;
  }

  private void run(EventLoopGroup group, int upgrades, int changesPerUpgrade) throws Exception {
    for (int i = 0; i < UPSTREAMS; i++) {
      upstreams.add(new StandInUpstream(group, r -> Answer.ok(5)));
    }
    double twoProcessesMb = 0;
    double longResponsesMb;
    RequestLoad load;
    try (BalancerDeployment deployment = new BalancerDeployment(upstreams.stream().map(StandInUpstream::address).toList())) {
      deployment.start();
      deployment.awaitReady(0);
      load = new RequestLoad(deployment.port());
      Thread idle = startIdleConnections(deployment);
      for (int i = 1; i <= upgrades; i++) {
        for (int n = 0; n < changesPerUpgrade; n++) {
          setOfflineAndOnline(deployment, upstreams.get(n % UPSTREAMS), n % UPSTREAMS);
          reload(deployment);
        }
        deployment.start();
        deployment.awaitReady(i);
        twoProcessesMb = Math.max(twoProcessesMb, deployment.residentMb());
        deployment.stopOldest();
        System.out.println("upgrade " + i + ": " + load);
      }
      load.close();
      idle.interrupt();
      idle.join();
      longResponsesMb = LongResponses.peakResidentMb();
    }
    Set<String> ids = new HashSet<>();
    long duplicates = upstreams.stream().flatMap(u -> u.seen().stream()).map(Seen::id).filter(id -> !ids.add(id)).count();
    upstreams.forEach(StandInUpstream::close);
    System.out.println(ChildProcess.json("upgrades", Integer.toString(upgrades), "outs", Integer.toString(returnSeconds.size()), "retunes",
        Integer.toString(reloadMillis.size()), "answered", Long.toString(load.answered()), "lost", Long.toString(load.lost()), "reset",
        Long.toString(load.reset()), "double", Long.toString(duplicates), "after_out", Integer.toString(sentWhileOffline), "back_within_s",
        ChildProcess.figure(Collections.max(returnSeconds)), "door_p99_ms", ChildProcess.figure(percentile(managementMillis, 0.99)), "retune_p99_ms",
        ChildProcess.figure(percentile(reloadMillis, 0.99)), "wrong_settings_taken", Integer.toString(invalidSettingsAccepted), "rss_two_mb",
        ChildProcess.figure(twoProcessesMb), "long_rss_mb", ChildProcess.figure(longResponsesMb)));
  }

  private static double percentile(List<Double> values, double percentile) {
    List<Double> sorted = values.stream().sorted().toList();
    return sorted.get((int) Math.ceil(sorted.size() * percentile) - 1);
  }

  /** Opens connections that send nothing, and opens them again each time they are closed. */
  private static Thread startIdleConnections(BalancerDeployment deployment) {
    Thread thread = new Thread(() -> {
      try {
        while (true) {
          List<Socket> sockets = new ArrayList<>();
          try {
            for (int i = 0; i < IDLE_CONNECTIONS; i++) {
              sockets.add(deployment.connectToManagement());
            }
            TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
          } catch (IOException e) {
            TimeUnit.MILLISECONDS.sleep(1); // The newest process does not listen yet.
          } finally {
            for (Socket s : sockets) {
              s.close();
            }
          }
        }
      } catch (IOException | InterruptedException e) {
        return;
      }
    }, "idle connections");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void request(BalancerDeployment deployment, String request) throws IOException {
    long startNanos = System.nanoTime();
    String status = deployment.request(request);
    managementMillis.add((System.nanoTime() - startNanos) / 1e6);
    if (!status.startsWith("2")) {
      throw new IOException(request + " returned status " + status);
    }
  }

  private void setOfflineAndOnline(BalancerDeployment deployment, StandInUpstream upstream, int number) throws Exception {
    request(deployment, "POST /control/upstreams/s-" + number + "/offline");
    long offlineNanos = System.nanoTime() + IN_FLIGHT_NANOS;
    TimeUnit.MILLISECONDS.sleep(OFFLINE_MILLIS);
    long onlineNanos = System.nanoTime();
    sentWhileOffline += (int) upstream.seen().stream().filter(s -> s.atNanos() > offlineNanos && s.atNanos() < onlineNanos).count();
    request(deployment, "POST /control/upstreams/s-" + number + "/online");
    long before = System.nanoTime();
    int seen = upstream.seen().size();
    while (upstream.seen().size() == seen) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    returnSeconds.add((System.nanoTime() - before) / 1e9);
  }

  /** Writes invalid settings, which must have no effect, then valid ones, and measures the time until a request of the new class is accepted. */
  private void reload(BalancerDeployment deployment) throws Exception {
    String name = "v" + ++classCount;
    deployment.writeSettings("bad" + name, "0");
    deployment.reloadSettings();
    deployment.writeSettings(name, "2000000000");
    long startNanos = System.nanoTime();
    deployment.reloadSettings();
    while (deployment.requestOfClass(name) == 400) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    reloadMillis.add((System.nanoTime() - startNanos) / 1e6);
    invalidSettingsAccepted += deployment.requestOfClass("bad" + name) == 400 ? 0 : 1;
  }
}
