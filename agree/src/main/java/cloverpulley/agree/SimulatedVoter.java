package cloverpulley.agree;

import cloverpulley.outs.Command;
import cloverpulley.outs.DisruptionLedger;
import cloverpulley.outs.LedgerState;
import cloverpulley.outs.Reply;
import io.microraft.Ordered;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/** A voter on the virtual clock: real Raft and the real ledger on a simulated machine that can crash, pause and resume. */
final class SimulatedVoter {

  private static final int COMMITS_PER_SNAPSHOT = 30;

  final String name;
  private final VirtualTime time;
  private final List<RaftEndpoint> all;
  private final Random random;
  private final BiConsumer<String, byte[]> send;
  private final Codec codec = new Codec("outs");
  private final MemoryStore store = new MemoryStore();
  /** Tasks that wait while the machine is paused. */
  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
  private LedgerStateMachine stateMachine;
  private RaftNode node;
  private ElectionWatchdog watchdog;
  private int incarnation;
  private boolean up;
  private boolean paused;
  /** Clock skew of the machine, added to the timestamps of its commands. */
  long skewMillis;

  /** {@code send} receives each message together with the name of its recipient. */
  SimulatedVoter(String name, List<RaftEndpoint> all, VirtualTime time, Random random, BiConsumer<String, byte[]> send) {
    this.name = name;
    this.all = all;
    this.time = time;
    this.random = random;
    this.send = send;
  }

  private final class Incarnation implements RaftNodeExecutor, Transport {
    private final int id = incarnation;

    private void run(Runnable task) {
      if (id != incarnation || !up) {
        return;
      } else if (paused) {
        deferred.add(() -> run(task));
      } else {
        task.run();
      }
    }

    @Override
    public void execute(Runnable task) {
      submit(task);
    }

    @Override
    public void submit(Runnable task) {
      time.schedule(0, () -> run(task));
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
      time.schedule(unit.toMicros(delay) / ScaledRaftExecutor.TIME_SCALE, () -> run(task));
    }

    @Override
    public void send(RaftEndpoint target, RaftMessage message) {
      if (id == incarnation && up) {
        try {
          send.accept((String) target.getId(), codec.write(message));
        } catch (IOException e) {
          throw new IllegalStateException(e);
        }
      }
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
      return true;
    }
  }

  /** Starts the machine if it is down. */
  void start() {
    if (up) {
      return;
    }
    incarnation++;
    up = true;
    paused = false;
    deferred.clear();
    stateMachine = new LedgerStateMachine(new DisruptionLedger());
    Incarnation i = new Incarnation();
    RaftNode.RaftNodeBuilder b = RaftNode.newBuilder().setGroupId("outs").setConfig(ScaledRaftExecutor.config(COMMITS_PER_SNAPSHOT))
        .setExecutor(i).setTransport(i).setClock(ScaledRaftExecutor.clock(time::micros)).setRandom(random).setStateMachine(stateMachine)
        .setStore(store);
    RestoredRaftState restored = store.restored();
    if (restored == null) {
      b.setLocalEndpoint(new Peer(name)).setInitialGroupMembers(all);
    } else {
      b.setRestoredState(restored);
    }
    node = b.build();
    watchdog = new ElectionWatchdog();
    node.start();
    i.submit(() -> checkLeader(i));
  }

  private void checkLeader(Incarnation i) {
    RaftMessage m = watchdog.check(time.micros(), node.getLocalEndpoint(), node.getTerm().getLeaderEndpoint(), node.getTerm().getTerm(), "outs");
    if (m != null) {
      node.handle(m);
    }
    time.schedule(100_000, () -> i.run(() -> checkLeader(i)));
  }

  void crash() {
    up = false;
    incarnation++;
    deferred.clear();
    store.crash(random);
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    for (Runnable next = deferred.poll(); next != null; next = deferred.poll()) {
      Runnable task = next;
      time.schedule(0, task);
    }
  }

  boolean isUp() {
    return up;
  }

  boolean isPaused() {
    return paused;
  }

  /** Handles a message if the machine is up. */
  void receive(byte[] message) {
    if (!up) {
      return;
    }
    int receiver = incarnation;
    Runnable handle = () -> {
      if (up && receiver == incarnation) {
        try {
          RaftMessage m = codec.read(message);
          watchdog.onMessage(m, time.micros());
          node.handle(PreVoteTermCatchUp.rewrite(store.overlap().trim(m), node.getTerm().getTerm()));
        } catch (IOException e) {
          throw new IllegalStateException(e);
        }
      }
    };
    if (paused) {
      deferred.add(handle);
    } else {
      handle.run();
    }
  }

  /** Replicates a command; fails where the machine is down or paused. */
  CompletableFuture<Reply> command(Command c) {
    CompletableFuture<Reply> reply = new CompletableFuture<>();
    if (up && !paused) {
      CompletableFuture<Ordered<Reply>> ordered = node.replicate(new TimestampedCommand(1_000_000 + time.millis() + skewMillis, c));
      ordered.whenComplete((r, e) -> {
        if (e == null) {
          reply.complete(r.getResult());
        } else {
          reply.completeExceptionally(e);
        }
      });
    } else {
      reply.completeExceptionally(new IOException("not available"));
    }
    return reply;
  }

  /** A deliberate defect: decides by the local state without replicating the command. */
  Reply replyLocally(Command c) {
    DisruptionLedger copy = new DisruptionLedger();
    copy.restore(stateMachine.state());
    return copy.apply(stateMachine.index() + 1, time.millis(), c);
  }

  boolean isLeader() {
    RaftEndpoint leader = up && !paused ? node.getTerm().getLeaderEndpoint() : null;
    return leader != null && leader.getId().equals(name);
  }

  /** A description for diagnosing a failed history. */
  String describe() {
    return name + (up ? "" : " down") + (paused ? " paused" : "") + " " + node.getStatus() + " term " + node.getTerm().getTerm() + " leader "
        + (node.getTerm().getLeaderEndpoint() == null ? "none" : node.getTerm().getLeaderEndpoint().getId()) + " index " + stateMachine.index();
  }

  LedgerState state() {
    return stateMachine.state();
  }
}
