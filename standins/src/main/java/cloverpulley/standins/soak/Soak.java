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
 * A soak test with a seed: real balancers run on loopback under injected faults. These are signals and series of upgrades with the earliest allowed
 * SIGKILL, steps of the wall clock, failing system calls, a folder that fails or is emptied, servers that drain, restart and hang, and a discovery
 * outage. The balancers are checked by what clients, servers and the operating system observed, never by what they report themselves.
 */
public final class Soak {

  /**
   * The parameters of a run.
   *
   * @param root the checkout whose deploy file starts the balancers
   * @param seconds duration of the run
   * @param memoryMb memory limit configured for each balancer and checked against the sum over its processes
   * @param clients number of clients of each balancer; 0 for a random number
   * @param idleConnections number of idle connections to each balancer
   */
  public record Plan(Path root, long seed, int seconds, int nodes, int memoryMb, int clients, int idleConnections) {}

  /** The counts of a run; {@code breaches} maps each rule that was broken to its count and is empty if all were kept. */
  public record Result(long seed, int requests, int served, int resent, long failedCalls, int processes, long peakMemoryKb, int peakDescriptors,
      Map<String, Integer> breaches, List<String> examples) {

    public boolean isClean() {
      return breaches.isEmpty();
    }
  }

  private static final int SERVERS = 6;
  private static final int WARM_UP_REQUESTS = 20;
  private static final int MAX_DESCRIPTORS = 1024;
  private static final long KILL_AFTER_DEADLINE_MILLIS = 700;
  private static final long READY_TIMEOUT_MILLIS = 6000;
  private static final long SAMPLE_INTERVAL_MILLIS = 50;
  /** Time in which a new process joins and its predecessor hands over the state that has to be preserved. */
  private static final long HANDOVER_MILLIS = 700;
  /** For this long after injected socket faults, failed management calls of the node are still excused. */
  private static final long FAULT_RECOVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final Plan plan;
  private final SplittableRandom random;
  private final SoakCounts counts = new SoakCounts();
  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
  private final StallMonitor stalls = new StallMonitor(group);
  private final Path folder;
  private final List<SoakNode> nodes = new ArrayList<>();
  private final List<SoakServer> servers = new ArrayList<>();
  private final SoakNotifications notifications = new SoakNotifications();
  private final List<String> timeline = new CopyOnWriteArrayList<>();
  private final long maxDeadlineMillis;
  private final long startNanos = System.nanoTime();
  private StandInDiscovery discovery;
  private Relay relay;
  private SoakClients clients;
  private volatile boolean finished;
  private volatile long peakMemoryKb;
  private volatile int peakDescriptors;

  private Soak(Plan plan) throws IOException {
    this.plan = plan;
    random = new SplittableRandom(plan.seed);
    maxDeadlineMillis = random.nextInt(10, 31) * 100L;
    folder = Files.createTempDirectory("soak");
  }

  /** Executes a run. */
  public static Result run(Plan plan) throws IOException, InterruptedException {
    Soak soak = new Soak(plan);
    try {
      return soak.execute();
    } finally {
      soak.close();
    }
  }

  private Result execute() throws IOException, InterruptedException {
    FaultShim shim = FaultShim.build(folder);
    discovery = new StandInDiscovery(group);
    String[] hostPort = discovery.address().split(":");
    relay = new Relay(new InetSocketAddress(hostPort[0], Integer.parseInt(hostPort[1])));
    for (int i = 0; i < SERVERS; i++) {
      SoakServer server = new SoakServer("s-" + i, group, random.split());
      servers.add(server);
      discovery.set(server.id, server.address(), 0, "ready", 0);
    }
    for (int i = 0; i < plan.nodes; i++) {
      nodes.add(new SoakNode(i, folder, plan.root, shim, plan.seed));
      nodes.get(i).configure(SoakSettings.text(plan, nodes.get(i), relay.address().getPort(), maxDeadlineMillis, servers, i));
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
    int clientsPerNode = plan.clients > 0 ? plan.clients : random.nextInt(12, 49);
    clients = new SoakClients(nodes, clientsPerNode * nodes.size(), maxDeadlineMillis, random.split());
    if (plan.idleConnections > 0) {
      nodes.forEach(n -> clients.openIdleConnections(n, plan.idleConnections));
    }
    List<Thread> operators = new ArrayList<>();
    for (SoakNode node : nodes) {
      SplittableRandom operatorRandom = random.split();
      operators.add(new Thread(() -> operate(node, operatorRandom), "operator " + node.number));
    }
    SplittableRandom operatorRandom = random.split();
    operators.add(new Thread(() -> disturbServers(operatorRandom), "servers"));
    operators.forEach(Thread::start);
    for (Thread t : operators) {
      t.join();
    }
    clients.close();
    finished = true;
    observer.join();
    check();
    return result();
  }

  /** Warms up the code of the test server: class loading would delay its first responses during the run. */
  private static void warmUp(SoakServer server) throws IOException {
    String[] hostPort = server.address().split(":");
    for (int i = 0; i < WARM_UP_REQUESTS; i++) {
      try (Socket socket = new Socket(hostPort[0], Integer.parseInt(hostPort[1]))) {
        socket.getOutputStream().write("GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: w-0\r\nX-Expires-In-Ms: 1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        socket.getInputStream().read();
      }
    }
  }

  private Result result() {
    int served = (int) clients.requests.values().stream().filter(a -> a.status() == 200).count();
    long failed = nodes.stream().flatMap(n -> n.processes.stream()).mapToLong(p -> p.faults.failed()).sum();
    int processes = nodes.stream().mapToInt(n -> n.processes.size()).sum();
    Map<String, Integer> breaches = new TreeMap<>();
    counts.all().forEach((breach, count) -> breaches.put(breach.name().toLowerCase(Locale.ROOT), count));
    List<String> examples = new ArrayList<>(counts.examples());
    if (!counts.isEmpty()) {
      examples.addAll(timeline);
    }
    return new Result(plan.seed, clients.requests.size(), served, clients.resent.get(), failed, processes, peakMemoryKb, peakDescriptors, breaches,
        examples);
  }

  private boolean isRunning() {
    return System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(plan.seconds);
  }

  private void log(String what) {
    timeline.add(String.format("%7.3f %s", (System.nanoTime() - startNanos) / 1e9, what));
  }

  private static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // ---- Faults of a balancer ------------------------------------------------------------------------------

  private void operate(SoakNode node, SplittableRandom r) {
    try {
      while (isRunning()) {
        sleep(r.nextInt(100, 800));
        disturb(node, r);
      }
    } catch (IOException | InterruptedException e) {
      counts.add(Breach.ENDED, "the run failed: " + e);
    }
  }

  private void disturb(SoakNode node, SplittableRandom r) throws IOException, InterruptedException {
    SoakProcess process = node.newest();
    if (process == null) {
      restart(node, r);
      return;
    }
    switch (r.nextInt(12)) {
      case 0, 1, 2 -> upgrade(node, process, r);
      case 3 -> {
        log("n" + node.number + " SIGKILL, a new start");
        node.alive().forEach(SoakProcess::kill);
        notifications.forgetOffline(node.number, System.nanoTime());
        sleep(1000);
        restart(node, r);
      }
      case 4 -> stopAll(node, r);
      case 5 -> {
        log("n" + node.number + " SIGHUP");
        process.sendSighup();
      }
      case 6 -> {
        log("n" + node.number + " folder emptied");
        node.emptyFolder();
      }
      case 7 -> failFolder(node, process, r);
      case 8 -> stepWallClock(node, process, r);
      case 9 -> failSockets(node, process, r);
      default -> offline(node, r);
    }
  }

  private boolean restart(SoakNode node, SplittableRandom r) throws IOException, InterruptedException {
    node.emptyFolder();
    if (node.alive().isEmpty()) {
      notifications.forgetOffline(node.number, System.nanoTime());
    }
    SoakProcess process = node.start();
    log("n" + node.number + " started p" + process.number + " beside " + (node.alive().size() - 1));
    forgetOfflineWithoutPredecessor(node, process);
    if (r.nextInt(4) == 0) {
      process.faults.stepWallClock(randomStep(r));
    }
    return awaitReady(node, process);
  }

  /** Offline calls must be preserved only if a process that knows of them lives long enough to hand them over to the new one. */
  private void forgetOfflineWithoutPredecessor(SoakNode node, SoakProcess successor) {
    sleep(HANDOVER_MILLIS);
    if (node.alive().stream().noneMatch(p -> p != successor)) {
      notifications.forgetOffline(node.number, successor.startedNanos);
    }
  }

  private static long randomStep(SplittableRandom r) {
    long[] seconds = {-3600, -5, 5, 3600};
    return TimeUnit.SECONDS.toNanos(seconds[r.nextInt(seconds.length)]);
  }

  private boolean awaitReady(SoakNode node, SoakProcess process) {
    while (process.isAlive() && System.nanoTime() - process.startedNanos < TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS)) {
      if (process.call("GET /control/ready") == 200) {
        process.readyNanos = System.nanoTime();
        notifications.watchInterrupted(node.number, process.readyNanos);
        return true;
      }
      sleep(10);
    }
    if (process.signal == SoakProcess.Signal.NONE && process.isAlive()) {
      counts.add(Breach.NOT_READY, "n" + node.number + " p" + process.number);
    }
    return false;
  }

  /** Starts a new version next to the old one. It may be killed at any time and replaced by another process in an emptied folder. */
  private void upgrade(SoakNode node, SoakProcess predecessor, SplittableRandom r) throws IOException, InterruptedException {
    SoakProcess successor = node.start();
    log("n" + node.number + " upgrade: p" + predecessor.number + " to p" + successor.number);
    if (r.nextInt(3) == 0) {
      long stepNanos = randomStep(r);
      successor.faults.stepWallClock(stepNanos);
      log("n" + node.number + " p" + successor.number + " wall clock " + stepNanos / 1_000_000_000 + " s");
    }
    if (r.nextInt(5) == 0) {
      node.emptyFolder();
      log("n" + node.number + " folder emptied");
    }
    if (r.nextInt(3) == 0) {
      sleep(r.nextInt(0, 2000));
      killSuccessor(node, predecessor, successor, r);
    } else if (awaitReady(node, successor)) {
      terminate(node, predecessor);
      if (r.nextInt(3) == 0) {
        sleep(r.nextInt(0, 500));
        killSuccessor(node, predecessor, successor, r);
      }
      killIfOverdue(node, predecessor);
    }
  }

  private void killSuccessor(SoakNode node, SoakProcess predecessor, SoakProcess successor, SplittableRandom r)
      throws IOException, InterruptedException {
    log("n" + node.number + " SIGKILL p" + successor.number);
    successor.kill();
    sleep(1000);
    if (r.nextBoolean() && restart(node, r) && predecessor.signal == SoakProcess.Signal.NONE) {
      terminate(node, predecessor);
      killIfOverdue(node, predecessor);
    }
  }

  private void terminate(SoakNode node, SoakProcess process) {
    log("n" + node.number + " SIGTERM p" + process.number);
    process.terminate();
  }

  /** Sends SIGKILL at the earliest time allowed after SIGTERM, and counts a process that is still running then. */
  private void killIfOverdue(SoakNode node, SoakProcess process) throws InterruptedException {
    long wait = Math.min(3000, maxDeadlineMillis) + KILL_AFTER_DEADLINE_MILLIS - (System.nanoTime() - process.signalNanos) / 1_000_000;
    if (!process.awaitExit(Math.max(0, wait))) {
      counts.add(Breach.OVERDUE, "n" + node.number + " p" + process.number);
      process.process.destroyForcibly();
    }
  }

  private void stopAll(SoakNode node, SplittableRandom r) throws IOException, InterruptedException {
    List<SoakProcess> all = node.alive();
    all.stream().filter(p -> p.signal == SoakProcess.Signal.NONE).forEach(p -> terminate(node, p));
    for (SoakProcess p : all) {
      killIfOverdue(node, p);
    }
    notifications.forgetOffline(node.number, System.nanoTime());
    restart(node, r);
  }

  private void failFolder(SoakNode node, SoakProcess process, SplittableRandom r) {
    int[] errors = {FaultShim.EIO, FaultShim.ENOSPC, FaultShim.EROFS};
    int error = errors[r.nextInt(errors.length)];
    boolean partial = r.nextInt(3) == 0;
    log("n" + node.number + " p" + process.number + (partial ? " half writes" : " folder fails with " + error));
    process.faults.partialWrites(partial);
    process.faults.failFolder(partial ? 0 : error);
    sleep(r.nextInt(200, 3000));
    process.faults.failFolder(0);
    process.faults.partialWrites(false);
    log("n" + node.number + " folder works");
  }

  private void stepWallClock(SoakNode node, SoakProcess process, SplittableRandom r) {
    long stepNanos = randomStep(r);
    process.faults.stepWallClock(stepNanos);
    log("n" + node.number + " p" + process.number + " wall clock " + stepNanos / 1_000_000_000 + " s");
  }

  private void failSockets(SoakNode node, SoakProcess process, SplittableRandom r) {
    int[] calls = {FaultShim.ACCEPT, FaultShim.SOCKET, FaultShim.CONNECT, FaultShim.NONBLOCK, FaultShim.READ, FaultShim.WRITE, FaultShim.OPTION,
        FaultShim.ACCEPT | FaultShim.SOCKET | FaultShim.CONNECT};
    int chosen = calls[r.nextInt(calls.length)];
    int perMille = r.nextInt(10, 300);
    log("n" + node.number + " p" + process.number + " socket calls " + chosen + " fail, " + perMille + " of 1000");
    process.faultyUntilNanos = Long.MAX_VALUE;
    notifications.socketFaultsStarted(node.number);
    process.faults.failSockets(perMille, chosen);
    sleep(r.nextInt(200, 3000));
    process.faults.failSockets(0, 0);
    notifications.socketFaultsEnded(node.number);
    process.faultyUntilNanos = System.nanoTime() + FAULT_RECOVERY_NANOS;
    notifications.watchInterrupted(node.number, System.nanoTime());
    log("n" + node.number + " socket calls work");
  }

  private void offline(SoakNode node, SplittableRandom r) {
    SoakProcess process = node.newest();
    if (process == null || process.readyNanos == 0) {
      return;
    }
    String id = servers.get(r.nextInt(SERVERS)).id;
    boolean online = notifications.isOffline(node.number, id);
    if (online) {
      notifications.online(node.number, id);
    }
    int status = process.call("POST /control/upstreams/" + id + (online ? "/online" : "/offline"));
    log("n" + node.number + " p" + process.number + " " + id + (online ? " online: " : " offline: ") + status);
    boolean faulty = process.faultyUntilNanos > System.nanoTime();
    if (status == 200 && !online) {
      notifications.offline(node.number, id, System.nanoTime());
    } else if (status != 200 && !faulty && process.isAlive() && process.signal == SoakProcess.Signal.NONE) {
      counts.add(Breach.CALL, "n" + node.number + " p" + process.number + " " + status);
    }
  }

  // ---- Faults of servers and discovery -------------------------------------------------------------------

  private void disturbServers(SplittableRandom r) {
    while (isRunning()) {
      sleep(r.nextInt(300, 1500));
      SoakServer server = servers.get(r.nextInt(SERVERS));
      switch (r.nextInt(6)) {
        case 0, 1 -> restartServer(server, r);
        case 2 -> {
          log(server.id + " hangs");
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
    log(server.id + " dies");
    server.stop();
    sleep(r.nextInt(50, 600));
    server.start();
    notifications.restarted(server.id, System.nanoTime());
    // Half of the restarts are reported with the time of a wall clock that has been stepped.
    long wall = System.currentTimeMillis() + (r.nextBoolean() ? 0 : TimeUnit.NANOSECONDS.toMillis(randomStep(r)));
    discovery.set(server.id, server.address(), 0, "ready", wall);
    log(server.id + " started");
  }

  private void cutDiscovery(SplittableRandom r) {
    log("discovery is cut off");
    relay.allow(r.nextBoolean() ? Relay.Direction.NONE : Relay.Direction.TO_TARGET);
    notifications.discoveryDisconnected();
    sleep(r.nextInt(200, 3500));
    relay.allow(Relay.Direction.BOTH);
    notifications.discoveryReconnected();
    log("discovery is back");
  }

  private void drain(SoakServer server, SplittableRandom r) {
    discovery.set(server.id, server.address(), 0, "draining", 0);
    notifications.draining(server.id, System.nanoTime());
    log(server.id + " drains");
    sleep(r.nextInt(1000, 4500));
    notifications.ready(server.id);
    discovery.set(server.id, server.address(), 0, "ready", 0);
    log(server.id + " is ready");
  }

  // ---- Observation from outside --------------------------------------------------------------------------

  private void observe() {
    while (!finished) {
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
            checkExit(node, p);
          }
        }
        peakMemoryKb = Math.max(peakMemoryKb, memory);
        peakDescriptors = Math.max(peakDescriptors, descriptors);
        if (memory > plan.memoryMb * 1024L) {
          counts.add(Breach.MEMORY, "n" + node.number + " " + memory / 1024 + " MB in " + alive + " processes");
        }
        if (descriptors > MAX_DESCRIPTORS) {
          counts.add(Breach.DESCRIPTORS, "n" + node.number + " " + descriptors);
        }
      }
      sleep(SAMPLE_INTERVAL_MILLIS);
    }
  }

  private void checkExit(SoakNode node, SoakProcess p) {
    if (p.exitChecked) {
      return;
    }
    p.exitChecked = true;
    int status = p.process.exitValue();
    if (p.signal == SoakProcess.Signal.NONE || p.signal == SoakProcess.Signal.TERM && status != 0 && status != 137) {
      counts.add(Breach.ENDED, "n" + node.number + " p" + p.number + " status " + status + " after " + p.signal);
    }
  }

  private void check() {
    new SoakChecker(counts, notifications, nodes, servers, clients, stalls).check();
  }

  private void close() throws IOException {
    nodes.forEach(SoakNode::close);
    if (relay != null) {
      relay.close();
      discovery.close();
    }
    servers.forEach(SoakServer::stop);
    stalls.close();
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
