package cloverpulley.engine;

import cloverpulley.Balancer;
import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.AnswerStarted;
import cloverpulley.Balancer.BodyDiscarded;
import cloverpulley.Balancer.BodyEnded;
import cloverpulley.Balancer.Cancel;
import cloverpulley.Balancer.ClientGone;
import cloverpulley.Balancer.CloseIdle;
import cloverpulley.Balancer.EndpointUpdate;
import cloverpulley.Balancer.Event;
import cloverpulley.Balancer.Fail;
import cloverpulley.Balancer.FetchEndpoints;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.PeerMessage;
import cloverpulley.Balancer.Probe;
import cloverpulley.Balancer.ProbeResult;
import cloverpulley.Balancer.ProcessCountChanged;
import cloverpulley.Balancer.PublishSnapshot;
import cloverpulley.Balancer.Reject;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.Send;
import cloverpulley.Balancer.SendToPeer;
import cloverpulley.Balancer.SetTimer;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.SettingsChanged;
import cloverpulley.Balancer.SnapshotRequested;
import cloverpulley.Balancer.SnapshotRestored;
import cloverpulley.Balancer.Status;
import cloverpulley.Balancer.TimerFired;
import cloverpulley.Balancer.UpstreamSetOffline;
import cloverpulley.Balancer.UpstreamSetOnline;
import cloverpulley.Balancer.Watch;
import cloverpulley.Reason;
import cloverpulley.state.BalancerSnapshot;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Stands between the fronts and the decision module: words what happens on the first as the second's events, one at a time,
 * and carries out its actions in order. It decides nothing and knows no protocol. All fronts of a process share one: one
 * module, one fleet, one count of what is in flight. All of it runs on one loop.
 */
public final class Engine {

  private static final Logger LOG = Logger.getLogger(Engine.class.getName());

  /** A request without an answer gets one so long after the time that the module knows: a last guard. */
  private static final long GUARD_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private final ScheduledExecutorService loop;
  private final Clock clock;
  private Settings settings;
  private boolean retuned;
  private final LongFunction<Balancer> modules;
  private final Fleet fleet;
  private final ListSource lists;
  private final PeerSender peers;
  private final EngineListener witness;
  private final List<Transport> transports = new ArrayList<>(1);
  private final Map<String, Exchange> exchanges = new HashMap<>();
  /** What has happened and the module has not been told; an entry is worded when its turn comes. */
  private final ArrayDeque<Supplier<Event>> queue = new ArrayDeque<>();
  private Consumer<BalancerSnapshot> knowledgeTo = k -> { };
  private boolean scheduled;
  private Balancer module;
  private long generation;
  private long taken;

  /** Where the module's questions for the list go. */
  public interface ListSource {
    void watch(boolean on);

    void fetch();
  }

  /** Where the module's messages to other balancers go; -1 is all of them. */
  public interface PeerSender {
    void send(int to, byte[] data);
  }

  /**
   * Makes an engine; every method is then to be called on {@code loop}, which has one thread.
   *
   * @param modules makes the n-th module of this process
   */
  public Engine(ScheduledExecutorService loop, Clock clock, Settings settings, LongFunction<Balancer> modules, Fleet fleet,
      ListSource lists, PeerSender peers) {
    this(loop, clock, settings, modules, fleet, lists, peers, EngineListener.NO_OP);
  }

  /** The same, with somebody who is told of all that happens. */
  public Engine(ScheduledExecutorService loop, Clock clock, Settings settings, LongFunction<Balancer> modules, Fleet fleet,
      ListSource lists, PeerSender peers, EngineListener witness) {
    this.witness = witness;
    this.loop = loop;
    this.clock = clock;
    this.settings = settings;
    this.modules = modules;
    this.fleet = fleet;
    this.lists = lists;
    this.peers = peers;
    module = modules.apply(generation);
  }

  /** A front's way to the upstreams joins; the first that can probe does. */
  public void addTransport(Transport transport) {
    transports.add(transport);
  }

  // ---- What happens --------------------------------------------------------------------------------------

  /** A client's request has come in whole. */
  public void accept(Exchange x) {
    x.id = "r" + taken;
    x.number = ++taken;
    x.maxAttempts = settings.limits().maxAttempts();
    exchanges.put(x.id, x);
    witness.requestAccepted(x);
    Exchange.RequestInfo f = x.info();
    long due = f.answerBy() > 0 ? Math.min(f.answerBy(), f.deadline()) : f.deadline();
    guard(x, due);
    enqueue(() -> x.isEnded() ? null : new Request(x.id, f.requestClass().name(), f.tenant(), f.key(), f.deadline(), f.hintNanos(),
        f.retry(), f.answerBy(), f.priorAttempts()));
  }

  /** The client has gone, or has been answered by its front without the module. */
  public void clientGone(Exchange x) {
    if (x.id != null) {
      finish(x, EngineListener.Completion.GONE, null);
    }
    x.end();
    enqueue(() -> known(x) ? new ClientGone(x.id) : null);
  }

  private void overdue(Exchange x) {
    if (!x.isEnded()) {
      finish(x, EngineListener.Completion.FAILED, Reason.DEADLINE);
      x.end();
      x.respond(LocalReply.failed(Reason.DEADLINE));
      clientGone(x);
    }
  }

  /** A source of the list has said something; with FAILED it has not, and the list is unused. */
  public void serverListUpdated(ListKind kind, ServerList list) {
    if (kind == ListKind.FAILED) {
      witness.serverListUpdated(kind, ServerList.EMPTY, List.of());
      enqueue(() -> new EndpointUpdate(kind, List.of()));
      return;
    }
    EndpointUpdate news = fleet.update(kind, list);
    if (witness != EngineListener.NO_OP) {
      List<EngineListener.NumberedServer> told = new ArrayList<>(news.endpoints().size());
      for (int i = 0; i < news.endpoints().size(); i++) {
        told.add(new EngineListener.NumberedServer(news.endpoints().get(i).upstream(), list.members().get(i)));
      }
      witness.serverListUpdated(kind, list, told);
    }
    enqueue(() -> news);
    // After the news, so that the module knows why what was still connecting comes back unsent.
    transports.forEach(t -> t.drainUpstreams(upstream -> !fleet.isReady(upstream)));
  }

  /**
   * An operator takes an upstream out, listed or not: nothing new goes to it, and what is not sent yet is withdrawn.
   *
   * @param forNanos how long it has been out already, where that was told elsewhere
   */
  public void setOffline(String id, long forNanos) {
    if (!fleet.offline().contains(id)) {
      long upstream = fleet.setOffline(id);
      enqueue(() -> new UpstreamSetOffline(upstream, forNanos));
      transports.forEach(t -> t.drainUpstreams(u -> !fleet.isReady(u)));
    }
  }

  /** An operator calls an upstream back; nothing where it was not out. */
  public void setOnline(String id) {
    Long upstream = fleet.setOnline(id);
    if (upstream != null) {
      enqueue(() -> new UpstreamSetOnline(upstream));
    }
  }

  /** Asks the module what it knows, for a successor; told in the module's turn. */
  public void requestSnapshot(Consumer<BalancerSnapshot> to) {
    knowledgeTo = to;
    enqueue(SnapshotRequested::new);
  }

  /** What a predecessor's module knew; after the first list. */
  public void restoreSnapshot(BalancerSnapshot knowledge) {
    enqueue(() -> new SnapshotRestored(knowledge));
  }

  /** Other settings hold for requests that are taken from here on; those in hand keep theirs. */
  public void updateSettings(Settings to) {
    settings = to;
    retuned = true;
    enqueue(() -> new SettingsChanged(to));
  }

  /** So many processes serve as this balancer, this one among them. */
  public void setProcessCount(int processes) {
    enqueue(() -> new ProcessCountChanged(processes));
  }

  /** Another balancer has sent a message. */
  public void peerMessage(int from, byte[] data) {
    enqueue(() -> new PeerMessage(from, data));
  }

  /** Whether a request that came now could be served. */
  public boolean canServe() {
    return fleet.hasReady();
  }

  /** Requests in hand: those owed an answer, and those with an attempt still out. */
  public int pendingRequests() {
    return exchanges.size();
  }

  /** Attempts that have not ended. */
  public int inFlightAttempts() {
    int attempts = 0;
    for (Exchange x : exchanges.values()) {
      attempts += x.outstanding;
    }
    return attempts;
  }

  /** Answers all requests in hand, without a promise. */
  public void failAll() {
    for (Exchange x : List.copyOf(exchanges.values())) {
      if (!x.isEnded()) {
        finish(x, EngineListener.Completion.FAILED, Reason.STOPPING);
        x.end();
        x.respond(LocalReply.failed(Reason.STOPPING));
        clientGone(x);
      }
    }
  }

  /**
   * An attempt has ended; a second word on the same one is ignored.
   *
   * @param load the upstream's report, empty where none came
   * @param inTurn run when its turn to be told has come: hands over what an upstream served, and ends the exchange where it
   *     is the final answer
   */
  public void attemptEnded(Attempt attempt, Status status, Map<String, Double> load, Runnable inTurn) {
    if (attempt.ended) {
      return;
    }
    attempt.ended = true;
    Exchange x = attempt.exchange();
    long latency = attempt.begunAfter >= 0 ? attempt.begunAfter : latency(attempt);
    witness.attemptEnded(attempt, status, latency);
    enqueue(() -> {
      x.outstanding--;
      inTurn.run();
      if (x.isEnded()) {
        // By its front, in this turn or before it: an end that was told already stays.
        boolean broke = x.passing == attempt && status != Status.SERVED;
        finish(x, broke ? EngineListener.Completion.FAILED : EngineListener.Completion.SERVED, broke ? Reason.MAY_HAVE_RUN : null);
      }
      return known(x) ? new Outcome(x.id, attempt.number(), attempt.upstream(), status, latency, x.isEnded(), load) : null;
    });
  }

  private long latency(Attempt attempt) {
    return clock.now() - Math.max(attempt.sentAt(), attempt.wholeAt);
  }

  /**
   * An attempt's answer has begun and is to be passed on while it comes: from here on the request is this attempt's, without a
   * deadline, and ends with it. False where the request has its end or another attempt's answer: then nothing may be passed on.
   */
  public boolean answerStarted(Attempt attempt) {
    Exchange x = attempt.exchange();
    if (attempt.ended || x.isEnded() || x.passing != null || !known(x)) {
      return false;
    }
    x.passing = attempt;
    x.guard.cancel(false);
    attempt.begunAfter = latency(attempt);
    enqueue(() -> known(x) && !x.isEnded() ? new AnswerStarted(x.id, attempt.number(), attempt.upstream(), attempt.begunAfter) : null);
    return true;
  }

  /** The body of a request that was taken before it was whole has come; {@code deadline} is when an answer is of no more use. */
  public void bodyEnded(Exchange x, long deadline) {
    if (x.isEnded() || !known(x)) {
      return;
    }
    x.deadline = deadline;
    x.attempts.forEach(a -> a.wholeAt = clock.now());
    if (x.passing == null) {
      x.guard.cancel(false);
      guard(x, deadline);
    }
    enqueue(() -> known(x) ? new BodyEnded(x.id, deadline) : null);
  }

  /** The beginning of a request's body is not kept any more. */
  public void bodyDiscarded(Exchange x) {
    enqueue(() -> known(x) ? new BodyDiscarded(x.id) : null);
  }

  private void guard(Exchange x, long due) {
    x.guard = loop.schedule(() -> overdue(x), due + GUARD_NANOS - clock.now(), TimeUnit.NANOSECONDS);
  }

  /**
   * Events are told only once all sockets that had something to say have been read: actions then don't go to a
   * connection whose end is known already, and an action never re-enters the module.
   */
  private void enqueue(Supplier<Event> event) {
    queue.add(event);
    if (!scheduled) {
      scheduled = true;
      loop.execute(this::tell);
    }
  }

  private void tell() {
    scheduled = false;
    for (Supplier<Event> next = queue.poll(); next != null; next = queue.poll()) {
      Event event = worded(next);
      if (event == null) {
        continue;
      }
      try {
        module.handle(clock.now(), event, this::perform);
      } catch (RuntimeException e) {
        LOG.log(Level.SEVERE, "module failed at " + event.getClass().getSimpleName(), e);
        restart(event);
      }
      if (event instanceof Outcome o) {
        forget(exchanges.get(o.id()));
      } else if (event instanceof ClientGone g) {
        forget(exchanges.get(g.id()));
      }
    }
  }

  /** The event as it is worded in its turn; null for none. What fails there is one event's matter, and not that of those behind it. */
  private static Event worded(Supplier<Event> event) {
    try {
      return event.get();
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "an event was lost", e);
      return null;
    }
  }

  /** A module that threw is in an unknown state: what it held is answered, and a new one starts from the list. */
  private void restart(Event cause) {
    if (cause instanceof SettingsChanged || cause instanceof EndpointUpdate news && news.kind() == ListKind.CACHED) {
      LOG.severe("a module can't even start: the process ends");
      failAll();
      loop.execute(() -> Runtime.getRuntime().halt(1));
      return;
    }
    witness.moduleReplaced(cause.getClass().getSimpleName());
    List<Exchange> all = List.copyOf(exchanges.values());
    for (Exchange x : all) {
      x.attempts.forEach(Engine::cancel);
    }
    failAll();
    exchanges.clear();
    all.forEach(Exchange::onRemoved);
    queue.clear();
    module = modules.apply(++generation);
    if (retuned) {
      Settings now = settings;
      enqueue(() -> new SettingsChanged(now)); // Before the list: it was made with those of the start.
    }
    EndpointUpdate held = fleet.cachedUpdate();
    enqueue(() -> held);
    fleet.offline().forEach(id -> {
      long upstream = fleet.setOffline(id);
      enqueue(() -> new UpstreamSetOffline(upstream, 0));
    });
  }

  /** Tells of a request's end, the first time. */
  private void finish(Exchange x, EngineListener.Completion end, Reason reason) {
    if (!x.told) {
      x.told = true;
      witness.requestEnded(x, end, reason);
    }
  }

  private boolean known(Exchange x) {
    return exchanges.get(x.id) == x;
  }

  private void forget(Exchange x) {
    if (x != null && x.isEnded() && x.outstanding == 0) {
      exchanges.remove(x.id);
      x.onRemoved();
    }
  }

  // ---- What the module asks for --------------------------------------------------------------------------

  private void perform(Action action) {
    if (action instanceof Send a) {
      send(exchange(a.id()), a);
    } else if (action instanceof Cancel a) {
      Exchange x = exchanges.get(a.id());
      if (x != null) {
        cancel(x.attempts.get(a.attempt() - x.info().priorAttempts().size()));
      }
    } else if (action instanceof Reject a) {
      end(a.id(), new LocalReply(true, a.reason(), a.retryAfterNanos()));
    } else if (action instanceof Fail a) {
      end(a.id(), LocalReply.failed(a.reason()));
    } else if (action instanceof SetTimer a) {
      long made = generation;
      loop.schedule(() -> enqueue(() -> made == generation ? new TimerFired(a.token()) : null),
          a.atNanos() - clock.now(), TimeUnit.NANOSECONDS);
    } else if (action instanceof Watch a) {
      lists.watch(a.on());
    } else if (action instanceof FetchEndpoints) {
      lists.fetch();
    } else if (action instanceof Probe a) {
      probe(a.upstream());
    } else if (action instanceof CloseIdle a) {
      transports.forEach(t -> t.closeIdle(a.upstream()));
    } else if (action instanceof SendToPeer a) {
      peers.send(a.to(), a.data());
    } else if (action instanceof PublishSnapshot a) {
      knowledgeTo.accept(a.snapshot());
    } else if (action instanceof Balancer.Log a) {
      LOG.info(a.text());
    }
  }

  private static void cancel(Attempt attempt) {
    if (attempt.sending != null && !attempt.ended) {
      attempt.sending.cancel();
    }
  }

  private Exchange exchange(String id) {
    Exchange x = exchanges.get(id);
    if (x == null) {
      throw new IllegalStateException("request " + id + " is over");
    }
    return x;
  }

  private void end(String id, LocalReply verdict) {
    Exchange x = exchanges.get(id);
    if (x != null && !x.isEnded()) {
      finish(x, verdict.rejected() ? EngineListener.Completion.REJECTED : EngineListener.Completion.FAILED, verdict.reason());
      x.end();
      x.respond(verdict);
    }
    forget(x);
  }

  private void send(Exchange x, Send send) {
    long now = clock.now();
    int number = x.info().priorAttempts().size() + x.attempts.size();
    Attempt attempt = new Attempt(x, number, send.upstream(), now, send.sendByNanos());
    x.attempts.add(attempt);
    x.outstanding++;
    witness.attemptSent(attempt);
    if (x.info().answerBy() > 0) {
      x.guard.cancel(false); // The sending is the answer; its own time-out bounds it from here on.
    }
    long left = x.deadline - now;
    long timeout = send.timeoutNanos() == 0 ? left : Math.min(left, send.timeoutNanos());
    SocketAddress address = fleet.address(send.upstream());
    if (x.isEnded() || timeout <= 0 || number >= x.maxAttempts || send.sendByNanos() > 0 && now >= send.sendByNanos()) {
      attemptEnded(attempt, Status.NOT_SENT, Map.of(), () -> { });
    } else if (address == null) {
      attemptEnded(attempt, Status.CONNECT_FAILED, Map.of(), () -> { });
    } else {
      attempt.sending = x.startAttempt(attempt, address, timeout);
    }
  }

  private void probe(long upstream) {
    long sentAt = clock.now();
    SocketAddress address = fleet.address(upstream);
    Transport.ProbeCallback done = (status, load) -> {
      long latency = clock.now() - sentAt;
      enqueue(() -> new ProbeResult(upstream, status, latency, load));
    };
    if (address == null) {
      done.probeEnded(Status.CONNECT_FAILED, Map.of());
    } else if (transports.stream().noneMatch(t -> t.probe(upstream, address, done))) {
      done.probeEnded(Status.NOT_SENT, Map.of());
    }
  }
}
