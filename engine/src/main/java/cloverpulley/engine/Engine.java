package cloverpulley.engine;

import cloverpulley.Balancer;
import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.AnswerBegan;
import cloverpulley.Balancer.AnswerStalled;
import cloverpulley.Balancer.AnswerStarted;
import cloverpulley.Balancer.BodyDiscarded;
import cloverpulley.Balancer.BodyEnded;
import cloverpulley.Balancer.BodyPending;
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
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Connects the frontends to the decision module: turns what happens in the frontends into events, passes them to the module one at a time,
 * and executes its actions in order. It makes no decisions and is independent of the protocol. All frontends of a process share one engine and
 * so one module, one fleet and one count of requests in flight. Runs on a single event loop.
 */
public final class Engine {

  private static final Logger LOG = Logger.getLogger(Engine.class.getName());

  /** How long after its deadline the engine itself fails a request that the module has not ended: a last safeguard. */
  private static final long DEADLINE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private final ScheduledExecutorService loop;
  private final Clock clock;
  private Settings settings;
  private boolean settingsChanged;
  private final LongFunction<Balancer> moduleFactory;
  private final Fleet fleet;
  private final ListSource listSource;
  private final PeerSender peerSender;
  private final EngineListener listener;
  private final List<Transport> transports = new ArrayList<>(1);
  private final Map<String, Exchange> exchanges = new HashMap<>();
  /** Events that the module has not handled yet; each is built when its turn comes. */
  private final ArrayDeque<Supplier<Event>> queue = new ArrayDeque<>();
  private Consumer<BalancerSnapshot> snapshotConsumer = snapshot -> { };
  private boolean processingScheduled;
  private Balancer module;
  private long generation;
  private long acceptedRequests;

  /** Receives the module's requests for the server list. */
  public interface ListSource {
    void watch(boolean on);

    void fetch();
  }

  /** Sends the module's messages to other balancers; -1 addresses all of them. */
  public interface PeerSender {
    void send(int to, byte[] data);
  }

  /**
   * Creates an engine; all its methods must be called on {@code loop}, which has one thread.
   *
   * @param moduleFactory creates the n-th module of this process
   */
  public Engine(ScheduledExecutorService loop, Clock clock, Settings settings, LongFunction<Balancer> moduleFactory, Fleet fleet,
      ListSource listSource, PeerSender peerSender) {
    this(loop, clock, settings, moduleFactory, fleet, listSource, peerSender, EngineListener.NO_OP);
  }

  /** Creates an engine with a listener for everything that happens. */
  public Engine(ScheduledExecutorService loop, Clock clock, Settings settings, LongFunction<Balancer> moduleFactory, Fleet fleet,
      ListSource listSource, PeerSender peerSender, EngineListener listener) {
    this.listener = listener;
    this.loop = loop;
    this.clock = clock;
    this.settings = settings;
    this.moduleFactory = moduleFactory;
    this.fleet = fleet;
    this.listSource = listSource;
    this.peerSender = peerSender;
    module = moduleFactory.apply(generation);
  }

  /** Adds a frontend's transport to the upstreams; probes go to the first transport that supports them. */
  public void addTransport(Transport transport) {
    transports.add(transport);
  }

  // ---- Events --------------------------------------------------------------------------------------------

  /** Accepts a client's request: enqueues it for the module and starts its deadline timer. */
  public void accept(Exchange x) {
    x.id = "r" + acceptedRequests;
    x.number = ++acceptedRequests;
    x.maxAttempts = settings.limits().maxAttempts();
    exchanges.put(x.id, x);
    listener.requestAccepted(x);
    Exchange.RequestInfo info = x.info();
    long due = info.answerBy() > 0 ? Math.min(info.answerBy(), info.deadline()) : info.deadline();
    scheduleExpiry(x, due);
    enqueue(() -> x.isEnded() ? null : new Request(x.id, info.requestClass().name(), info.tenant(), info.key(), info.deadline(),
        info.hintNanos(), info.retry(), info.answerBy(), info.priorAttempts(), info.bodyBytes()));
  }

  /** The client has disconnected, or its frontend has answered it without the module. */
  public void clientGone(Exchange x) {
    if (x.id != null) {
      reportEnd(x, EngineListener.Completion.GONE, null);
    }
    x.end();
    enqueue(() -> isTracked(x) ? new ClientGone(x.id) : null);
  }

  /** The client's time for a request is up, though its body has not been read completely: it fails. */
  public void clientTimeUp(Exchange x) {
    expire(x);
  }

  private void expire(Exchange x) {
    if (!x.isEnded()) {
      reportEnd(x, EngineListener.Completion.FAILED, Reason.DEADLINE);
      x.end();
      x.respond(LocalReply.failed(Reason.DEADLINE));
      clientGone(x);
    }
  }

  /** A source has reported a list or changes to it; with FAILED it could not be reached, and the list is ignored. */
  public void serverListUpdated(ListKind kind, ServerList list) {
    if (kind == ListKind.FAILED) {
      listener.serverListUpdated(kind, ServerList.EMPTY, List.of());
      enqueue(() -> new EndpointUpdate(kind, List.of()));
      return;
    }
    EndpointUpdate update = fleet.update(kind, list);
    if (listener != EngineListener.NO_OP) {
      List<EngineListener.NumberedServer> numbered = new ArrayList<>(update.endpoints().size());
      for (int i = 0; i < update.endpoints().size(); i++) {
        numbered.add(new EngineListener.NumberedServer(update.endpoints().get(i).upstream(), list.members().get(i)));
      }
      listener.serverListUpdated(kind, list, numbered);
    }
    enqueue(() -> update);
    // After the update, so that the module knows why attempts that were still connecting end as not sent.
    transports.forEach(t -> t.drainUpstreams(upstream -> !fleet.isReady(upstream)));
  }

  /**
   * Takes an upstream administratively offline, listed or not: it gets no new requests, and attempts that are not sent yet are cancelled.
   *
   * @param forNanos how long it has been offline already, where another process took it offline
   */
  public void setOffline(String id, long forNanos) {
    if (!fleet.offline().contains(id)) {
      long upstream = fleet.setOffline(id);
      enqueue(() -> new UpstreamSetOffline(upstream, forNanos));
      transports.forEach(t -> t.drainUpstreams(u -> !fleet.isReady(u)));
    }
  }

  /** Brings an upstream back online; no effect if it was not offline. */
  public void setOnline(String id) {
    Long upstream = fleet.setOnline(id);
    if (upstream != null) {
      enqueue(() -> new UpstreamSetOnline(upstream));
    }
  }

  /** Requests a snapshot of the module's state for a successor; the consumer gets it once the module has handled the event. */
  public void requestSnapshot(Consumer<BalancerSnapshot> consumer) {
    snapshotConsumer = consumer;
    enqueue(SnapshotRequested::new);
  }

  /** Restores the state of a predecessor's module; to be called after the first list. */
  public void restoreSnapshot(BalancerSnapshot snapshot) {
    enqueue(() -> new SnapshotRestored(snapshot));
  }

  /** Applies new settings to requests accepted from now on; pending requests keep the old ones. */
  public void updateSettings(Settings newSettings) {
    settings = newSettings;
    settingsChanged = true;
    enqueue(() -> new SettingsChanged(newSettings));
  }

  /** Sets the number of processes that serve as this balancer, including this one. */
  public void setProcessCount(int processes) {
    enqueue(() -> new ProcessCountChanged(processes));
  }

  /** A message from another balancer has arrived. */
  public void peerMessage(int from, byte[] data) {
    enqueue(() -> new PeerMessage(from, data));
  }

  /** Whether any upstream could serve a new request. */
  public boolean canServe() {
    return fleet.hasReady();
  }

  /** Requests that have no answer yet or still have an attempt in flight. */
  public int pendingRequests() {
    return exchanges.size();
  }

  /** Attempts in flight. */
  public int inFlightAttempts() {
    int attempts = 0;
    for (Exchange x : exchanges.values()) {
      attempts += x.outstanding;
    }
    return attempts;
  }

  /** Fails all requests whose answer is not complete with STOPPING; whether they have run is left open. */
  public void failAll() {
    failAll(x -> !x.isEnded());
  }

  /** As {@link #failAll}, but for the requests whose answer is being streamed to the client: that goes on. */
  public void failUnanswered() {
    failAll(x -> !x.isEnded() && !x.isStreaming());
  }

  private void failAll(Predicate<Exchange> failing) {
    for (Exchange x : List.copyOf(exchanges.values())) {
      if (failing.test(x)) {
        reportEnd(x, EngineListener.Completion.FAILED, Reason.STOPPING);
        x.end();
        x.respond(LocalReply.failed(Reason.STOPPING));
        clientGone(x);
      }
    }
  }

  /**
   * An attempt has ended; a second call for the same attempt is ignored.
   *
   * @param load the upstream's load report, empty if it sent none
   * @param whenProcessed runs when the event's turn comes: passes the upstream's answer on, and ends the exchange if it is the
   *     final one
   */
  public void attemptEnded(Attempt attempt, Status status, Map<String, Double> load, Runnable whenProcessed) {
    if (attempt.ended) {
      return;
    }
    attempt.ended = true;
    attempt.mayHaveRun = !status.provesNotRun();
    Exchange x = attempt.exchange();
    long latency = attempt.answerStartedAfterNanos >= 0 ? attempt.answerStartedAfterNanos : latency(attempt);
    listener.attemptEnded(attempt, status, latency);
    enqueue(() -> {
      x.outstanding--;
      whenProcessed.run();
      if (x.isEnded()) {
        // Ended by its frontend, in this turn or earlier; an end that has been reported already is not replaced.
        boolean streamBroke = x.streamingAttempt == attempt && status != Status.SERVED;
        reportEnd(x, streamBroke ? EngineListener.Completion.FAILED : EngineListener.Completion.SERVED, streamBroke ? Reason.MAY_HAVE_RUN : null);
      }
      return isTracked(x) ? new Outcome(x.id, attempt.number(), attempt.upstream(), status, latency, x.isEnded(), load) : null;
    });
  }

  private long latency(Attempt attempt) {
    return clock.now() - Math.max(attempt.sentAt(), attempt.bodyEndedAt);
  }

  /** The body of an attempt's answer has begun to arrive and is not complete. */
  public void answerBegan(Attempt attempt) {
    if (!attempt.ended && attempt.answerBeganAfterNanos < 0) {
      Exchange x = attempt.exchange();
      attempt.answerBeganAfterNanos = latency(attempt);
      enqueue(() -> isTracked(x) && !x.isEnded() && !attempt.ended
          ? new AnswerBegan(x.id, attempt.number(), attempt.upstream(), attempt.answerBeganAfterNanos) : null);
    }
  }

  /** An attempt's answer has begun, and nothing of it has arrived for a while. The attempt goes on: the module decides on another one. */
  public void answerStalled(Attempt attempt) {
    Exchange x = attempt.exchange();
    if (!attempt.ended) {
      enqueue(() -> isTracked(x) && !x.isEnded() && !attempt.ended
          ? new AnswerStalled(x.id, attempt.number(), attempt.upstream()) : null);
    }
  }

  /**
   * An attempt's answer has started and is to be streamed to the client: from here on the request belongs to this attempt, has no
   * deadline and ends with it. Returns false if the request has ended or streams another attempt's answer: nothing may be streamed then.
   */
  public boolean answerStarted(Attempt attempt) {
    Exchange x = attempt.exchange();
    if (attempt.ended || x.isEnded() || x.streamingAttempt != null || !isTracked(x)) {
      return false;
    }
    x.streamingAttempt = attempt;
    x.deadlineTimer.cancel(false);
    attempt.answerStartedAfterNanos = attempt.answerBeganAfterNanos >= 0 ? attempt.answerBeganAfterNanos : latency(attempt);
    enqueue(() -> isTracked(x) && !x.isEnded()
        ? new AnswerStarted(x.id, attempt.number(), attempt.upstream(), attempt.answerStartedAfterNanos) : null);
    return true;
  }

  /**
   * The client's time is up, but an attempt's answer may be long, so that only its first bytes are timed: the engine fails the request only so much
   * later. Returns false if the answer is of no more use, as the request has ended or streams another attempt's answer.
   */
  public boolean extendDeadline(Attempt attempt, long nanos) {
    Exchange x = attempt.exchange();
    if (attempt.ended || x.isEnded() || x.streamingAttempt != null || !isTracked(x)) {
      return false;
    }
    x.deadlineTimer.cancel(false);
    scheduleExpiry(x, x.deadline + nanos);
    return true;
  }

  /** A request was accepted before its body was complete: to be called right after {@link #accept}. */
  public void bodyPending(Exchange x) {
    enqueue(() -> isTracked(x) ? new BodyPending(x.id) : null);
  }

  /** The body of a request that was accepted before it was complete has arrived; {@code deadline} is when an answer is of no more use. */
  public void bodyEnded(Exchange x, long deadline) {
    if (x.isEnded() || !isTracked(x)) {
      return;
    }
    x.deadline = deadline;
    x.attempts.forEach(a -> a.bodyEndedAt = clock.now());
    if (x.streamingAttempt == null) {
      x.deadlineTimer.cancel(false);
      scheduleExpiry(x, deadline);
    }
    enqueue(() -> isTracked(x) ? new BodyEnded(x.id, deadline) : null);
  }

  /** The buffered start of a request's body has been discarded, so that the request can't be sent again. */
  public void bodyDiscarded(Exchange x) {
    enqueue(() -> isTracked(x) ? new BodyDiscarded(x.id) : null);
  }

  private void scheduleExpiry(Exchange x, long due) {
    x.deadlineTimer = loop.schedule(() -> expire(x), due + DEADLINE_GRACE_NANOS - clock.now(), TimeUnit.NANOSECONDS);
  }

  /**
   * The queue is processed only after all readable sockets have been read: actions then don't go to a connection that is already
   * known to be closed, and an action never re-enters the module.
   */
  private void enqueue(Supplier<Event> event) {
    queue.add(event);
    if (!processingScheduled) {
      processingScheduled = true;
      loop.execute(this::processQueue);
    }
  }

  private void processQueue() {
    processingScheduled = false;
    for (Supplier<Event> next = queue.poll(); next != null; next = queue.poll()) {
      Event event = buildEvent(next);
      if (event == null) {
        continue;
      }
      try {
        module.handle(clock.now(), event, this::perform);
      } catch (RuntimeException e) {
        LOG.log(Level.SEVERE, "module failed at " + EventNames.of(event.getClass()), e);
        replaceModule(event);
      }
      if (event instanceof Outcome o) {
        removeIfDone(exchanges.get(o.id()));
      } else if (event instanceof ClientGone g) {
        removeIfDone(exchanges.get(g.id()));
      }
    }
  }

  /** Builds a queued event; null for none. A failure affects this event only, and not the ones queued behind it. */
  private static Event buildEvent(Supplier<Event> event) {
    try {
      return event.get();
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "failed to build an event; it is dropped", e);
      return null;
    }
  }

  /** A module that threw is in an unknown state: its requests are failed, and a new module starts from the cached list. */
  private void replaceModule(Event cause) {
    if (cause instanceof SettingsChanged || cause instanceof EndpointUpdate update && update.kind() == ListKind.CACHED) {
      LOG.severe("module failed to handle its settings or its initial list, exiting");
      failAll();
      loop.execute(() -> Runtime.getRuntime().halt(1));
      return;
    }
    listener.moduleReplaced(EventNames.of(cause.getClass()));
    List<Exchange> all = List.copyOf(exchanges.values());
    for (Exchange x : all) {
      x.attempts.forEach(Engine::cancel);
    }
    failAll();
    exchanges.clear();
    all.forEach(Exchange::onRemoved);
    queue.clear();
    module = moduleFactory.apply(++generation);
    if (settingsChanged) {
      Settings now = settings;
      enqueue(() -> new SettingsChanged(now)); // Before the list: the factory uses the settings of the process start.
    }
    EndpointUpdate currentList = fleet.cachedUpdate();
    enqueue(() -> currentList);
    fleet.offline().forEach(id -> {
      long upstream = fleet.setOffline(id);
      enqueue(() -> new UpstreamSetOffline(upstream, 0));
    });
  }

  /** Reports a request's end to the listener, once. */
  private void reportEnd(Exchange x, EngineListener.Completion end, Reason reason) {
    if (!x.endReported) {
      x.endReported = true;
      listener.requestEnded(x, end, reason);
    }
  }

  private boolean isTracked(Exchange x) {
    return exchanges.get(x.id) == x;
  }

  private void removeIfDone(Exchange x) {
    if (x != null && x.isEnded() && x.outstanding == 0) {
      exchanges.remove(x.id);
      x.onRemoved();
    }
  }

  // ---- Actions -------------------------------------------------------------------------------------------

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
      long moduleGeneration = generation;
      loop.schedule(() -> enqueue(() -> moduleGeneration == generation ? new TimerFired(a.token()) : null),
          a.atNanos() - clock.now(), TimeUnit.NANOSECONDS);
    } else if (action instanceof Watch a) {
      listSource.watch(a.on());
    } else if (action instanceof FetchEndpoints) {
      listSource.fetch();
    } else if (action instanceof Probe a) {
      probe(a.upstream());
    } else if (action instanceof CloseIdle a) {
      transports.forEach(t -> t.closeIdle(a.upstream()));
    } else if (action instanceof SendToPeer a) {
      peerSender.send(a.to(), a.data());
    } else if (action instanceof PublishSnapshot a) {
      snapshotConsumer.accept(a.snapshot());
    } else if (action instanceof Balancer.Log a) {
      LOG.info(a.text());
    }
  }

  private static void cancel(Attempt attempt) {
    if (attempt.cancelHandle != null && !attempt.ended) {
      attempt.cancelHandle.cancel();
    }
  }

  private Exchange exchange(String id) {
    Exchange x = exchanges.get(id);
    if (x == null) {
      throw new IllegalStateException("request " + id + " has already ended");
    }
    return x;
  }

  private void end(String id, LocalReply reply) {
    Exchange x = exchanges.get(id);
    if (x != null && !x.isEnded()) {
      reportEnd(x, reply.rejected() ? EngineListener.Completion.REJECTED : EngineListener.Completion.FAILED, reply.reason());
      x.end();
      x.respond(reply);
    }
    removeIfDone(x);
  }

  private void send(Exchange x, Send send) {
    long now = clock.now();
    int number = x.info().priorAttempts().size() + x.attempts.size();
    Attempt attempt = new Attempt(x, number, send.upstream(), now, send.sendByNanos());
    x.attempts.add(attempt);
    x.outstanding++;
    listener.attemptSent(attempt);
    if (x.info().answerBy() > 0) {
      x.deadlineTimer.cancel(false); // Sending it is the answer; from here on the attempt's own timeout bounds it.
    }
    long left = x.deadline - now;
    long timeout = send.timeoutNanos() == 0 ? left : Math.min(left, send.timeoutNanos());
    SocketAddress address = fleet.address(send.upstream());
    if (x.isEnded() || timeout <= 0 || number >= x.maxAttempts || send.sendByNanos() > 0 && now >= send.sendByNanos()) {
      attemptEnded(attempt, Status.NOT_SENT, Map.of(), () -> { });
    } else if (address == null) {
      attemptEnded(attempt, Status.CONNECT_FAILED, Map.of(), () -> { });
    } else {
      attempt.cancelHandle = x.startAttempt(attempt, address, timeout);
    }
  }

  private void probe(long upstream) {
    long sentAt = clock.now();
    SocketAddress address = fleet.address(upstream);
    Transport.ProbeCallback callback = (status, load) -> {
      long latency = clock.now() - sentAt;
      enqueue(() -> new ProbeResult(upstream, status, latency, load));
    };
    if (address == null) {
      callback.probeEnded(Status.CONNECT_FAILED, Map.of());
    } else if (transports.stream().noneMatch(t -> t.probe(upstream, address, callback))) {
      callback.probeEnded(Status.NOT_SENT, Map.of());
    }
  }
}
