package cloverpulley.agree;

import cloverpulley.outs.Command;
import cloverpulley.outs.DisruptionLedger;
import cloverpulley.outs.Heartbeat;
import cloverpulley.outs.LedgerState;
import cloverpulley.outs.MembershipReconciler;
import cloverpulley.outs.Reply;
import cloverpulley.outs.VoterReplacement;
import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftGroupMembers;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A replica of the ledger: the Raft node with its journal and transport, and on the leader the reconciliation of members. */
public final class Voter implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(Voter.class);

  private static final String GROUP_ID = "outs";
  private static final int COMMITS_PER_SNAPSHOT = 2000;
  private static final long MAINTENANCE_MILLIS = 100;
  /** Maximum number of commands proposed per maintenance run; the rest follows in the next one. */
  private static final int MAX_COMMANDS_PER_RUN = 500;

  private final AgreeConfig config;
  private final ScaledRaftExecutor executor = new ScaledRaftExecutor();
  private final LedgerStateMachine stateMachine = new LedgerStateMachine(new DisruptionLedger());
  private final RaftJournal journal;
  private final RaftLink link;
  private final RaftNode node;
  private final MembershipReconciler reconciler;
  /** Confined to the Raft thread. */
  private final ElectionWatchdog watchdog = new ElectionWatchdog();
  /** The first commit index received from a leader since the start; -1 before. */
  private volatile long initialCommitIndex = -1;
  private volatile boolean caughtUp;
  private volatile Map<String, MembershipReconciler.Registration> upstreams = Map.of();
  private final Map<String, CompletableFuture<?>> pendingCommands = new ConcurrentHashMap<>();
  private final ScheduledExecutorService maintenance = new ScheduledThreadPoolExecutor(1, task -> {
    Thread thread = new Thread(task, "ledger maintenance");
    thread.setDaemon(true);
    return thread;
  });

  private final LedgerClock clock = new LedgerClock(System::nanoTime, System.currentTimeMillis());

  private Voter(AgreeConfig config) throws IOException {
    this.config = config;
    reconciler = new MembershipReconciler(config.name(), config.silentMillis());
    journal = RaftJournal.open(config.journal(), config.fleet(), (long) config.maxMb() << 20);
    Codec codec = new Codec(GROUP_ID);
    List<RaftEndpoint> voters = config.voters().stream().map(v -> (RaftEndpoint) new Peer(v.name())).toList();
    RaftNode[] self = new RaftNode[1];
    try {
      link = new RaftLink(config.fleet(), config.name(), config.raftListen(), config.voters().stream()
          .filter(v -> !v.name().equals(config.name()))
          .collect(Collectors.toMap(AgreeConfig.VoterAddress::name, AgreeConfig.VoterAddress::raft)), codec, m -> executor.submit(() -> {
            onMessage(m);
            self[0].handle(PreVoteTermCatchUp.rewrite(journal.overlap().trim(m), self[0].getTerm().getTerm()));
          }));
      RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId(GROUP_ID).setConfig(ScaledRaftExecutor.config(COMMITS_PER_SNAPSHOT))
          .setExecutor(executor).setClock(ScaledRaftExecutor.clock(Voter::nowMicros)).setTransport(link).setStateMachine(stateMachine)
          .setStore(journal);
      RestoredRaftState restored = journal.restored();
      if (restored == null) {
        // A joining voter is not a member of the group until the group has added it.
        builder.setLocalEndpoint(new Peer(config.name())).setInitialGroupMembers(
            voters.stream().filter(v -> !journal.isJoining() || !v.getId().equals(config.name())).toList());
      } else {
        validate(restored, voters);
        builder.setRestoredState(restored);
      }
      node = builder.build();
      self[0] = node;
      // MicroRaft goes on after a failed write: a leader would stay leader without ever committing anything.
      journal.onFailure(e -> {
        LOG.error("the journal can't be written, this voter is inactive until it is restarted: {}", e.toString());
        node.terminate();
      });
    } catch (IOException | RuntimeException e) {
      journal.close();
      throw e;
    }
  }

  private void validate(RestoredRaftState restored, List<RaftEndpoint> voters) throws IOException {
    Object owner = restored.getLocalEndpointPersistentState().getLocalEndpoint().getId();
    if (!owner.equals(config.name())) {
      throw new IOException(config.journal() + " is the journal of voter \"" + owner + "\"");
    }
    List<RaftEndpoint> newVoters = new ArrayList<>(voters);
    newVoters.removeAll(journal.members().getMembers());
    if (newVoters.size() > 1) {
      // Only one voter at a time can be replaced, so that the others keep the majority.
      throw new IOException(config.journal() + " has other voters than agree.voter: " + journal.members().getMembers());
    } else if (!newVoters.isEmpty()) {
      LOG.warn("{} is not a voter yet: `ashdeck outs replace` makes it replace another one", newVoters.get(0).getId());
    }
  }

  /** Starts a voter; its journal must exist. */
  public static Voter start(AgreeConfig config) throws IOException {
    Voter v = new Voter(config);
    v.link.start();
    v.node.start();
    v.maintenance.scheduleWithFixedDelay(v::runMaintenance, MAINTENANCE_MILLIS, MAINTENANCE_MILLIS, TimeUnit.MILLISECONDS);
    return v;
  }

  /** Whether this voter believes that it is the leader; only a commit by a majority proves it. */
  public boolean isLeader() {
    RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
    return leader != null && leader.getId().equals(config.name());
  }

  /** The name of the leader as far as this voter knows; empty for none. */
  public String leader() {
    RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
    return leader == null ? "" : (String) leader.getId();
  }

  /** Whether this voter takes part in Raft; it stops when its journal can't be written. */
  public boolean isActive() {
    return !journal.isFailed() && !RaftNodeStatus.isTerminal(node.getStatus());
  }

  private void onMessage(RaftMessage m) {
    watchdog.onMessage(m, nowMicros());
    if (initialCommitIndex < 0) {
      initialCommitIndex = m instanceof AppendEntriesRequest a ? a.getCommitIndex()
          : m instanceof InstallSnapshotRequest i ? i.getSnapshotIndex() : -1;
    }
  }

  /**
   * Whether this voter has applied what was committed when it started, so that its state may be served. After a restart the ledger is empty
   * until a leader commits again; an instance that starts at the same time would take that for "nobody is out".
   */
  public boolean isCaughtUp() {
    long index = stateMachine.index();
    caughtUp = caughtUp || index > 0 && index >= journal.lastRestoredIndex() && index >= initialCommitIndex
        && (initialCommitIndex >= 0 || isLeader());
    return caughtUp;
  }

  /** Replicates and applies a command. Fails where this voter is not the leader, and where the outcome is unknown. */
  public CompletableFuture<Reply> command(Command c) {
    CompletableFuture<Ordered<Reply>> ordered = node.replicate(new TimestampedCommand(clock.stamp(stateMachine.nowMillis()), c));
    return ordered.thenApply(Ordered::getResult);
  }

  /** Makes the next membership change that replaces one voter by another; completes once it is committed. Fails as {@link #command} does. */
  CompletableFuture<VoterReplacement.Next> replace(String from, String to) {
    if (config.voters().stream().noneMatch(v -> v.name().equals(to))) {
      return CompletableFuture.completedFuture(new VoterReplacement.Next(VoterReplacement.Step.NO, to,
          to + " is no agree.voter of the file that " + config.name() + " was started with"));
    }
    RaftGroupMembers group = node.getCommittedMembers();
    VoterReplacement.Next next = VoterReplacement.next(names(group.getMembers()), names(group.getVotingMembers()), leader(), from, to);
    if (next.isFinal()) {
      return CompletableFuture.completedFuture(next);
    }
    LOG.info("membership change: {} {}", next.step().name().toLowerCase(java.util.Locale.ROOT), next.voter());
    MembershipChangeMode mode = switch (next.step()) {
      case ADD -> MembershipChangeMode.ADD_LEARNER;
      case PROMOTE -> MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER;
      default -> MembershipChangeMode.REMOVE_MEMBER;
    };
    return node.changeMembership(new Peer(next.voter()), mode, group.getLogIndex()).thenApply(o -> next);
  }

  private static Set<String> names(Collection<RaftEndpoint> of) {
    return of.stream().map(e -> (String) e.getId()).collect(Collectors.toSet());
  }

  /** The local state of the ledger; another voter may be ahead. */
  public LedgerState state() {
    return stateMachine.state();
  }

  long index() {
    return stateMachine.index();
  }

  /** Records the heartbeat of an instance. */
  public void recordHeartbeat(String name, Heartbeat heartbeat) {
    synchronized (reconciler) {
      reconciler.recordHeartbeat(nowMillis(), name, heartbeat);
    }
  }

  /** Sets the current upstreams by id. */
  public void setUpstreams(Map<String, MembershipReconciler.Registration> all) {
    upstreams = Map.copyOf(all); // Read by the maintenance thread: the caller is the engine's event loop and must not block.
  }

  /** Instances in service that have not applied the ledger up to the index, according to the heartbeats received here. */
  public List<String> laggingInstances(long index) {
    synchronized (reconciler) {
      return reconciler.laggingInstances(nowMillis(), index, state());
    }
  }

  private static long nowMicros() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
  }

  private void checkLeader() {
    RaftMessage m = watchdog.check(nowMicros(), node.getLocalEndpoint(), node.getTerm().getLeaderEndpoint(), node.getTerm().getTerm(), GROUP_ID);
    if (m != null) {
      LOG.warn("the leader is unresponsive, starting the next term");
      node.handle(m);
    }
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Never throws: the executor cancels a periodic task that does. */
  private void runMaintenance() {
    try {
      executor.submit(this::checkLeader);
      boolean leads = isLeader() && isActive();
      LedgerState s = state();
      List<Command> commands;
      synchronized (reconciler) {
        reconciler.setUpstreams(upstreams);
        commands = reconciler.reconcile(nowMillis(), leads, s);
      }
      if (leads && s.rules().version() < config.rules().version()) {
        propose("rules", config.rules());
      }
      commands.stream().limit(MAX_COMMANDS_PER_RUN).forEach(c -> propose(c.toString(), c));
    } catch (RuntimeException e) {
      LOG.warn("maintenance of the ledger failed: {}", e.toString());
    }
  }

  /** Proposes a command unless the same one is still pending. */
  private void propose(String key, Command c) {
    pendingCommands.computeIfAbsent(key, k -> {
      CompletableFuture<Reply> reply = command(c);
      return reply.handle((r, e) -> {
        maintenance.execute(() -> pendingCommands.remove(k));
        return null;
      });
    });
  }

  @Override
  public void close() {
    maintenance.shutdownNow();
    try {
      node.terminate().get(1, TimeUnit.SECONDS);
      link.close();
      journal.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (Exception e) {
      LOG.debug("shutdown failed: {}", e.toString());
    }
  }

  /** The address where other voters connect. */
  public java.net.InetSocketAddress raftAddress() {
    return link.address();
  }
}
