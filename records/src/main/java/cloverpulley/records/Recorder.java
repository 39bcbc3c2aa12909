package cloverpulley.records;

import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.State;
import cloverpulley.Balancer.Status;
import cloverpulley.Balancer.Tenant;
import cloverpulley.Reason;
import cloverpulley.engine.Attempt;
import cloverpulley.engine.Clock;
import cloverpulley.engine.EngineListener;
import cloverpulley.engine.Exchange;
import cloverpulley.engine.ServerList;
import cloverpulley.incident.Entry;
import cloverpulley.incident.Kind;
import cloverpulley.incident.Origin;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import org.jctools.queues.MpscArrayQueue;

/**
 * Writes down what the engine and a front do. Whoever tells it something puts a record into a queue (JCTools' bounded one of many
 * producers) and goes on: no lock, no wait. A thread of its own writes. Where the queue is getting full, records of little worth are
 * dropped first and verdicts last; each one dropped is counted by kind, and the counts are recorded as soon as there is room.
 */
public final class Recorder implements EngineListener, AutoCloseable {

  private static final Logger LOG = Logger.getLogger(Recorder.class.getName());

  private static final int BATCH = 1024;
  private static final long IDLE_NANOS = 2_000_000;
  private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long CLOCK_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final long CLOSE_MILLIS = 10_000;
  private static final Kind[] KINDS = Kind.values();
  private static final String[] STATUS = words(Status.values());
  private static final String[] STATES = words(State.values());
  /** The queue's part from which records of a worth are dropped: an eighth more for each point, the best keep it all. */
  private static final int WORTHS = 9;

  /** Where nothing is kept. */
  public static final Recorder NONE = new Recorder();

  private final RecordsConfig config;
  private final Origin origin;
  private final String front;
  private final LongSupplier micros;
  private final MpscArrayQueue<Entry> queue;
  private final int[] room = new int[WORTHS + 1];
  private final AtomicLongArray dropped = new AtomicLongArray(KINDS.length);
  private final Store store;
  private final Thread writer;
  /** The engine's loop alone: what the list last said of each server. */
  private final Map<Long, ServerList.Server> known = new HashMap<>();
  private long revision = -1;
  /** The writer's: records that the store would not take. */
  private final List<Entry> refused = new ArrayList<>();
  private volatile boolean closed;
  private volatile boolean killed;
  private volatile long written;
  private volatile String fault;

  private Recorder() {
    config = null;
    origin = null;
    front = null;
    micros = null;
    queue = null;
    store = null;
    writer = null;
  }

  /** For who calls and decides nothing: the load generator. */
  public static Recorder caller(Path folder, String instance) {
    return open(RecordsConfig.of(folder, instance), "caller", null);
  }

  /** Starts to record; with no folder configured nothing is. Faults of the disk are told in the log, and never to the service. */
  public static Recorder open(RecordsConfig config, String front, Settings settings) {
    if (config == null || config.folder() == null) {
      return NONE;
    }
    Clock clock = new Clock();
    return new Recorder(config, front, settings, () -> clock.unixMicros(clock.now()), SegmentWriter.FILES);
  }

  /** The same by another clock (microseconds of Unix time) and into something else than files. */
  Recorder(RecordsConfig config, String front, Settings settings, LongSupplier micros, SegmentWriter.Opener opener) {
    this.config = config;
    this.front = front;
    this.micros = micros;
    origin = new Origin(config.instance(), micros.getAsLong());
    queue = new MpscArrayQueue<>(config.queue());
    for (int i = 1; i <= WORTHS; i++) {
      room[i] = i == WORTHS ? Integer.MAX_VALUE : (int) (queue.capacity() * (0.5 + 0.5 * i / WORTHS));
    }
    store = new Store(config, origin, front, opener);
    if (settings == null) {
      put(entry(Kind.START).withDetails(front, 0, 0));
    } else {
      start(settings);
    }
    writer = new Thread(this::write, "records");
    writer.setDaemon(true);
    writer.start();
  }

  /** What a reader has to know of this life before anything else. */
  private void start(Settings settings) {
    put(entry(Kind.START).withDetails(front, settings.selfId(), settings.groupSize()));
    for (RequestClass c : settings.classes()) {
      put(new Entry(origin, 0, micros.getAsLong(), Kind.CLASS, 0, null, c.name(), null, 0, 0, 0, null,
          word(c.effect()) + " " + word(c.dedupScope()), c.dedupWindowNanos() / 1000, c.deadlineNanos() / 1000));
    }
    for (Tenant t : settings.tenants()) {
      put(new Entry(origin, 0, micros.getAsLong(), Kind.TENANT, 0, null, null, t.name(), 0, 0, 0, null, null,
          Math.round(t.share() * 1e6), Math.round(t.quotaPerSecond() * 1e3)));
    }
  }

  /** A recorder whose clock is that many microseconds off, and goes wrong by {@code ppm}: for tests of what clocks do. */
  public static Recorder skewed(RecordsConfig config, String front, Settings settings, long offMicros, double ppm) {
    Clock clock = new Clock();
    long start = clock.now();
    return new Recorder(config, front, settings, () -> {
      long now = clock.now();
      return clock.unixMicros(now) + offMicros + (long) ((now - start) / 1000 * ppm / 1e6);
    }, SegmentWriter.FILES);
  }

  private static String word(Enum<?> e) {
    return e.name().toLowerCase(Locale.ROOT);
  }

  private static String[] words(Enum<?>[] all) {
    String[] words = new String[all.length];
    for (Enum<?> e : all) {
      words[e.ordinal()] = word(e);
    }
    return words;
  }

  /** Whether anything is kept. */
  public boolean isOn() {
    return queue != null;
  }

  public Origin origin() {
    return origin;
  }

  private Entry entry(Kind kind) {
    return Entry.of(origin, 0, micros.getAsLong(), kind);
  }

  // ---- What is told, by any thread -----------------------------------------------------------------------

  private void put(Entry e) {
    int worth = e.kind().priority();
    if (queue.size() >= room[Math.min(WORTHS, worth)] || !queue.offer(e)) {
      dropped.incrementAndGet(e.kind().ordinal());
    }
  }

  @Override
  public void requestAccepted(Exchange x) {
    if (queue != null) {
      Exchange.RequestInfo f = x.info();
      long left = f.deadline() <= 0 ? 0 : f.requestClass().deadlineNanos() / 1000;
      put(new Entry(origin, 0, micros.getAsLong(), Kind.TAKEN, x.number(), x.clientRequestId(), f.requestClass().name(), f.tenant(), hash(f.key()),
          0, 0, null, null, left, f.hintNanos() / 1000));
    }
  }

  @Override
  public void attemptSent(Attempt a) {
    if (queue != null) {
      Exchange x = a.exchange();
      put(new Entry(origin, 0, micros.getAsLong(), Kind.SENT, x.number(), x.clientRequestId(), x.info().requestClass().name(), x.info().tenant(), 0,
          a.number(), a.upstream(), name(a.upstream()), null, 0, 0));
    }
  }

  @Override
  public void attemptEnded(Attempt a, Status status, long latencyNanos) {
    if (queue != null) {
      Exchange x = a.exchange();
      put(new Entry(origin, 0, micros.getAsLong(), Kind.OUTCOME, x.number(), x.clientRequestId(), x.info().requestClass().name(), x.info().tenant(),
          0, a.number(), a.upstream(), name(a.upstream()), STATUS[status.ordinal()], latencyNanos / 1000, 0));
    }
  }

  @Override
  public void requestEnded(Exchange x, Completion end, Reason reason) {
    if (queue != null) {
      put(new Entry(origin, 0, micros.getAsLong(), Kind.ENDED, x.number(), x.clientRequestId(), x.info().requestClass().name(), x.info().tenant(), 0,
          0, 0, null, reason == null ? end == Completion.SERVED ? "served" : "gone" : reason.code(), 0, end.ordinal()));
    }
  }

  /**
   * A front has given a client its final answer.
   *
   * @param request the engine's number; 0 where the engine had no part in it
   * @param word the reason, or "served"
   * @param kind one of {@link Entry#SERVED}, {@link Entry#REFUSED}, {@link Entry#FAILED}, {@link Entry#GONE}
   */
  public void answered(long request, String id, String className, String tenant, String word, int kind, long latencyNanos) {
    if (queue != null) {
      put(new Entry(origin, 0, micros.getAsLong(), Kind.ANSWERED, request, id, className, tenant, 0, 0, 0, null, word,
          latencyNanos / 1000, kind));
    }
  }

  /** Anything else that a part of the program wants recorded; its origin and number are set here, its time is kept. */
  public void record(Entry e) {
    if (queue != null) {
      put(e);
    }
  }

  /** Records that wait for the writer. */
  public int waiting() {
    return queue == null ? 0 : queue.size();
  }

  /** A caller's own word on a call that it made: when it was sent is its end less what it took. */
  public void called(String id, String className, String tenant, int kind, long latencyNanos) {
    answered(0, id, className, tenant, "caller", kind, latencyNanos);
  }

  private String name(long upstream) {
    ServerList.Server s = known.get(upstream);
    return s == null ? null : s.id();
  }

  @Override
  public void serverListUpdated(ListKind kind, ServerList list, List<NumberedServer> servers) {
    if (queue == null) {
      return;
    }
    long now = micros.getAsLong();
    if (kind == ListKind.FAILED) {
      put(Entry.of(origin, 0, now, Kind.LIST).withDetails("failed", 0, 0));
      return;
    }
    Set<Long> here = new HashSet<>();
    for (NumberedServer n : servers) {
      here.add(n.upstream());
      ServerList.Server before = known.get(n.upstream());
      ServerList.Server s = n.server();
      boolean goes = s.state() == State.GONE;
      if (before == null ? !goes : before.state() != s.state() || before.upSinceMillis() != s.upSinceMillis()) {
        server(now, n.upstream(), s, s.state(), list.revision());
      }
      if (goes) {
        known.remove(n.upstream());
      } else {
        known.put(n.upstream(), s);
      }
    }
    if (kind != ListKind.DELTA && !servers.isEmpty()) {
      // A whole list that does not name a server says that it has gone.
      List<Long> gone = new ArrayList<>(known.keySet());
      gone.removeAll(here);
      for (Long upstream : gone) {
        server(now, upstream, known.remove(upstream), State.GONE, list.revision());
      }
    }
    if (list.revision() != revision && !servers.isEmpty()) {
      revision = list.revision();
      // What the list now is in all goes with it: two instances that hold the same under one revision heard of the same thing.
      put(new Entry(origin, 0, now, Kind.LIST, 0, null, null, null, fingerprint(), 0, 0, null, word(kind), revision, servers.size()));
    }
  }

  /** The same for the same servers in the same states, whatever their order. */
  private long fingerprint() {
    long sum = 0;
    for (ServerList.Server s : known.values()) {
      sum += hash(s.id() + ' ' + s.state() + ' ' + s.upSinceMillis());
    }
    return sum;
  }

  private void server(long now, long upstream, ServerList.Server s, State state, long told) {
    // Where it stands, zone and dedup group, is kept as the class: rule 2 asks for it.
    put(new Entry(origin, 0, now, Kind.SERVER, 0, null, s.zone() + " " + s.cell(), null, 0, 0, upstream, s.id(),
        STATES[state.ordinal()], told, s.upSinceMillis()));
  }

  @Override
  public void moduleReplaced(String event) {
    if (queue != null) {
      put(entry(Kind.REPLACED).withDetails(event, 0, 0));
    }
  }

  /** FNV-1a, never 0; 0 for none. Keys themselves are not kept. */
  private static long hash(String key) {
    if (key == null) {
      return 0;
    }
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < key.length(); i++) {
      hash = (hash ^ key.charAt(i)) * 0x100000001b3L;
    }
    return hash == 0 ? 1 : hash;
  }

  // ---- The writer ----------------------------------------------------------------------------------------

  private void write() {
    long flushAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(config.flushMillis());
    long clockAt = System.nanoTime();
    List<Entry> batch = new ArrayList<>(BATCH);
    while (!killed && (!closed || !queue.isEmpty() || anyDropped())) {
      batch.clear();
      queue.drain(batch::add, BATCH);
      long now = System.nanoTime();
      if (now - clockAt >= 0) {
        clockAt = now + CLOCK_NANOS;
        batch.add(entry(Kind.CLOCK).withDetails(null, System.currentTimeMillis() * 1000 - micros.getAsLong(), 0));
      }
      try {
        for (int i = 0; i < batch.size(); i++) {
          keep(batch, i);
        }
        tellDropped();
        if (now - flushAt >= 0) {
          flushAt = now + TimeUnit.MILLISECONDS.toNanos(config.flushMillis());
          store.flush();
        }
        fault = null;
      } catch (IOException e) {
        failed(e);
        if (closed) {
          break;
        }
        LockSupport.parkNanos(RETRY_NANOS);
      }
      if (batch.isEmpty()) {
        LockSupport.parkNanos(IDLE_NANOS);
      }
    }
    end();
  }

  private void keep(List<Entry> batch, int i) throws IOException {
    long before = store.numbered();
    try {
      store.add(batch.get(i));
      written++;
    } catch (IOException failed) {
      // One that had its number is missing, and counted by that; the others are dropped.
      for (int j = store.numbered() > before ? i + 1 : i; j < batch.size(); j++) {
        refused.add(batch.get(j));
      }
      throw failed;
    }
  }

  private void end() {
    try {
      if (!killed) {
        store.add(entry(Kind.STOP));
        store.close();
      }
    } catch (IOException e) {
      LOG.warning("records could not be ended: " + e);
    }
  }

  private boolean anyDropped() {
    for (int i = 0; i < KINDS.length; i++) {
      if (dropped.get(i) > 0) {
        return true;
      }
    }
    return false;
  }

  private void tellDropped() throws IOException {
    for (int i = 0; i < KINDS.length; i++) {
      long n = dropped.getAndSet(i, 0);
      if (n > 0) {
        try {
          store.add(entry(Kind.DROPPED).withDetails(word(KINDS[i]), n, 0));
        } catch (IOException e) {
          dropped.addAndGet(i, n); // Told once it can be.
          throw e;
        }
      }
    }
  }

  /** What was lost is counted by kind as dropped; what was in a block that never left the store, by no kind: its numbers are missing. */
  private void failed(IOException e) {
    store.abandon();
    refused.forEach(x -> dropped.incrementAndGet(x.kind().ordinal()));
    refused.clear();
    if (fault == null) {
      LOG.warning("records can't be written, tried again each second: " + e);
    }
    fault = String.valueOf(e.getMessage());
  }

  /** Why nothing can be written just now; null where it can. */
  public String fault() {
    return fault;
  }

  /** Records handed to the store. */
  public long written() {
    return written;
  }

  /** Records dropped of which no record tells yet. */
  public long droppedUntold() {
    long sum = 0;
    for (int i = 0; queue != null && i < KINDS.length; i++) {
      sum += dropped.get(i);
    }
    return sum;
  }

  /** Ends as SIGKILL does, for tests: what is in the file stays, nothing more comes. */
  void kill() throws InterruptedException {
    killed = true;
    writer.join(CLOSE_MILLIS);
    store.abandon();
  }

  /** Writes what waits, and that this life has ended in order. */
  @Override
  public void close() {
    if (queue == null || closed) {
      return;
    }
    closed = true;
    LockSupport.unpark(writer);
    try {
      writer.join(CLOSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public String toString() {
    return front + " " + origin + " written=" + written;
  }
}
