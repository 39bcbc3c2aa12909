package cloverpulley.agree;

import cloverpulley.outs.Command;
import cloverpulley.outs.DisruptionLedger;
import cloverpulley.outs.Reply;
import cloverpulley.outs.LedgerState;
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

/** A voter on the virtual clock: the real Raft and the real ledger, with a machine that crashes, stops and goes on. */
final class SimulatedVoter {

  private static final int SNAPSHOT_EVERY = 30;

  final String name;
  private final VirtualTime time;
  private final List<RaftEndpoint> all;
  private final Random random;
  private final BiConsumer<String, byte[]> send;
  private final Codec codec = new Codec("outs");
  private final MemoryStore store = new MemoryStore();
  /** What a paused machine has not got to. */
  private final ArrayDeque<Runnable> behind = new ArrayDeque<>();
  private LedgerStateMachine machine;
  private RaftNode node;
  private ElectionWatchdog standstill;
  private int life;
  private boolean up;
  private boolean paused;
  /** How far its clock is off, and how it is stamped on what it proposes. */
  long skewMillis;

  /** {@code send} is given each message with whom it is for. */
  SimulatedVoter(String name, List<RaftEndpoint> all, VirtualTime time, Random random, BiConsumer<String, byte[]> send) {
    this.name = name;
    this.all = all;
    this.time = time;
    this.random = random;
    this.send = send;
  }

  private final class Life implements RaftNodeExecutor, Transport {
    private final int mine = life;

    private void run(Runnable task) {
      if (mine != life || !up) {
        return;
      } else if (paused) {
        behind.add(() -> run(task));
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
      time.after(0, () -> run(task));
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
      time.after(unit.toMicros(delay) / ScaledRaftExecutor.FASTER, () -> run(task));
    }

    @Override
    public void send(RaftEndpoint target, RaftMessage message) {
      if (mine == life && up) {
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

  /** Starts the machine, if it is down. */
  void start() {
    if (up) {
      return;
    }
    life++;
    up = true;
    paused = false;
    behind.clear();
    machine = new LedgerStateMachine(new DisruptionLedger());
    Life l = new Life();
    RaftNode.RaftNodeBuilder b = RaftNode.newBuilder().setGroupId("outs").setConfig(ScaledRaftExecutor.config(SNAPSHOT_EVERY)).setExecutor(l).setTransport(l)
        .setClock(ScaledRaftExecutor.clock(time::micros)).setRandom(random).setStateMachine(machine).setStore(store);
    RestoredRaftState restored = store.restored();
    if (restored == null) {
      b.setLocalEndpoint(new Peer(name)).setInitialGroupMembers(all);
    } else {
      b.setRestoredState(restored);
    }
    node = b.build();
    standstill = new ElectionWatchdog();
    node.start();
    l.submit(() -> wake(l));
  }

  private void wake(Life l) {
    RaftMessage m = standstill.look(time.micros(), node.getLocalEndpoint(), node.getTerm().getLeaderEndpoint(), node.getTerm().getTerm(), "outs");
    if (m != null) {
      node.handle(m);
    }
    time.after(100_000, () -> l.run(() -> wake(l)));
  }

  void crash() {
    up = false;
    life++;
    behind.clear();
    store.crash(random);
  }

  void pause() {
    paused = true;
  }

  void goOn() {
    paused = false;
    for (Runnable next = behind.poll(); next != null; next = behind.poll()) {
      Runnable task = next;
      time.after(0, task);
    }
  }

  boolean isUp() {
    return up;
  }

  boolean isPaused() {
    return paused;
  }

  /** A message has come, if there is a machine to get it. */
  void receive(byte[] message) {
    if (!up) {
      return;
    }
    int to = life;
    Runnable take = () -> {
      if (up && to == life) {
        try {
          RaftMessage m = codec.read(message);
          standstill.heard(m, time.micros());
          node.handle(PreVoteTermCatchUp.taken(store.overlap().without(m), node.getTerm().getTerm()));
        } catch (IOException e) {
          throw new IllegalStateException(e);
        }
      }
    };
    if (paused) {
      behind.add(take);
    } else {
      take.run();
    }
  }

  /** Asks here, where it answers at all. */
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
      reply.completeExceptionally(new IOException("not there"));
    }
    return reply;
  }

  /** A defect put in on purpose: says yes by what this one holds, without asking the others. */
  Reply withoutAsking(Command c) {
    DisruptionLedger copy = new DisruptionLedger();
    copy.restore(machine.state());
    return copy.apply(machine.index() + 1, time.millis(), c);
  }

  boolean leads() {
    RaftEndpoint leader = up && !paused ? node.getTerm().getLeaderEndpoint() : null;
    return leader != null && leader.getId().equals(name);
  }

  /** How it stands, for who looks into a history that broke. */
  String described() {
    return name + (up ? "" : " down") + (paused ? " paused" : "") + " " + node.getStatus() + " term " + node.getTerm().getTerm() + " leader "
        + (node.getTerm().getLeaderEndpoint() == null ? "none" : node.getTerm().getLeaderEndpoint().getId()) + " index " + machine.index();
  }

  LedgerState state() {
    return machine.state();
  }
}
