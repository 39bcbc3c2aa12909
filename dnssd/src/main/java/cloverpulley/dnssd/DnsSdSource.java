package cloverpulley.dnssd;

import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.State;
import cloverpulley.dns.client.DnsClient;
import cloverpulley.dnssd.DnsSdConfig.PushMode;
import cloverpulley.dnssd.DnsSdConfig.ResolverAddress;
import cloverpulley.engine.Clock;
import cloverpulley.engine.Engine;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.ServerList.Server;
import cloverpulley.membership.Change;
import cloverpulley.membership.Member;
import cloverpulley.membership.Member.Phase;
import cloverpulley.membership.Membership;
import cloverpulley.membership.Observation;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * A fleet found through DNS-SD: resolvers are read, {@link Membership} decides, the list goes on as it changes. All of it runs on
 * the loop of the front that it serves.
 */
public final class DnsSdSource implements Engine.ListSource, AutoCloseable {

  private static final Logger LOG = Logger.getLogger(DnsSdSource.class.getName());

  /** How often what is due is looked at; what an answer brings is settled at once. */
  private static final long TICK_MILLIS = 10;
  /** A first list that is not whole waits for so many times the wait for a second resolver. */
  private static final int WHOLE_WAITS = 5;

  private final EventLoop loop;
  private final DnsSdConfig config;
  private final LongSupplier revision;
  private final BiConsumer<ListKind, ServerList> news;
  private final Clock clock = new Clock();
  private final long originMillis = System.currentTimeMillis() - TimeUnit.NANOSECONDS.toMillis(clock.now());
  private final Membership membership;
  private final DnsClient client;
  private final List<Reader> readers = new ArrayList<>();
  private final List<Push> pushes = new ArrayList<>();
  private final List<Change> changes = new ArrayList<>();
  private final ChangeLog log;
  private final ConnectionProber contacts;
  private final NotifyListener notify;
  private final Future<?> tick;
  private Consumer<Change> watcher = c -> { };
  private final long startedAt;
  private boolean watching;
  private boolean ready;
  private boolean settling;
  private boolean closed;

  /**
   * Begins to read, on {@code loop}.
   *
   * @param held the list last held, which is believed until somebody speaks against it
   * @param revision the version of the list that the front holds; each news has a later one
   * @param news told of the whole list when it is asked for, and of changes while it is watched
   */
  public DnsSdSource(EventLoop loop, DnsSdConfig config, ServerList held, LongSupplier revision,
      BiConsumer<ListKind, ServerList> news, long seed) {
    this.loop = loop;
    this.config = config;
    this.revision = revision;
    this.news = news;
    log = new ChangeLog(config.records(), config.recordsMostBytes());
    membership = new Membership(config.rules(), config.keys());
    client = new DnsClient(loop, clock, config.client());
    long now = now();
    startedAt = now;
    CachedMembers.read(held, config.names()).forEach(h -> membership.restoreCached(now, h.member(), h.domain(), 0, h.boot()));
    ready = !held.members().isEmpty();
    for (int i = 0; i < config.resolvers().size(); i++) {
      ResolverAddress r = config.resolvers().get(i);
      Reader reader = new Reader(i, r.address(), config, client, now, seed + i, this::observe);
      readers.add(reader);
      if (r.push() != PushMode.OFF) {
        pushes.add(new Push(loop, i, r, config, reader, this::observe, this::now));
      }
    }
    contacts = config.contactMillis() == 0 ? null : new ConnectionProber(loop, this::observe);
    notify = config.notifyAt() == null ? null : new NotifyListener(loop, config, this::notified);
    tick = loop.scheduleWithFixedDelay(this::turn, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    if (contacts != null) {
      loop.scheduleWithFixedDelay(this::look, config.contactMillis(), config.contactMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /** Unix time as this process counts it: it never steps. */
  long now() {
    return originMillis + TimeUnit.NANOSECONDS.toMillis(clock.now());
  }

  // ---- What is seen --------------------------------------------------------------------------------------

  private void observe(Observation o) {
    if (closed) {
      return;
    }
    membership.observe(now(), o);
    if (!settling) {
      // Once for all that has come in one go: parts of one server are judged together.
      settling = true;
      loop.execute(this::settle);
    }
  }

  private void turn() {
    long now = now();
    readers.forEach(r -> r.turn(now));
    if (membership.nextTimerAt() <= now || !ready) {
      settle();
    }
  }

  private void notified(int resolver, String zone) {
    readers.get(resolver).changed(now(), zone);
  }

  private void look() {
    for (Member m : membership.members()) {
      if (membership.cachedDetails(m).bootId().isEmpty()) {
        contacts.look(m);
      }
    }
  }

  // ---- What comes of it ----------------------------------------------------------------------------------

  private void settle() {
    settling = false;
    if (closed) {
      return;
    }
    long now = now();
    changes.clear();
    membership.reconcile(now, changes::add);
    changes.forEach(c -> {
      log.add(c);
      watcher.accept(c);
    });
    if (!ready && membership.readyCount() > 0 && membership.hasInitialAnswers(now, config.names()) && isWhole(now)) {
      ready = true;
      LOG.info(() -> "dns-sd: first list, " + membership.readyCount() + " servers ready of " + membership.instances() + " named");
      if (watching) {
        tellAll();
      }
    } else if (ready && watching && !changes.isEmpty()) {
      List<Server> members = new ArrayList<>();
      changes.forEach(c -> members.add(server(c.member())));
      news.accept(ListKind.DELTA, new ServerList(revision.getAsLong() + 1, false, members));
    }
  }

  /** Guards rule 4: a first list of the few whose records came first would get all the work. */
  private boolean isWhole(long now) {
    return readers.stream().allMatch(Reader::isIdle) || now - startedAt >= WHOLE_WAITS * Math.max(1, config.rules().firstWaitMillis());
  }

  private void tellAll() {
    news.accept(ListKind.FULL, new ServerList(revision.getAsLong() + 1, true, membership.members().stream().map(DnsSdSource::server).toList()));
  }

  static Server server(Member m) {
    try {
      State state = m.phase() == Phase.READY ? State.READY : m.phase() == Phase.DRAINING ? State.DRAINING : State.GONE;
      return new Server(m.id(), new InetSocketAddress(InetAddress.getByName(m.address()), m.port()), m.zone(), m.cell(), state,
          m.size(), m.upSince());
    } catch (UnknownHostException e) {
      throw new IllegalStateException(e); // Figures are never looked up.
    }
  }

  @Override
  public void watch(boolean on) {
    watching = on;
    if (on && ready) {
      tellAll();
    } else if (on) {
      news.accept(ListKind.DELTA, new ServerList(0, false, List.of()));
    }
  }

  @Override
  public void fetch() {
    if (ready) {
      tellAll();
    } else {
      news.accept(ListKind.FAILED, ServerList.EMPTY);
    }
  }

  // ---- What can be asked, on the loop --------------------------------------------------------------------

  /** Told of every change of what is believed. */
  public void onChange(Consumer<Change> each) {
    watcher = each;
  }

  /** Whether there has been a first list. */
  public boolean isReady() {
    return ready;
  }

  /** The list as it is believed. */
  public List<Member> members() {
    return membership.members();
  }

  /** What each resolver says of an instance, what is believed and why. */
  public List<String> explain(String instance) {
    return membership.explain(now(), instance);
  }

  /** Values that were ignored. */
  public List<String> problems() {
    return membership.problems();
  }

  /** Queries sent to all resolvers, those that failed, and those that the same serial made needless. */
  public long[] queries() {
    return new long[] {readers.stream().mapToLong(r -> r.counts().queries).sum(),
      readers.stream().mapToLong(r -> r.counts().failures).sum(), readers.stream().mapToLong(r -> r.counts().saved).sum()};
  }

  /** What each resolver lists, in the order of the resolvers. */
  public List<java.util.Set<String>> listed(String browse) {
    List<java.util.Set<String>> all = new ArrayList<>();
    readers.forEach(r -> all.add(r.listed(browse)));
    return all;
  }

  /** Where NOTIFY messages are taken; null for nowhere. */
  public InetSocketAddress notifyAddress() {
    return notify == null ? null : notify.address();
  }

  /** Push sessions that stand. */
  public int pushSessions() {
    return (int) pushes.stream().filter(Push::isEstablished).count();
  }

  /** Ends, on the loop. */
  @Override
  public void close() {
    closed = true;
    tick.cancel(false);
    pushes.forEach(Push::close);
    if (notify != null) {
      notify.close();
    }
    client.close();
    log.close();
  }
}
