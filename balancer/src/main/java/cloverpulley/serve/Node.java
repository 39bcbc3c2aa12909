package cloverpulley.serve;

import cloverpulley.Balancer;
import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.Cancel;
import cloverpulley.Balancer.ClientGone;
import cloverpulley.Balancer.CloseIdle;
import cloverpulley.Balancer.Event;
import cloverpulley.Balancer.Fail;
import cloverpulley.Balancer.FetchList;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.ListNews;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.PeerMessage;
import cloverpulley.Balancer.Probe;
import cloverpulley.Balancer.ProbeResult;
import cloverpulley.Balancer.Refuse;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.Send;
import cloverpulley.Balancer.SetTimer;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.Status;
import cloverpulley.Balancer.TellPeer;
import cloverpulley.Balancer.TimerFired;
import cloverpulley.Balancer.Watch;
import cloverpulley.serve.Exchange.Attempt;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Stands between the sockets and the decision module: words what happens on the first as the second's events, one at a
 * time, and carries out its actions in order. It decides nothing. All of it runs on one event loop.
 */
final class Node {

  private static final Logger LOG = Logger.getLogger(Node.class.getName());

  /** A request without an answer gets one so long after the deadline that the module knows: a last guard. */
  private static final long GUARD_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  /** A probe is given up after this. */
  private static final long PROBE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final EventLoop loop;
  private final Clock clock;
  private final Settings settings;
  private final boolean loadReports;
  private final LongFunction<Balancer> modules;
  private final Fleet fleet;
  private final UpstreamPool pool;
  private final ListSource lists;
  private final PeerSender peers;
  private final Map<String, Exchange> exchanges = new HashMap<>();
  /** The clients' ids of the same. */
  private final Set<String> traceIds = new HashSet<>();
  /** What has happened and the module has not been told; an entry is worded when its turn comes. */
  private final ArrayDeque<Supplier<Event>> queue = new ArrayDeque<>();
  private boolean scheduled;
  private Balancer module;
  private long generation;
  private long taken;

  /** Where the module's questions for the list go. */
  interface ListSource {
    void watch(boolean on);

    void fetch();
  }

  /** Where the module's messages to other balancers go; -1 is all of them. */
  interface PeerSender {
    void send(int to, byte[] data);
  }

  /** {@code modules} makes the n-th module of this process. */
  Node(EventLoop loop, Clock clock, Settings settings, boolean loadReports, LongFunction<Balancer> modules, Fleet fleet,
      UpstreamPool pool, ListSource lists, PeerSender peers) {
    this.loop = loop;
    this.clock = clock;
    this.settings = settings;
    this.loadReports = loadReports;
    this.modules = modules;
    this.fleet = fleet;
    this.pool = pool;
    this.lists = lists;
    this.peers = peers;
    module = modules.apply(generation);
  }

  // ---- What happens --------------------------------------------------------------------------------------

  /** A client's request has come in whole. */
  void take(Exchange x) {
    x.id = "r" + taken++;
    exchanges.put(x.id, x);
    traceIds.add(x.traceId);
    x.guard = loop.schedule(() -> overdue(x), x.deadline + GUARD_NANOS - clock.now(), TimeUnit.NANOSECONDS);
    enqueue(() -> x.isEnded() ? null
        : new Request(x.id, x.type.name(), x.tenant, x.key, x.deadline, x.hintNanos, x.retry));
  }

  /** Whether a request with this id of a client's is in hand, or an attempt of it is still out. */
  boolean isOpen(String traceId) {
    return traceIds.contains(traceId);
  }

  /** The client has closed its connection. */
  void clientGone(Exchange x) {
    x.abandon();
    enqueue(() -> known(x) ? new ClientGone(x.id) : null);
  }

  private void overdue(Exchange x) {
    if (!x.isEnded()) {
      x.answer(HttpResponseStatus.GATEWAY_TIMEOUT, 0, null, Unpooled.EMPTY_BUFFER);
      clientGone(x);
    }
  }

  /** Discovery has said something; with FAILED it has not, and the list is unused. */
  void news(ListKind kind, ServerList list) {
    if (kind == ListKind.FAILED) {
      enqueue(() -> new ListNews(kind, List.of()));
      return;
    }
    ListNews news = fleet.take(kind, list);
    enqueue(() -> news);
    // After the news, so that the module knows why what was still connecting comes back unsent.
    pool.withdraw(upstream -> !fleet.isReady(upstream));
  }

  /** Another balancer has sent a message. */
  void peerMessage(int from, byte[] data) {
    enqueue(() -> new PeerMessage(from, data));
  }

  /** Whether a request that came now could be served. */
  boolean canServe() {
    return fleet.hasReady();
  }

  /** Requests that are owed an answer. */
  boolean owesAnswers() {
    return exchanges.values().stream().anyMatch(x -> !x.isEnded());
  }

  /** Answers all requests in hand, without a promise. */
  void failAll() {
    for (Exchange x : List.copyOf(exchanges.values())) {
      if (!x.isEnded()) {
        x.answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, 0, null, Unpooled.EMPTY_BUFFER);
        clientGone(x);
      }
    }
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
      Event event = next.get();
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

  /** A module that threw is in an unknown state: what it held is answered, and a new one starts from the list. */
  private void restart(Event cause) {
    if (cause instanceof ListNews news && news.kind() == ListKind.CACHED) {
      LOG.severe("a module can't even start: the process ends");
      failAll();
      loop.execute(() -> Runtime.getRuntime().halt(1));
      return;
    }
    for (Exchange x : List.copyOf(exchanges.values())) {
      x.attempts.forEach(a -> pool.cancel(a.call));
    }
    failAll();
    exchanges.clear();
    traceIds.clear();
    queue.clear();
    module = modules.apply(++generation);
    ListNews held = fleet.held();
    enqueue(() -> held);
  }

  private boolean known(Exchange x) {
    return exchanges.get(x.id) == x;
  }

  private void forget(Exchange x) {
    if (x != null && x.isEnded() && x.outstanding == 0) {
      exchanges.remove(x.id);
      traceIds.remove(x.traceId);
    }
  }

  // ---- What the module asks for --------------------------------------------------------------------------

  private void perform(Action action) {
    if (action instanceof Send a) {
      send(exchange(a.id()), a);
    } else if (action instanceof Cancel a) {
      Exchange x = exchanges.get(a.id());
      if (x != null) {
        pool.cancel(x.attempts.get(a.attempt()).call);
      }
    } else if (action instanceof Refuse a) {
      end(a.id(), HttpResponseStatus.TOO_MANY_REQUESTS, a.retryAfterNanos());
    } else if (action instanceof Fail a) {
      end(a.id(), HttpResponseStatus.BAD_GATEWAY, 0);
    } else if (action instanceof SetTimer a) {
      long made = generation;
      loop.schedule(() -> enqueue(() -> made == generation ? new TimerFired(a.token()) : null),
          a.atNanos() - clock.now(), TimeUnit.NANOSECONDS);
    } else if (action instanceof Watch a) {
      lists.watch(a.on());
    } else if (action instanceof FetchList) {
      lists.fetch();
    } else if (action instanceof Probe a) {
      probe(a.upstream());
    } else if (action instanceof CloseIdle a) {
      pool.closeIdle(a.upstream());
    } else if (action instanceof TellPeer a) {
      peers.send(a.to(), a.data());
    } else if (action instanceof Balancer.Log a) {
      LOG.info(a.text());
    }
  }

  private Exchange exchange(String id) {
    Exchange x = exchanges.get(id);
    if (x == null) {
      throw new IllegalStateException("request " + id + " is over");
    }
    return x;
  }

  private void end(String id, HttpResponseStatus status, long retryAfterNanos) {
    Exchange x = exchanges.get(id);
    if (x != null && !x.isEnded()) {
      x.answer(status, retryAfterNanos, null, Unpooled.EMPTY_BUFFER);
    }
    forget(x);
  }

  private void send(Exchange x, Send send) {
    long now = clock.now();
    Attempt attempt = new Attempt(x.attempts.size(), now);
    attempt.call = new Call(send.upstream(), (status, answer) -> attemptEnded(x, attempt, status, answer));
    x.attempts.add(attempt);
    x.outstanding++;
    long left = x.deadline - now;
    long timeout = send.timeoutNanos() == 0 ? left : Math.min(left, send.timeoutNanos());
    SocketAddress address = fleet.address(send.upstream());
    if (x.isEnded() || timeout <= 0 || attempt.number >= settings.limits().maxAttempts()) {
      attempt.call.end(Status.NOT_SENT, null);
    } else if (address == null) {
      attempt.call.end(Status.CONNECT_FAILED, null);
    } else {
      pool.start(attempt.call, address, x.forward(timeout), timeout);
    }
  }

  private void attemptEnded(Exchange x, Attempt attempt, Status status, FullHttpResponse answer) {
    long latency = clock.now() - attempt.sentAt;
    Map<String, Double> load = loadReports && answer != null ? LoadReport.of(answer.headers()) : Map.of();
    FullHttpResponse served = status == Status.SERVED ? answer.retain() : null;
    enqueue(() -> {
      x.outstanding--;
      if (served != null) {
        if (!x.isEnded()) {
          x.answer(HttpResponseStatus.OK, 0, served.headers().get(HttpHeaderNames.CONTENT_TYPE), served.content());
        }
        served.release();
      }
      return known(x)
          ? new Outcome(x.id, attempt.number, attempt.call.upstream, status, latency, x.isEnded(), load) : null;
    });
  }

  private void probe(long upstream) {
    long sentAt = clock.now();
    Call call = new Call(upstream, (status, answer) -> {
      long latency = clock.now() - sentAt;
      Map<String, Double> load = loadReports && answer != null ? LoadReport.of(answer.headers()) : Map.of();
      enqueue(() -> new ProbeResult(upstream, status, latency, load));
    });
    SocketAddress address = fleet.address(upstream);
    if (address == null) {
      call.end(Status.CONNECT_FAILED, null);
      return;
    }
    FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, Frontend.HEALTH);
    request.headers().set(HttpHeaderNames.HOST, "upstream");
    pool.start(call, address, request, PROBE_NANOS);
  }
}
