package cloverpulley.agree;

import cloverpulley.outs.Command;
import cloverpulley.outs.DisruptionLedger;
import cloverpulley.outs.Heartbeat;
import cloverpulley.outs.VoterReplacement;
import cloverpulley.outs.Reply;
import cloverpulley.outs.MembershipReconciler;
import cloverpulley.outs.LedgerState;
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

/** One that holds the ledger: Raft, its file and its links, and, where it leads, what the ledger is to be told of who is there. */
public final class Voter implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(Voter.class);

  private static final String GROUP = "outs";
  private static final int SNAPSHOT_EVERY = 2000;
  private static final long DUTY_MILLIS = 100;
  /** Commands of one turn of the duty; the rest follows in the next. */
  private static final int MOST_A_TURN = 500;

  private final AgreeConfig config;
  private final ScaledRaftExecutor pace = new ScaledRaftExecutor();
  private final LedgerStateMachine machine = new LedgerStateMachine(new DisruptionLedger());
  private final RaftJournal journal;
  private final RaftLink link;
  private final RaftNode node;
  private final MembershipReconciler roll;
  /** Raft's thread has it. */
  private final ElectionWatchdog standstill = new ElectionWatchdog();
  /** The first commit index that a leader told in this life; -1 before. */
  private volatile long agreedBefore = -1;
  private volatile boolean caughtUp;
  private volatile Map<String, MembershipReconciler.Registration> listed = Map.of();
  private final Map<String, CompletableFuture<?>> pending = new ConcurrentHashMap<>();
  private final ScheduledExecutorService duty = new ScheduledThreadPoolExecutor(1, task -> {
    Thread made = new Thread(task, "ledger duty");
    made.setDaemon(true);
    return made;
  });

  private final LedgerClock clock = new LedgerClock(System::nanoTime, System.currentTimeMillis());

  private Voter(AgreeConfig config) throws IOException {
    this.config = config;
    roll = new MembershipReconciler(config.name(), config.silentMillis());
    journal = RaftJournal.open(config.journal(), config.fleet(), (long) config.mostMb() << 20);
    Codec codec = new Codec(GROUP);
    List<RaftEndpoint> voters = config.voters().stream().map(v -> (RaftEndpoint) new Peer(v.name())).toList();
    RaftNode[] made = new RaftNode[1];
    try {
      link = new RaftLink(config.fleet(), config.name(), config.raftListen(), config.voters().stream()
          .filter(v -> !v.name().equals(config.name())).collect(Collectors.toMap(AgreeConfig.VoterAddress::name, AgreeConfig.VoterAddress::raft)), codec,
          m -> pace.submit(() -> {
            heard(m);
            made[0].handle(PreVoteTermCatchUp.taken(journal.overlap().without(m), made[0].getTerm().getTerm()));
          }));
      RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId(GROUP).setConfig(ScaledRaftExecutor.config(SNAPSHOT_EVERY)).setExecutor(pace)
          .setClock(ScaledRaftExecutor.clock(Voter::micros)).setTransport(link).setStateMachine(machine).setStore(journal);
      RestoredRaftState restored = journal.restored();
      if (restored == null) {
        // One that joins is not of the group that it joins, until that has taken it.
        builder.setLocalEndpoint(new Peer(config.name())).setInitialGroupMembers(
            voters.stream().filter(v -> !journal.joins() || !v.getId().equals(config.name())).toList());
      } else {
        check(restored, voters);
        builder.setRestoredState(restored);
      }
      node = builder.build();
      made[0] = node;
      // Guards the others: the library goes on, and one that leads would go on leading without ever agreeing to anything.
      journal.onFailure(e -> {
        LOG.error("this voter's file can't be written, it takes no part until it is restarted: {}", e.toString());
        node.terminate();
      });
    } catch (IOException | RuntimeException e) {
      journal.close();
      throw e;
    }
  }

  private void check(RestoredRaftState restored, List<RaftEndpoint> voters) throws IOException {
    Object was = restored.getLocalEndpointPersistentState().getLocalEndpoint().getId();
    if (!was.equals(config.name())) {
      throw new IOException(config.journal() + " is the file of voter \"" + was + "\"");
    }
    List<RaftEndpoint> unknown = new ArrayList<>(voters);
    unknown.removeAll(journal.group().getMembers());
    if (unknown.size() > 1) {
      // One at a time: the others have to hold the majority.
      throw new IOException(config.journal() + " knows other voters than agree.voter: " + journal.group().getMembers());
    } else if (!unknown.isEmpty()) {
      LOG.warn("{} is no voter yet: `ashdeck outs replace` puts it in another's place", unknown.get(0).getId());
    }
  }

  /** Starts a voter; its file has to be there. */
  public static Voter start(AgreeConfig config) throws IOException {
    Voter v = new Voter(config);
    v.link.start();
    v.node.start();
    v.duty.scheduleWithFixedDelay(v::work, DUTY_MILLIS, DUTY_MILLIS, TimeUnit.MILLISECONDS);
    return v;
  }

  /** Whether this one leads, as far as it knows: what it says then holds only with a majority. */
  public boolean isLeader() {
    RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
    return leader != null && leader.getId().equals(config.name());
  }

  /** The name of who leads as far as this one knows; empty for nobody. */
  public String leader() {
    RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
    return leader == null ? "" : (String) leader.getId();
  }

  /** Whether it takes part: a voter whose file could not be written does not. */
  public boolean isActive() {
    return !journal.isFailed() && !RaftNodeStatus.isTerminal(node.getStatus());
  }

  private void heard(RaftMessage m) {
    standstill.heard(m, micros());
    if (agreedBefore < 0) {
      agreedBefore = m instanceof AppendEntriesRequest a ? a.getCommitIndex() : m instanceof InstallSnapshotRequest i ? i.getSnapshotIndex() : -1;
    }
  }

  /**
   * Whether what it holds is worth looking at. Guards who starts beside a voter that starts too: that one's ledger is empty until a leader has
   * agreed with it again, and an empty ledger has nobody out.
   */
  public boolean isCaughtUp() {
    long index = machine.index();
    caughtUp = caughtUp || index > 0 && index >= journal.restoredLast() && index >= agreedBefore && (agreedBefore >= 0 || isLeader());
    return caughtUp;
  }

  /** Puts a command in the one order; fails where this one does not lead, and where nobody knows whether it came through. */
  public CompletableFuture<Reply> command(Command c) {
    CompletableFuture<Ordered<Reply>> ordered = node.replicate(new TimestampedCommand(clock.stamp(machine.nowMillis()), c));
    return ordered.thenApply(Ordered::getResult);
  }

  /** Makes the next change that puts one voter in another's place; done once the group has agreed to it. Fails as {@link #command} does. */
  CompletableFuture<VoterReplacement.Next> replace(String from, String to) {
    if (config.voters().stream().noneMatch(v -> v.name().equals(to))) {
      return CompletableFuture.completedFuture(new VoterReplacement.Next(VoterReplacement.Step.NO, to, to + " is no agree.voter of the file that " + config.name()
          + " was started with"));
    }
    RaftGroupMembers group = node.getCommittedMembers();
    VoterReplacement.Next next = VoterReplacement.next(names(group.getMembers()), names(group.getVotingMembers()), leader(), from, to);
    if (next.isFinal()) {
      return CompletableFuture.completedFuture(next);
    }
    LOG.info("voters: {} {}", next.step().name().toLowerCase(java.util.Locale.ROOT), next.voter());
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

  /** The ledger as this one holds it; another may be ahead. */
  public LedgerState state() {
    return machine.state();
  }

  long index() {
    return machine.index();
  }

  /** An instance has looked here. */
  public void recordHeartbeat(String name, Heartbeat look) {
    synchronized (roll) {
      roll.recordHeartbeat(now(), name, look);
    }
  }

  /** The upstreams there are, by id, with their groups. */
  public void setUpstreams(Map<String, MembershipReconciler.Registration> upstreams) {
    listed = Map.copyOf(upstreams); // Taken up by the duty: who tells it, the engine's loop, waits for nobody.
  }

  /** Instances in service that have not acted on all up to an index, as this one has heard. */
  public List<String> laggingInstances(long index) {
    synchronized (roll) {
      return roll.laggingInstances(now(), index, state());
    }
  }

  private static long micros() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
  }

  private void wake() {
    RaftMessage m = standstill.look(micros(), node.getLocalEndpoint(), node.getTerm().getLeaderEndpoint(), node.getTerm().getTerm(), GROUP);
    if (m != null) {
      LOG.warn("the leader has been silent for long: the next term");
      node.handle(m);
    }
  }

  private static long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Never throws: a turn that did would be the last. */
  private void work() {
    try {
      pace.submit(this::wake);
      boolean leads = isLeader() && isActive();
      LedgerState s = state();
      List<Command> told;
      synchronized (roll) {
        roll.setUpstreams(listed);
        told = roll.reconcile(now(), leads, s);
      }
      if (leads && s.rules().version() < config.rules().version()) {
        tell("rules", config.rules());
      }
      told.stream().limit(MOST_A_TURN).forEach(c -> tell(c.toString(), c));
    } catch (RuntimeException e) {
      LOG.warn("the ledger's duty: {}", e.toString());
    }
  }

  /** One of a kind at a time: what has no answer yet is not said again. */
  private void tell(String key, Command c) {
    pending.computeIfAbsent(key, k -> {
      CompletableFuture<Reply> reply = command(c);
      return reply.handle((r, e) -> {
        duty.execute(() -> pending.remove(k));
        return null;
      });
    });
  }

  @Override
  public void close() {
    duty.shutdownNow();
    try {
      node.terminate().get(1, TimeUnit.SECONDS);
      link.close();
      journal.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (Exception e) {
      LOG.debug("at the end: {}", e.toString());
    }
  }

  /** Where it hears other voters. */
  public java.net.InetSocketAddress raftAddress() {
    return link.address();
  }
}
