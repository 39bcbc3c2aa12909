package cloverpulley.serve;

import cloverpulley.Balancer.ListKind;
import cloverpulley.engine.Engine;
import cloverpulley.engine.Fleet;
import cloverpulley.engine.Periodic;
import cloverpulley.engine.SocketBudget;
import cloverpulley.handover.HandoverSnapshot;
import cloverpulley.handover.OfflineUpstreams;
import cloverpulley.handover.ProcessRegistry;
import cloverpulley.handover.ProcessRegistry.Lifecycle;
import cloverpulley.handover.ProcessRegistry.PeerProcess;
import cloverpulley.handover.RequestIdClaims;
import cloverpulley.handover.RequestIdFile;
import cloverpulley.serve.ManagementServer.Answer;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * Connects the engine to operators and to other processes of this balancer: applies management calls and the contents of the shared folder
 * on the engine's loop. Runs on its own thread, the only one that accesses the folder. If the folder fails, this process keeps what it
 * knows and has confirmed, and tries again at the next scan.
 */
final class Operations implements ManagementServer.CallHandler {

  private static final Logger LOG = Logger.getLogger(Operations.class.getName());

  private static final long SCAN_MILLIS = 100;
  /** How long after joining a start waits for a predecessor that may be about to publish itself again; processes do so at every scan. */
  private static final long PREDECESSOR_WAIT_MILLIS = 3 * SCAN_MILLIS;
  /** How long a start waits for the snapshot of a predecessor that serves, or for a failing folder: a successor has to be ready within 6 s. */
  private static final long SNAPSHOT_WAIT_MILLIS = 3000;
  private static final long SNAPSHOT_POLL_MILLIS = 50;
  /** The delay before the management address is bound again after a failure. */
  private static final long LISTEN_RETRY_MILLIS = 200;
  /** The ratio of descriptors in use above which idle connections are closed with a successor present, and while this process is leaving. */
  private static final double DESCRIPTOR_RATIO_WITH_SUCCESSOR = 0.4;
  private static final double DESCRIPTOR_RATIO_LEAVING = 0.2;
  /** A caller waits for 1 s: a call that is recorded is confirmed before that, even if the engine's loop is late. */
  private static final long CALL_TIMEOUT_MILLIS = 600;

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop operationsLoop = group.next();
  private final Config config;
  private final long joinedNanos = System.nanoTime();
  /** Null without a shared folder. */
  private final ProcessRegistry registry;
  private final OfflineUpstreams offline;
  private volatile Components components;
  private volatile Set<String> offlineIds = Set.of();
  private volatile boolean serving;
  private volatile boolean ready;
  private volatile boolean leaving;
  private volatile boolean closed;
  private volatile List<PeerProcess> peers = List.of();
  private volatile boolean folderFailing;
  private volatile Channel managementChannel;
  /** The last snapshot read from another process, and the revision of the endpoint list in the last one published; -1 for none. */
  private ProcessRegistry.Snapshot lastRead;
  private long publishedRevision = -1;
  /** The file that the engine's loop has been given last; null for none. */
  private RequestIdFile requestIdFile;
  private boolean failureLogged;
  private String loggedPeers = "";
  private int processCount = 1;

  /** The components of a balancer. */
  record Components(EventLoop loop, Engine engine, Fleet fleet, SocketBudget sockets, UpstreamPool pool, Frontend frontend,
      RequestIdClaims requestIds, Set<String> agreedOffline) {}

  /** Opens the management endpoint, which reports that the balancer is not ready yet, and joins the other processes. */
  Operations(Config config) {
    this.config = config;
    Path folder = config.shared();
    registry = folder == null ? null : ProcessRegistry.of(folder, joinedNanos, ProcessHandle.current().pid());
    offline = new OfflineUpstreams(folder == null ? null : folder.resolve("out"));
    ChannelFuture bound = listen(true).awaitUninterruptibly();
    if (!bound.isSuccess() && Binding.isPermanent(bound.cause())) {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      bound.syncUninterruptibly();
    }
    operationsLoop.submit(this::scan).syncUninterruptibly();
  }

  /** Listens for calls. A predecessor that is leaving may still hold the address, so binding is retried until it is free. */
  private ChannelFuture listen(boolean first) {
    ChannelFuture bound = new ManagementServer(this).listen(group, config.management());
    bound.addListener(f -> {
      if (f.isSuccess()) {
        managementChannel = bound.channel();
      } else if (!group.isShuttingDown()) {
        if (first) {
          LOG.warning("the management endpoint cannot listen at " + config.management() + " yet, retrying: " + f.cause());
        }
        operationsLoop.schedule(() -> listen(false), LISTEN_RETRY_MILLIS, TimeUnit.MILLISECONDS);
      }
    });
    return bound;
  }

  /** The address of the management endpoint, or where it will listen once that is free. */
  InetSocketAddress address() {
    Channel bound = managementChannel;
    return bound == null ? config.management() : (InetSocketAddress) bound.localAddress();
  }

  /** Waits for the snapshot of a predecessor that serves; null if there is no predecessor, or no snapshot in time. */
  HandoverSnapshot awaitPredecessorSnapshot() {
    try {
      while (true) {
        HandoverSnapshot snapshot = operationsLoop.submit(this::predecessorSnapshot).get();
        long waited = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - joinedNanos);
        boolean expected = hasPredecessor() || folderFailing;
        if (snapshot != null || registry == null || !expected && waited >= PREDECESSOR_WAIT_MILLIS) {
          return snapshot;
        }
        if (waited >= SNAPSHOT_WAIT_MILLIS) {
          LOG.warning("starting without a snapshot: a predecessor serves or the shared folder fails, and none arrived in time");
          return null;
        }
        TimeUnit.MILLISECONDS.sleep(SNAPSHOT_POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      LOG.warning("starting without a predecessor's snapshot: " + e.getCause());
    }
    return null;
  }

  /** Connects the balancer: upstreams that are offline are so from now on. {@code wired} is used on its loop alone. */
  void attach(Components wired) {
    components = wired;
    operationsLoop.submit(this::scan).syncUninterruptibly();
    Periodic.every(operationsLoop, SCAN_MILLIS, this::scan);
    wired.loop().submit(() -> { }).syncUninterruptibly();
  }

  /** Whether an operator took an upstream offline. */
  boolean isOffline(String id) {
    return offlineIds.contains(id);
  }

  /** Records that this process accepts clients. */
  void markServing() {
    serving = true;
    operationsLoop.submit(this::scan).syncUninterruptibly();
  }

  /** Records that this process is leaving, and thus no longer ready. */
  void markLeaving() {
    leaving = true;
    ready = false;
    operationsLoop.execute(this::scan);
  }

  /** Whether a process that started earlier serves at the same address. */
  boolean hasPredecessor() {
    return peers.stream().anyMatch(p -> !p.startedLater() && p.lifecycle() == Lifecycle.SERVING);
  }

  /** Whether a process that started later serves at the same address. Scans first, since it may have published that only now. */
  boolean hasSuccessor() {
    operationsLoop.submit(this::scan).awaitUninterruptibly(CALL_TIMEOUT_MILLIS);
    return peers.stream().anyMatch(p -> p.startedLater() && p.lifecycle() == Lifecycle.SERVING);
  }

  /** Leaves the folder and closes the management endpoint; further calls have no effect. */
  void shutDown() {
    if (group.isShuttingDown()) {
      return;
    }
    closed = true;
    operationsLoop.submit(this::leaveFolder).awaitUninterruptibly(CALL_TIMEOUT_MILLIS);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  // ---- On the operations thread ---------------------------------------------------------------------------------

  private void leaveFolder() {
    try {
      if (registry != null) {
        registry.close();
      }
    } catch (IOException e) {
      LOG.fine("leaving the shared folder: " + e);
    }
  }

  private interface FolderAccess {
    void run() throws IOException;
  }

  /** Exchanges state with the other processes and applies it on the engine's loop. Never throws, as that would end the periodic task. */
  private void scan() {
    if (closed) {
      return; // A process that has left must not publish itself again.
    }
    folderFailing = false;
    syncOffline();
    withFolder(this::syncRequestIdFile); // Before this process publishes itself: its claims have to be visible to a peer by then.
    withFolder(this::syncPeers);
    failureLogged &= folderFailing;
  }

  /** Accesses the folder. A failure is logged once, until the folder works again. */
  private void withFolder(FolderAccess access) {
    try {
      access.run();
    } catch (IOException | RuntimeException e) {
      folderFailing = true;
      if (!failureLogged) {
        failureLogged = true;
        LOG.warning("the shared folder cannot be used, retrying: " + e);
      }
    }
  }

  /** Synchronizes the offline upstreams with the folder and applies them on the loop; completes once the module has been notified. */
  private CompletableFuture<Void> syncOffline() {
    withFolder(offline::synchronize);
    Components p = components;
    if (p == null) {
      return CompletableFuture.completedFuture(null);
    }
    Map<String, Long> now = offline.offline();
    p.loop().execute(() -> applyOffline(p, now));
    return CompletableFuture.runAsync(() -> { }, p.loop());
  }

  /** Opens the file of request ids, and opens another where the folder has lost it. */
  private void syncRequestIdFile() throws IOException {
    Components p = components;
    if (p == null || config.shared() == null || requestIdFile != null && requestIdFile.isInPlace()) {
      return;
    }
    RequestIdFile opened = RequestIdFile.open(config.shared());
    requestIdFile = opened;
    p.loop().execute(() -> p.requestIds().adopt(opened));
  }

  private void syncPeers() throws IOException {
    Components p = components;
    if (registry == null) {
      return;
    }
    Lifecycle lifecycle = leaving ? Lifecycle.LEAVING : serving ? Lifecycle.SERVING : Lifecycle.STARTING;
    peers = registry.refresh(lifecycle, p == null ? 0 : p.sockets().used());
    logChanges(peers);
    if (p == null) {
      return;
    }
    List<PeerProcess> peerProcesses = peers;
    HandoverSnapshot fromPeer = newPeerSnapshot(peerProcesses);
    p.loop().execute(() -> {
      shareResources(p, peerProcesses);
      if (fromPeer != null && fromPeer.list().revision() > p.fleet().revision()) {
        p.engine().serverListUpdated(ListKind.FULL, fromPeer.list());
      }
    });
    if (!peerProcesses.isEmpty()) {
      boolean starting = peerProcesses.stream().anyMatch(o -> o.startedLater() && o.lifecycle() == Lifecycle.STARTING);
      long published = registry.hasSnapshot() ? publishedRevision : -1;
      p.loop().execute(() -> publishIfNeeded(p, starting, published));
    }
  }

  /** Logs the other processes of this balancer and their lifecycle whenever they change. */
  private void logChanges(List<PeerProcess> peerProcesses) {
    String text = peerProcesses.stream().map(p -> p.name().substring(p.name().lastIndexOf('-') + 1).replaceFirst("^0+", "") + ' '
        + (p.startedLater() ? "successor " : "predecessor ") + p.lifecycle().name().toLowerCase(Locale.ROOT))
        .sorted().collect(Collectors.joining(", "));
    if (!text.equals(loggedPeers)) {
      LOG.info("other processes of this balancer (own pid " + ProcessHandle.current().pid() + "): " + (text.isEmpty() ? "none" : text));
      loggedPeers = text;
    }
  }

  /** The snapshot that another process has published since the last scan; null for none, or none that is valid. */
  private HandoverSnapshot newPeerSnapshot(List<PeerProcess> peerProcesses) throws IOException {
    for (PeerProcess peer : peerProcesses) {
      ProcessRegistry.Snapshot snapshot = registry.snapshot(peer, lastRead, HandoverSnapshot.MAX_BYTES);
      if (snapshot != null && snapshot != lastRead) {
        lastRead = snapshot;
        try {
          return HandoverSnapshot.decode(snapshot.bytes(), monotonicMillis());
        } catch (HandoverSnapshot.UnusableSnapshotException e) {
          LOG.warning("the snapshot of " + peer.name() + " cannot be used: " + e.getMessage());
        }
      }
    }
    return null;
  }

  /** A predecessor's snapshot that includes the state of its module; null for none yet. */
  private HandoverSnapshot predecessorSnapshot() {
    HandoverSnapshot[] found = new HandoverSnapshot[1];
    folderFailing = false;
    withFolder(() -> {
      peers = registry == null ? List.of() : registry.refresh(Lifecycle.STARTING, 0);
      for (PeerProcess peer : peers) {
        ProcessRegistry.Snapshot snapshot = peer.startedLater() ? null : registry.snapshot(peer, null, HandoverSnapshot.MAX_BYTES);
        HandoverSnapshot decoded = snapshot == null ? null : HandoverSnapshot.decode(snapshot.bytes(), monotonicMillis());
        found[0] = decoded != null && decoded.balancerSnapshot() != null ? decoded : found[0];
      }
    });
    return found[0];
  }

  private static long monotonicMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private void publish(HandoverSnapshot snapshot) {
    if (closed) {
      return;
    }
    withFolder(() -> {
      registry.publishSnapshot(snapshot.encode(monotonicMillis()));
      publishedRevision = snapshot.list().revision();
    });
  }

  // ---- On the engine's loop ------------------------------------------------------------------------------

  private void applyOffline(Components p, Map<String, Long> nowOffline) {
    offlineIds = nowOffline.keySet();
    nowOffline.forEach(p.engine()::setOffline);
    p.fleet().offline().stream().filter(id -> !nowOffline.containsKey(id) && !p.agreedOffline().contains(id)).forEach(p.engine()::setOnline);
    ready = !leaving && p.frontend().isReady();
  }

  /** Adapts limits and descriptors to the other processes that share them. */
  private void shareResources(Components p, List<PeerProcess> peerProcesses) {
    int servingProcesses = 1 + (int) peerProcesses.stream().filter(o -> o.lifecycle() != Lifecycle.STARTING).count();
    if (servingProcesses != processCount) {
      processCount = servingProcesses;
      p.engine().setProcessCount(servingProcesses);
    }
    p.sockets().setUsedElsewhere(peerProcesses.stream().mapToInt(PeerProcess::descriptors).sum());
    boolean successorPresent = peerProcesses.stream().anyMatch(PeerProcess::startedLater);
    while (successorPresent && p.sockets().isAbove(leaving ? DESCRIPTOR_RATIO_LEAVING : DESCRIPTOR_RATIO_WITH_SUCCESSOR) && p.pool().closeOldest()) {
      // Closes one connection at a time, to free early the descriptors that a successor needs.
    }
  }

  /** Publishes what the other processes need: a full snapshot while a successor starts, then the endpoint list whenever it changes. */
  private void publishIfNeeded(Components p, boolean starting, long published) {
    if (starting) {
      List<String> names = p.fleet().namesEverListed();
      p.engine().requestSnapshot(balancerSnapshot -> {
        HandoverSnapshot snapshot = new HandoverSnapshot(p.fleet().list(), names, balancerSnapshot);
        operationsLoop.execute(() -> publish(snapshot));
      });
    } else if (p.fleet().revision() != published) {
      HandoverSnapshot snapshot = new HandoverSnapshot(p.fleet().list(), List.of(), null);
      operationsLoop.execute(() -> publish(snapshot));
    }
  }

  // ---- Calls ---------------------------------------------------------------------------------------------

  @Override
  public CompletableFuture<Answer> ready() {
    return CompletableFuture.completedFuture(ready ? new Answer(200, "ready") : new Answer(503, leaving ? "leaving" : "not ready"));
  }

  @Override
  public CompletableFuture<Answer> offline(String upstream) {
    return requestChange(upstream, true);
  }

  @Override
  public CompletableFuture<Answer> online(String upstream) {
    return requestChange(upstream, false);
  }

  /** Checks on the loop that the name is known, then records the change and applies it. */
  private CompletableFuture<Answer> requestChange(String upstream, boolean toOffline) {
    Components p = components;
    if (p == null) {
      return CompletableFuture.completedFuture(new Answer(503, "not ready"));
    }
    if (!OfflineUpstreams.isValidName(upstream)) {
      return CompletableFuture.completedFuture(new Answer(404, "no upstream of this name was ever listed"));
    }
    return CompletableFuture.supplyAsync(() -> p.fleet().wasListed(upstream), p.loop())
        .completeOnTimeout(null, CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .thenComposeAsync(known -> known == null ? CompletableFuture.completedFuture(new Answer(503, "too busy, call again"))
            : known ? commitChange(upstream, toOffline) : CompletableFuture.completedFuture(
                new Answer(404, "no upstream of this name was ever listed")), operationsLoop);
  }

  /** Records a change in memory, which confirms it even if the folder fails: the other processes are notified once it works again. */
  private CompletableFuture<Answer> commitChange(String upstream, boolean toOffline) {
    withFolder(offline::synchronize); // A change that another process has confirmed since the last scan comes before this one.
    if (!toOffline) {
      offline.setOnline(upstream);
    } else if (!offline.setOffline(upstream)) {
      return CompletableFuture.completedFuture(new Answer(503, "too many upstreams are out"));
    }
    Answer confirmation = new Answer(200, toOffline ? "offline" : "online");
    CompletableFuture<Void> applied = syncOffline();
    LOG.info(() -> "operators: " + Counts.logName(upstream) + (toOffline ? " offline" : " online"));
    return applied.thenApply(v -> confirmation).completeOnTimeout(confirmation, CALL_TIMEOUT_MILLIS / 2, TimeUnit.MILLISECONDS);
  }
}
