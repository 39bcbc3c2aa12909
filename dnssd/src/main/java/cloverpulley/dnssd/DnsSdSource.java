package cloverpulley.dnssd;

import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.State;
import cloverpulley.dns.client.DnsClient;
import cloverpulley.dnssd.DnsSdConfig.PushMode;
import cloverpulley.dnssd.DnsSdConfig.ResolverConfig;
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
 * A server list discovered through DNS-SD: reads the resolvers, lets {@link Membership} decide which servers to use, and publishes the
 * list and its changes. Everything runs on the event loop of the frontend that uses it.
 */
public final class DnsSdSource implements Engine.ListSource, AutoCloseable {

  private static final Logger LOG = Logger.getLogger(DnsSdSource.class.getName());

  /** The interval for timers and due queries; answers are processed at once. */
  private static final long TICK_MILLIS = 10;
  /** An incomplete first list is published after this many times the first wait, which is the wait for a second resolver. */
  private static final int MAX_FIRST_WAITS = 5;

  private final EventLoop loop;
  private final DnsSdConfig config;
  private final LongSupplier revision;
  private final BiConsumer<ListKind, ServerList> updates;
  private final Clock clock = new Clock();
  private final long originMillis = System.currentTimeMillis() - TimeUnit.NANOSECONDS.toMillis(clock.now());
  private final Membership membership;
  private final DnsClient client;
  private final List<Reader> readers = new ArrayList<>();
  private final List<Push> pushes = new ArrayList<>();
  private final List<Change> changes = new ArrayList<>();
  private final ChangeLog changeLog;
  private final ConnectionProber prober;
  private final NotifyListener notifyListener;
  private final Future<?> tickTask;
  private Consumer<Change> changeListener = c -> { };
  private final long startedAt;
  private boolean watched;
  private boolean ready;
  private boolean reconcilePending;
  private boolean closed;

  /**
   * Starts reading; to be called on {@code loop}.
   *
   * @param cached the cached list, used until a resolver contradicts it
   * @param revision the revision of the frontend's list; every update has a later one
   * @param updates receives the whole list when it is fetched, and changes while it is watched
   */
  public DnsSdSource(EventLoop loop, DnsSdConfig config, ServerList cached, LongSupplier revision,
      BiConsumer<ListKind, ServerList> updates, long seed) {
    this.loop = loop;
    this.config = config;
    this.revision = revision;
    this.updates = updates;
    changeLog = new ChangeLog(config.recordsFile(), config.maxRecordsBytes());
    membership = new Membership(config.rules(), config.keys());
    client = new DnsClient(loop, clock, config.client());
    long now = now();
    startedAt = now;
    CachedMembers.read(cached, config.browseNames()).forEach(c -> membership.restoreCached(now, c.member(), c.domain(), 0, c.bootId()));
    ready = !cached.members().isEmpty();
    for (int i = 0; i < config.resolvers().size(); i++) {
      ResolverConfig r = config.resolvers().get(i);
      Reader reader = new Reader(i, r.address(), config, client, now, seed + i, this::observe);
      readers.add(reader);
      if (r.push() != PushMode.OFF) {
        pushes.add(new Push(loop, i, r, config, reader, this::observe, this::now));
      }
    }
    prober = config.probeIntervalMillis() == 0 ? null : new ConnectionProber(loop, this::observe);
    notifyListener = config.notifyAddress() == null ? null : new NotifyListener(loop, config, this::notifyReceived);
    tickTask = loop.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    if (prober != null) {
      loop.scheduleWithFixedDelay(this::probe, config.probeIntervalMillis(), config.probeIntervalMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /** Unix time derived from the monotonic clock, so that it never steps. */
  long now() {
    return originMillis + TimeUnit.NANOSECONDS.toMillis(clock.now());
  }

  // ---- Observations --------------------------------------------------------------------------------------

  private void observe(Observation o) {
    if (closed) {
      return;
    }
    membership.observe(now(), o);
    if (!reconcilePending) {
      // Reconciles once for all observations of this loop iteration, so that the records of one server are evaluated together.
      reconcilePending = true;
      loop.execute(this::reconcile);
    }
  }

  private void tick() {
    long now = now();
    readers.forEach(r -> r.tick(now));
    if (membership.nextTimerAt() <= now || !ready) {
      reconcile();
    }
  }

  private void notifyReceived(int resolver, String zone) {
    readers.get(resolver).zoneChanged(now(), zone);
  }

  private void probe() {
    for (Member m : membership.members()) {
      if (membership.cachedDetails(m).bootId().isEmpty()) {
        prober.probe(m);
      }
    }
  }

  // ---- Reconciliation ------------------------------------------------------------------------------------

  private void reconcile() {
    reconcilePending = false;
    if (closed) {
      return;
    }
    long now = now();
    changes.clear();
    membership.reconcile(now, changes::add);
    changes.forEach(c -> {
      changeLog.add(c);
      changeListener.accept(c);
    });
    if (!ready && membership.readyCount() > 0 && membership.hasInitialAnswers(now, config.browseNames()) && isFirstListComplete(now)) {
      ready = true;
      LOG.info(() -> "dns-sd: first list, " + membership.readyCount() + " servers ready of " + membership.instances() + " named");
      if (watched) {
        publishFullList();
      }
    } else if (ready && watched && !changes.isEmpty()) {
      List<Server> members = new ArrayList<>();
      changes.forEach(c -> members.add(toServer(c.member())));
      updates.accept(ListKind.DELTA, new ServerList(revision.getAsLong() + 1, false, members));
    }
  }

  /** Prevents overload: if a partial first list were published, the few servers on it would receive all requests. */
  private boolean isFirstListComplete(long now) {
    return readers.stream().allMatch(Reader::isInitialReadComplete)
        || now - startedAt >= MAX_FIRST_WAITS * Math.max(1, config.rules().firstWaitMillis());
  }

  private void publishFullList() {
    updates.accept(ListKind.FULL, new ServerList(revision.getAsLong() + 1, true,
        membership.members().stream().map(DnsSdSource::toServer).toList()));
  }

  static Server toServer(Member m) {
    try {
      State state = m.phase() == Phase.READY ? State.READY : m.phase() == Phase.DRAINING ? State.DRAINING : State.GONE;
      return new Server(m.id(), new InetSocketAddress(InetAddress.getByName(m.address()), m.port()), m.zone(), m.cell(), state,
          m.size(), m.upSince());
    } catch (UnknownHostException e) {
      throw new IllegalStateException(e); // Cannot happen: numeric addresses need no lookup.
    }
  }

  @Override
  public void watch(boolean on) {
    watched = on;
    if (on && ready) {
      publishFullList();
    } else if (on) {
      updates.accept(ListKind.DELTA, new ServerList(0, false, List.of()));
    }
  }

  @Override
  public void fetch() {
    if (ready) {
      publishFullList();
    } else {
      updates.accept(ListKind.FAILED, ServerList.EMPTY);
    }
  }

  // ---- Queries, to be called on the loop -----------------------------------------------------------------

  /** Sets the listener that is notified of every change of the list. */
  public void onChange(Consumer<Change> listener) {
    changeListener = listener;
  }

  /** Whether there is a list to publish: the cached list or a first list from the resolvers. */
  public boolean isReady() {
    return ready;
  }

  /** The current list. */
  public List<Member> members() {
    return membership.members();
  }

  /** What each resolver reports about an instance, its state on the list, and the reason for it. */
  public List<String> explain(String instance) {
    return membership.explain(now(), instance);
  }

  /** Descriptions of ignored values. */
  public List<String> problems() {
    return membership.problems();
  }

  /** The number of queries sent to all resolvers, of those that failed, and of those skipped because the serial was unchanged. */
  public long[] queryCounts() {
    return new long[] {readers.stream().mapToLong(r -> r.counts().queries).sum(),
      readers.stream().mapToLong(r -> r.counts().failures).sum(), readers.stream().mapToLong(r -> r.counts().skipped).sum()};
  }

  /** The instances that each resolver lists for a browse, in the order of the resolvers. */
  public List<java.util.Set<String>> listed(String browse) {
    List<java.util.Set<String>> all = new ArrayList<>();
    readers.forEach(r -> all.add(r.listed(browse)));
    return all;
  }

  /** The address that NOTIFY messages are received at; null if disabled. */
  public InetSocketAddress notifyAddress() {
    return notifyListener == null ? null : notifyListener.address();
  }

  /** The number of established push sessions. */
  public int pushSessions() {
    return (int) pushes.stream().filter(Push::isEstablished).count();
  }

  /** Stops reading; to be called on the loop. */
  @Override
  public void close() {
    closed = true;
    tickTask.cancel(false);
    pushes.forEach(Push::close);
    if (notifyListener != null) {
      notifyListener.close();
    }
    client.close();
    changeLog.close();
  }
}
