package cloverpulley.standins.soak;

import cloverpulley.standins.StandInDiscovery;
import cloverpulley.standins.faults.Relay;
import cloverpulley.standins.soak.SoakCounts.Breach;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A seeded run of real balancers on loopback under faults: signals and upgrades in series with the earliest kills, steps of the wall clock, failing
 * calls, a folder that fails or is emptied, servers that drain, restart and hang, a discovery that is cut off. What the balancers do is judged by what
 * clients, servers and the system saw, never by their own word.
 */
public final class Soak {

  /**
   * What a run is made of.
   *
   * @param root the checkout whose deploy file is run
   * @param seconds how long it lasts
   * @param memoryMb limit told to each balancer, and held against its processes together
   * @param clients clients on each balancer; 0 to draw
   * @param crowd connections on each balancer that say nothing
   */
  public record Plan(Path root, long seed, int seconds, int nodes, int memoryMb, int clients, int crowd) {}

  /** What was counted; {@code breaches} by their rule, nothing where all was kept. */
  public record Result(long seed, int requests, int served, int resent, long failedCalls, int processes, long peakMemoryKb, int peakDescriptors,
      Map<String, Integer> breaches, List<String> examples) {

    public boolean isClean() {
      return breaches.isEmpty();
    }
  }

  private static final int SERVERS = 6;
  private static final int WARM_UP_REQUESTS = 20;
  private static final int SOCKETS = 1024;
  private static final long KILL_AFTER_DEADLINE_MILLIS = 700;
  private static final long READY_MILLIS = 6000;
  private static final long SAMPLE_MILLIS = 50;
  /** A new process has joined and an old one has told it what it promised by then. */
  private static final long TELL_MILLIS = 700;
  /** Trouble of a node's own that frees its connections of their answers ends so long after it. */
  private static final long TROUBLE_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final Plan plan;
  private final SplittableRandom random;
  private final SoakCounts counts = new SoakCounts();
  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
  private final Path folder;
  private final List<SoakNode> nodes = new ArrayList<>();
  private final List<SoakServer> servers = new ArrayList<>();
  private final SoakNotifications notices = new SoakNotifications();
  private final List<String> story = new CopyOnWriteArrayList<>();
  private final long longestMillis;
  private final long begunNanos = System.nanoTime();
  private StandInDiscovery discovery;
  private Relay relay;
  private SoakClients clients;
  private volatile boolean over;
  private volatile long peakMemoryKb;
  private volatile int peakDescriptors;

  private Soak(Plan plan) throws IOException {
    this.plan = plan;
    random = new SplittableRandom(plan.seed);
    longestMillis = random.nextInt(10, 31) * 100L;
    folder = Files.createTempDirectory("soak");
  }

  /** Plays a run. */
  public static Result run(Plan plan) throws IOException, InterruptedException {
    Soak soak = new Soak(plan);
    try {
      return soak.play();
    } finally {
      soak.close();
    }
  }

  private Result play() throws IOException, InterruptedException {
    FaultShim shim = FaultShim.build(folder);
    discovery = new StandInDiscovery(group);
    String[] at = discovery.address().split(":");
    relay = new Relay(new InetSocketAddress(at[0], Integer.parseInt(at[1])));
    for (int i = 0; i < SERVERS; i++) {
      SoakServer server = new SoakServer("s-" + i, group, random.split());
      servers.add(server);
      discovery.set(server.id, server.address(), 0, "ready", 0);
    }
    for (int i = 0; i < plan.nodes; i++) {
      nodes.add(new SoakNode(i, folder, plan.root, shim, plan.seed));
      nodes.get(i).configure(SoakSettings.text(plan, nodes.get(i), relay.address().getPort(), longestMillis, servers, i));
      nodes.get(i).start();
    }
    for (SoakNode node : nodes) {
      awaitReady(node, node.newest());
    }
    for (SoakServer server : servers) {
      warmUp(server);
    }
    Thread observer = new Thread(this::observe, "observer");
    observer.start();
    int each = plan.clients > 0 ? plan.clients : random.nextInt(12, 49);
    clients = new SoakClients(nodes, each * nodes.size(), longestMillis, random.split());
    if (plan.crowd > 0) {
      nodes.forEach(n -> clients.crowd(n, plan.crowd));
    }
    List<Thread> operators = new ArrayList<>();
    for (SoakNode node : nodes) {
      SplittableRandom own = random.split();
      operators.add(new Thread(() -> operate(node, own), "operator " + node.number));
    }
    SplittableRandom own = random.split();
    operators.add(new Thread(() -> troubleServers(own), "servers"));
    operators.forEach(Thread::start);
    for (Thread t : operators) {
      t.join();
    }
    clients.close();
    over = true;
    observer.join();
    judge();
    return result();
  }

  /** Runs the server's own code before it is measured: while it is loaded the server itself is late. */
  private static void warmUp(SoakServer server) throws IOException {
    String[] at = server.address().split(":");
    for (int i = 0; i < WARM_UP_REQUESTS; i++) {
      try (Socket socket = new Socket(at[0], Integer.parseInt(at[1]))) {
        socket.getOutputStream().write("GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: w-0\r\nX-Expires-In-Ms: 1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        socket.getInputStream().read();
      }
    }
  }

  private Result result() {
    int served = (int) clients.asked.values().stream().filter(a -> a.status() == 200).count();
    long failed = nodes.stream().flatMap(n -> n.processes.stream()).mapToLong(p -> p.faults.failed()).sum();
    int processes = nodes.stream().mapToInt(n -> n.processes.size()).sum();
    Map<String, Integer> breaches = new TreeMap<>();
    counts.all().forEach((breach, count) -> breaches.put(breach.name().toLowerCase(Locale.ROOT), count));
    List<String> told = new ArrayList<>(counts.examples());
    if (!counts.isEmpty()) {
      told.addAll(story);
    }
    return new Result(plan.seed, clients.asked.size(), served, clients.resent.get(), failed, processes, peakMemoryKb, peakDescriptors, breaches, told);
  }

  private boolean goesOn() {
    return System.nanoTime() - begunNanos < TimeUnit.SECONDS.toNanos(plan.seconds);
  }

  private void say(String what) {
    story.add(String.format("%7.3f %s", (System.nanoTime() - begunNanos) / 1e9, what));
  }

  private static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // ---- What is done to a balancer ------------------------------------------------------------------------

  private void operate(SoakNode node, SplittableRandom r) {
    try {
      while (goesOn()) {
        sleep(r.nextInt(100, 800));
        act(node, r);
      }
    } catch (IOException | InterruptedException e) {
      counts.add(Breach.ENDED, "the run failed: " + e);
    }
  }

  private void act(SoakNode node, SplittableRandom r) throws IOException, InterruptedException {
    SoakProcess process = node.newest();
    if (process == null) {
      restart(node, r);
      return;
    }
    switch (r.nextInt(12)) {
      case 0, 1, 2 -> upgrade(node, process, r);
      case 3 -> {
        say("n" + node.number + " SIGKILL, a new start");
        node.alive().forEach(SoakProcess::kill);
        notices.forget(node.number, System.nanoTime());
        sleep(1000);
        restart(node, r);
      }
      case 4 -> stop(node, r);
      case 5 -> {
        say("n" + node.number + " SIGHUP");
        process.hangUp();
      }
      case 6 -> {
        say("n" + node.number + " folder emptied");
        node.emptyFolder();
      }
      case 7 -> failFolder(node, process, r);
      case 8 -> step(node, process, r);
      case 9 -> failSockets(node, process, r);
      default -> offline(node, r);
    }
  }

  private boolean restart(SoakNode node, SplittableRandom r) throws IOException, InterruptedException {
    node.emptyFolder();
    if (node.alive().isEmpty()) {
      notices.forget(node.number, System.nanoTime());
    }
    SoakProcess process = node.start();
    say("n" + node.number + " started p" + process.number + " beside " + (node.alive().size() - 1));
    forgetWithoutPredecessor(node, process);
    if (r.nextInt(4) == 0) {
      process.faults.stepWallClock(stepOf(r));
    }
    return awaitReady(node, process);
  }

  /** What was promised is owed where a process that knew it lives long enough to tell the new one. */
  private void forgetWithoutPredecessor(SoakNode node, SoakProcess fresh) {
    sleep(TELL_MILLIS);
    if (node.alive().stream().noneMatch(p -> p != fresh)) {
      notices.forget(node.number, fresh.startedNanos);
    }
  }

  private static long stepOf(SplittableRandom r) {
    long[] seconds = {-3600, -5, 5, 3600};
    return TimeUnit.SECONDS.toNanos(seconds[r.nextInt(seconds.length)]);
  }

  private boolean awaitReady(SoakNode node, SoakProcess process) {
    while (process.isAlive() && System.nanoTime() - process.startedNanos < TimeUnit.MILLISECONDS.toNanos(READY_MILLIS)) {
      if (process.call("GET /control/ready") == 200) {
        process.readyNanos = System.nanoTime();
        notices.disturbed(node.number, process.readyNanos);
        return true;
      }
      sleep(10);
    }
    if (process.signal == SoakProcess.Signal.NONE && process.isAlive()) {
      counts.add(Breach.NOT_READY, "n" + node.number + " p" + process.number);
    }
    return false;
  }

  /** A new version beside the old one; it may be killed at any moment, and another one started in an emptied folder. */
  private void upgrade(SoakNode node, SoakProcess old, SplittableRandom r) throws IOException, InterruptedException {
    SoakProcess fresh = node.start();
    say("n" + node.number + " upgrade: p" + old.number + " to p" + fresh.number);
    if (r.nextInt(3) == 0) {
      long step = stepOf(r);
      fresh.faults.stepWallClock(step);
      say("n" + node.number + " p" + fresh.number + " wall clock " + step / 1_000_000_000 + " s");
    }
    if (r.nextInt(5) == 0) {
      node.emptyFolder();
      say("n" + node.number + " folder emptied");
    }
    if (r.nextInt(3) == 0) {
      sleep(r.nextInt(0, 2000));
      killSuccessor(node, old, fresh, r);
    } else if (awaitReady(node, fresh)) {
      end(node, old);
      if (r.nextInt(3) == 0) {
        sleep(r.nextInt(0, 500));
        killSuccessor(node, old, fresh, r);
      }
      overdue(node, old);
    }
  }

  private void killSuccessor(SoakNode node, SoakProcess old, SoakProcess fresh, SplittableRandom r) throws IOException, InterruptedException {
    say("n" + node.number + " SIGKILL p" + fresh.number);
    fresh.kill();
    sleep(1000);
    if (r.nextBoolean() && restart(node, r) && old.signal == SoakProcess.Signal.NONE) {
      end(node, old);
      overdue(node, old);
    }
  }

  private void end(SoakNode node, SoakProcess process) {
    say("n" + node.number + " SIGTERM p" + process.number);
    process.terminate();
  }

  /** SIGKILL at the earliest moment at which it may come. */
  private void overdue(SoakNode node, SoakProcess process) throws InterruptedException {
    long wait = Math.min(3000, longestMillis) + KILL_AFTER_DEADLINE_MILLIS - (System.nanoTime() - process.signalNanos) / 1_000_000;
    if (!process.awaitEnd(Math.max(0, wait))) {
      counts.add(Breach.OVERDUE, "n" + node.number + " p" + process.number);
      process.process.destroyForcibly();
    }
  }

  private void stop(SoakNode node, SplittableRandom r) throws IOException, InterruptedException {
    List<SoakProcess> all = node.alive();
    all.stream().filter(p -> p.signal == SoakProcess.Signal.NONE).forEach(p -> end(node, p));
    for (SoakProcess p : all) {
      overdue(node, p);
    }
    notices.forget(node.number, System.nanoTime());
    restart(node, r);
  }

  private void failFolder(SoakNode node, SoakProcess process, SplittableRandom r) {
    int[] errors = {FaultShim.EIO, FaultShim.ENOSPC, FaultShim.EROFS};
    int error = errors[r.nextInt(errors.length)];
    boolean half = r.nextInt(3) == 0;
    say("n" + node.number + " p" + process.number + (half ? " half writes" : " folder fails with " + error));
    process.faults.partialWrites(half);
    process.faults.failFolder(half ? 0 : error);
    sleep(r.nextInt(200, 3000));
    process.faults.failFolder(0);
    process.faults.partialWrites(false);
    say("n" + node.number + " folder works");
  }

  private void step(SoakNode node, SoakProcess process, SplittableRandom r) {
    long step = stepOf(r);
    process.faults.stepWallClock(step);
    say("n" + node.number + " p" + process.number + " wall clock " + step / 1_000_000_000 + " s");
  }

  private void failSockets(SoakNode node, SoakProcess process, SplittableRandom r) {
    int[] calls = {FaultShim.ACCEPT, FaultShim.SOCKET, FaultShim.CONNECT, FaultShim.NONBLOCK, FaultShim.READ, FaultShim.WRITE, FaultShim.OPTION,
        FaultShim.ACCEPT | FaultShim.SOCKET | FaultShim.CONNECT};
    int chosen = calls[r.nextInt(calls.length)];
    int parts = r.nextInt(10, 300);
    say("n" + node.number + " p" + process.number + " socket calls " + chosen + " fail, " + parts + " of 1000");
    process.troubledUntilNanos = Long.MAX_VALUE;
    notices.troubled(node.number);
    process.faults.failSockets(parts, chosen);
    sleep(r.nextInt(200, 3000));
    process.faults.failSockets(0, 0);
    notices.untroubled(node.number);
    process.troubledUntilNanos = System.nanoTime() + TROUBLE_AFTER_NANOS;
    notices.disturbed(node.number, System.nanoTime());
    say("n" + node.number + " socket calls work");
  }

  private void offline(SoakNode node, SplittableRandom r) {
    SoakProcess process = node.newest();
    if (process == null || process.readyNanos == 0) {
      return;
    }
    String id = servers.get(r.nextInt(SERVERS)).id;
    boolean online = notices.isOffline(node.number, id);
    if (online) {
      notices.online(node.number, id);
    }
    int status = process.call("POST /control/upstreams/" + id + (online ? "/online" : "/offline"));
    say("n" + node.number + " p" + process.number + " " + id + (online ? " online: " : " offline: ") + status);
    boolean troubled = process.troubledUntilNanos > System.nanoTime();
    if (status == 200 && !online) {
      notices.offline(node.number, id, System.nanoTime());
    } else if (status != 200 && !troubled && process.isAlive() && process.signal == SoakProcess.Signal.NONE) {
      counts.add(Breach.CALL, "n" + node.number + " p" + process.number + " " + status);
    }
  }

  // ---- What is done to servers and discovery -------------------------------------------------------------

  private void troubleServers(SplittableRandom r) {
    while (goesOn()) {
      sleep(r.nextInt(300, 1500));
      SoakServer server = servers.get(r.nextInt(SERVERS));
      switch (r.nextInt(6)) {
        case 0, 1 -> restartServer(server, r);
        case 2 -> {
          say(server.id + " hangs");
          server.hangs = true;
          sleep(r.nextInt(200, 1500));
          server.hangs = false;
        }
        case 3 -> cutDiscovery(r);
        default -> drain(server, r);
      }
    }
  }

  private void restartServer(SoakServer server, SplittableRandom r) {
    say(server.id + " dies");
    server.stop();
    sleep(r.nextInt(50, 600));
    server.start();
    notices.restarted(server.id, System.nanoTime());
    // Half of the sources word starts by a wall clock that has been stepped.
    long wall = System.currentTimeMillis() + (r.nextBoolean() ? 0 : TimeUnit.NANOSECONDS.toMillis(stepOf(r)));
    discovery.set(server.id, server.address(), 0, "ready", wall);
    say(server.id + " started");
  }

  private void cutDiscovery(SplittableRandom r) {
    say("discovery is cut off");
    relay.allow(r.nextBoolean() ? Relay.Direction.NONE : Relay.Direction.TO_TARGET);
    notices.discoveryCut();
    sleep(r.nextInt(200, 3500));
    relay.allow(Relay.Direction.BOTH);
    notices.discoveryBack();
    say("discovery is back");
  }

  private void drain(SoakServer server, SplittableRandom r) {
    discovery.set(server.id, server.address(), 0, "draining", 0);
    notices.draining(server.id, System.nanoTime());
    say(server.id + " drains");
    sleep(r.nextInt(1000, 4500));
    notices.ready(server.id);
    discovery.set(server.id, server.address(), 0, "ready", 0);
    say(server.id + " is ready");
  }

  // ---- What is seen from outside -------------------------------------------------------------------------

  private void observe() {
    while (!over) {
      for (SoakNode node : nodes) {
        long memory = 0;
        int descriptors = 0;
        int alive = 0;
        for (SoakProcess p : node.processes) {
          if (p.isAlive()) {
            memory += p.memoryKb();
            descriptors += p.descriptors();
            alive++;
          } else {
            ended(node, p);
          }
        }
        peakMemoryKb = Math.max(peakMemoryKb, memory);
        peakDescriptors = Math.max(peakDescriptors, descriptors);
        if (memory > plan.memoryMb * 1024L) {
          counts.add(Breach.MEMORY, "n" + node.number + " " + memory / 1024 + " MB in " + alive + " processes");
        }
        if (descriptors > SOCKETS) {
          counts.add(Breach.DESCRIPTORS, "n" + node.number + " " + descriptors);
        }
      }
      sleep(SAMPLE_MILLIS);
    }
  }

  private void ended(SoakNode node, SoakProcess p) {
    if (p.endSeen) {
      return;
    }
    p.endSeen = true;
    int status = p.process.exitValue();
    if (p.signal == SoakProcess.Signal.NONE || p.signal == SoakProcess.Signal.TERM && status != 0 && status != 137) {
      counts.add(Breach.ENDED, "n" + node.number + " p" + p.number + " status " + status + " after " + p.signal);
    }
  }

  private void judge() {
    new SoakChecker(counts, notices, nodes, servers, clients).judge();
  }

  private void close() throws IOException {
    nodes.forEach(SoakNode::close);
    if (relay != null) {
      relay.close();
      discovery.close();
    }
    servers.forEach(SoakServer::stop);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    if (!counts.isEmpty() && Boolean.getBoolean("soak.keep")) {
      System.err.println("kept: " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
