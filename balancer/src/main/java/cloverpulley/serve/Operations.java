package cloverpulley.serve;

import cloverpulley.engine.Engine;
import cloverpulley.engine.Fleet;
import cloverpulley.engine.Sockets;
import cloverpulley.handover.Meeting;
import cloverpulley.handover.Meeting.Stage;
import cloverpulley.handover.Outs;
import cloverpulley.serve.Door.Answer;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * What operators and another process of this balancer do to it: carries the door's calls and what the shared folder says to the engine's
 * loop. On a thread of its own, the only one that touches the folder. What a call means is the module's business.
 */
final class Operations implements Door.Calls {

  private static final Logger LOG = Logger.getLogger(Operations.class.getName());

  private static final long LOOK_MILLIS = 100;
  /** The part of the descriptors beyond which connections are given back while a successor starts, and while this one leaves. */
  private static final double PART_SUCCEEDED = 0.4;
  private static final double PART_LEAVING = 0.2;
  /** A caller waits for 1 s: what is known to be kept is confirmed before that, also where the engine's loop is late. */
  private static final long ANSWER_MILLIS = 600;

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop own = group.next();
  private final Meeting meeting;
  private final Outs outs;
  /** Where there is no folder: upstreams that are out, with the Unix time since when. */
  private final Map<String, Long> unshared = new ConcurrentHashMap<>();
  private volatile Parts parts;
  private volatile boolean ready;
  private volatile boolean leaving;
  private volatile List<Meeting.Other> others = List.of();
  private Channel door;

  /** What there is of a balancer once it is wired. */
  record Parts(EventLoop loop, Engine engine, Fleet fleet, Sockets sockets, UpstreamPool pool, Frontend frontend) {}

  /** Opens the door, which says that nothing is ready yet. A folder that can't be used is done without. */
  Operations(Config config) {
    Meeting met = null;
    Outs kept = null;
    if (config.shared() != null) {
      Path folder = config.shared();
      try {
        met = Meeting.join(folder, System.currentTimeMillis(), ProcessHandle.current().pid());
        kept = new Outs(folder.resolve("out"));
      } catch (IOException e) {
        LOG.warning("no folder to share with another process, each is alone: " + e);
      }
    }
    meeting = met;
    outs = kept;
    door = new Door(this).listen(group, config.management()).syncUninterruptibly().channel();
    look();
  }

  Channel door() {
    return door;
  }

  /** The balancer is wired and takes clients. {@code parts} are used on its loop alone. */
  void serving(Parts wired) {
    parts = wired;
    own.submit(this::look).syncUninterruptibly();
    own.scheduleWithFixedDelay(this::look, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** The balancer leaves: the door says no from here on. */
  void leaving() {
    leaving = true;
    ready = false;
    own.execute(this::look);
  }

  /** Whether a process that started later serves at the same address. */
  boolean hasSuccessor() {
    return others.stream().anyMatch(o -> o.startedLater() && o.stage() == Stage.SERVING);
  }

  /** Leaves the folder and closes the door; a second time nothing. */
  void shutDown() {
    if (group.isShuttingDown()) {
      return;
    }
    own.execute(() -> {
      try {
        if (meeting != null) {
          meeting.close();
        }
      } catch (IOException e) {
        LOG.fine("the shared folder at the end: " + e);
      }
    });
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  // ---- On its own thread ---------------------------------------------------------------------------------

  /** Looks at the folder, and has the engine's loop take up what it says. */
  private void look() {
    Parts p = parts;
    try {
      if (meeting != null) {
        meeting.tell(leaving ? Stage.LEAVING : p == null ? Stage.STARTING : Stage.SERVING, p == null ? 0 : p.sockets().held());
        others = meeting.others();
      }
      if (p != null) {
        Map<String, Long> out = outs == null ? Map.copyOf(unshared) : outs.all();
        int elsewhere = others.stream().mapToInt(Meeting.Other::descriptors).sum();
        boolean later = others.stream().anyMatch(Meeting.Other::startedLater);
        p.loop().execute(() -> takeUp(p, out, elsewhere, later));
      }
    } catch (IOException e) {
      LOG.warning("the shared folder can't be read: " + e);
    }
  }

  // ---- On the engine's loop ------------------------------------------------------------------------------

  private void takeUp(Parts p, Map<String, Long> out, int elsewhere, boolean later) {
    out.forEach((id, since) ->
        p.engine().takeOut(id, TimeUnit.MILLISECONDS.toNanos(Math.max(0, System.currentTimeMillis() - since))));
    p.fleet().out().stream().filter(id -> !out.containsKey(id)).forEach(p.engine()::callBack);
    p.sockets().heldElsewhere(elsewhere);
    while (later && p.sockets().isOver(leaving ? PART_LEAVING : PART_SUCCEEDED) && p.pool().closeOldest()) {
      // One at a time: gives back early what a successor needs.
    }
    ready = !leaving && p.frontend().isReady();
  }

  // ---- Calls ---------------------------------------------------------------------------------------------

  @Override
  public CompletableFuture<Answer> ready() {
    return CompletableFuture.completedFuture(ready ? new Answer(200, "ready") : new Answer(503, leaving ? "leaving" : "not ready"));
  }

  @Override
  public CompletableFuture<Answer> offline(String upstream) {
    return call(upstream, true);
  }

  @Override
  public CompletableFuture<Answer> online(String upstream) {
    return call(upstream, false);
  }

  /** Asks the loop whether the name is known, keeps the call in the folder, and has the loop take it up. */
  private CompletableFuture<Answer> call(String upstream, boolean offline) {
    Parts p = parts;
    if (p == null) {
      return CompletableFuture.completedFuture(new Answer(503, "not ready"));
    }
    if (!Outs.fits(upstream)) {
      return CompletableFuture.completedFuture(new Answer(404, "no upstream of this name was ever listed"));
    }
    return CompletableFuture.supplyAsync(() -> p.fleet().wasListed(upstream), p.loop())
        .completeOnTimeout(null, ANSWER_MILLIS, TimeUnit.MILLISECONDS)
        .thenComposeAsync(known -> known == null ? CompletableFuture.completedFuture(new Answer(503, "too busy, call again"))
            : known ? keep(p, upstream, offline) : CompletableFuture.completedFuture(
                new Answer(404, "no upstream of this name was ever listed")), own);
  }

  private CompletableFuture<Answer> keep(Parts p, String upstream, boolean offline) {
    try {
      if (offline && !add(upstream)) {
        return CompletableFuture.completedFuture(new Answer(503, "too many upstreams are out"));
      } else if (!offline) {
        remove(upstream);
      }
    } catch (IOException e) {
      LOG.warning("the shared folder can't be written: " + e);
      return CompletableFuture.completedFuture(new Answer(503, "the call can't be kept"));
    }
    LOG.info(() -> "operators: " + Counts.name(upstream) + (offline ? " offline" : " online"));
    look();
    Answer yes = new Answer(200, offline ? "offline" : "online");
    // Behind what look() gave to the loop, and behind the engine's own turn that tells the module.
    return CompletableFuture.runAsync(() -> { }, p.loop()).thenApply(v -> yes)
        .completeOnTimeout(yes, ANSWER_MILLIS / 2, TimeUnit.MILLISECONDS);
  }

  private boolean add(String upstream) throws IOException {
    if (outs != null) {
      return outs.add(upstream);
    }
    return unshared.size() < Outs.MOST && (unshared.putIfAbsent(upstream, System.currentTimeMillis()) == null || true);
  }

  private void remove(String upstream) throws IOException {
    if (outs != null) {
      outs.remove(upstream);
    } else {
      unshared.remove(upstream);
    }
  }
}
