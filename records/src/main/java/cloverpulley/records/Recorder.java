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
 * Records the events of the engine and of a frontend. Callers put a record into a bounded multi-producer queue (JCTools) without locking or
 * waiting, and a dedicated thread writes the records to the store. As the queue fills up, records of low priority are dropped first: a
 * request's final answer outlasts its other records, and state changes outlast all requests. Dropped records are counted by kind, and the
 * counts are recorded as soon as possible.
 */
public final class Recorder implements EngineListener, AutoCloseable {

  private static final Logger LOG = Logger.getLogger(Recorder.class.getName());

  private static final int BATCH_SIZE = 1024;
  private static final long IDLE_NANOS = 2_000_000;
  private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long CLOCK_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final long CLOSE_TIMEOUT_MILLIS = 10_000;
  private static final Kind[] KINDS = Kind.values();
  private static final String[] STATUS_NAMES = lowerCaseNames(Status.values());
  private static final String[] STATE_NAMES = lowerCaseNames(State.values());
  /** Records of priority p are dropped once the queue is filled to 1/2 + p/18; those of the highest priority only if it is full. */
  private static final int MAX_PRIORITY = 9;

  /** Records nothing. */
  public static final Recorder NONE = new Recorder();

  private final RecordsConfig config;
  private final Origin origin;
  private final String frontend;
  private final LongSupplier clockMicros;
  private final MpscArrayQueue<Entry> queue;
  private final int[] dropThresholds = new int[MAX_PRIORITY + 1];
  private final AtomicLongArray dropped = new AtomicLongArray(KINDS.length);
  private final Store store;
  private final Thread writer;
  /** Last listed state of each server that is not gone, by upstream. Accessed on the engine's event loop only. */
  private final Map<Long, ServerList.Server> listedServers = new HashMap<>();
  private long revision = -1;
  /** Records of a batch that were not written because of an I/O error. Accessed by the writer thread only. */
  private final List<Entry> failedRecords = new ArrayList<>();
  private volatile boolean closed;
  private volatile boolean killed;
  private volatile long written;
  private volatile String writeError;

  private Recorder() {
    config = null;
    origin = null;
    frontend = null;
    clockMicros = null;
    queue = null;
    store = null;
    writer = null;
  }

  /** Creates a recorder for a client that balances nothing itself, such as the load generator. */
  public static Recorder forCaller(Path folder, String instance) {
    return open(RecordsConfig.of(folder, instance), "caller", null);
  }

  /** Starts recording; returns {@link #NONE} if no folder is configured. Disk errors are logged and never affect the service. */
  public static Recorder open(RecordsConfig config, String frontend, Settings settings) {
    if (config == null || config.folder() == null) {
      return NONE;
    }
    Clock clock = new Clock();
    return new Recorder(config, frontend, settings, () -> clock.unixMicros(clock.now()), SegmentWriter.FILES);
  }

  /** Constructor with a clock (microseconds of Unix time) and a destination of the segments, which tests replace. */
  Recorder(RecordsConfig config, String frontend, Settings settings, LongSupplier clockMicros, SegmentWriter.Opener opener) {
    this.config = config;
    this.frontend = frontend;
    this.clockMicros = clockMicros;
    origin = new Origin(config.instance(), clockMicros.getAsLong());
    queue = new MpscArrayQueue<>(config.queue());
    for (int i = 1; i <= MAX_PRIORITY; i++) {
      dropThresholds[i] = i == MAX_PRIORITY ? Integer.MAX_VALUE : (int) (queue.capacity() * (0.5 + 0.5 * i / MAX_PRIORITY));
    }
    store = new Store(config, origin, frontend, opener);
    if (settings == null) {
      enqueue(newEntry(Kind.START).withDetails(frontend, 0, 0));
    } else {
      recordSettings(settings);
    }
    writer = new Thread(this::write, "records");
    writer.setDaemon(true);
    writer.start();
  }

  /** Records the settings that a reader needs to interpret the records of this incarnation. */
  private void recordSettings(Settings settings) {
    enqueue(newEntry(Kind.START).withDetails(frontend, settings.selfId(), settings.groupSize()));
    for (RequestClass c : settings.classes()) {
      enqueue(new Entry(origin, 0, clockMicros.getAsLong(), Kind.CLASS, 0, null, c.name(), null, 0, 0, 0, null,
          lowerCaseName(c.effect()) + " " + lowerCaseName(c.dedupScope()), c.dedupWindowNanos() / 1000, c.deadlineNanos() / 1000));
    }
    for (Tenant t : settings.tenants()) {
      enqueue(new Entry(origin, 0, clockMicros.getAsLong(), Kind.TENANT, 0, null, null, t.name(), 0, 0, 0, null, null,
          Math.round(t.share() * 1e6), Math.round(t.quotaPerSecond() * 1e3)));
    }
  }

  /** A recorder whose clock has an offset in microseconds and a drift in parts per million, for tests of the clock alignment. */
  public static Recorder withClockSkew(RecordsConfig config, String frontend, Settings settings, long offsetMicros, double driftPpm) {
    Clock clock = new Clock();
    long start = clock.now();
    return new Recorder(config, frontend, settings, () -> {
      long now = clock.now();
      return clock.unixMicros(now) + offsetMicros + (long) ((now - start) / 1000 * driftPpm / 1e6);
    }, SegmentWriter.FILES);
  }

  private static String lowerCaseName(Enum<?> e) {
    return e.name().toLowerCase(Locale.ROOT);
  }

  private static String[] lowerCaseNames(Enum<?>[] all) {
    String[] names = new String[all.length];
    for (Enum<?> e : all) {
      names[e.ordinal()] = lowerCaseName(e);
    }
    return names;
  }

  /** Whether recording is enabled. */
  public boolean isOn() {
    return queue != null;
  }

  public Origin origin() {
    return origin;
  }

  private Entry newEntry(Kind kind) {
    return Entry.of(origin, 0, clockMicros.getAsLong(), kind);
  }

  // ---- Events, from any thread ---------------------------------------------------------------------------

  private void enqueue(Entry e) {
    int priority = e.kind().priority();
    if (queue.size() >= dropThresholds[Math.min(MAX_PRIORITY, priority)] || !queue.offer(e)) {
      dropped.incrementAndGet(e.kind().ordinal());
    }
  }

  @Override
  public void requestAccepted(Exchange x) {
    if (queue != null) {
      Exchange.RequestInfo info = x.info();
      long deadlineMicros = info.deadline() <= 0 ? 0 : info.requestClass().deadlineNanos() / 1000;
      enqueue(new Entry(origin, 0, clockMicros.getAsLong(), Kind.TAKEN, x.number(), x.clientRequestId(), info.requestClass().name(),
          info.tenant(), hash(info.key()), 0, 0, null, null, deadlineMicros, info.hintNanos() / 1000));
    }
  }

  @Override
  public void attemptSent(Attempt a) {
    if (queue != null) {
      Exchange x = a.exchange();
      enqueue(new Entry(origin, 0, clockMicros.getAsLong(), Kind.SENT, x.number(), x.clientRequestId(), x.info().requestClass().name(),
          x.info().tenant(), 0, a.number(), a.upstream(), serverName(a.upstream()), null, 0, 0));
    }
  }

  @Override
  public void attemptEnded(Attempt a, Status status, long latencyNanos) {
    if (queue != null) {
      Exchange x = a.exchange();
      enqueue(new Entry(origin, 0, clockMicros.getAsLong(), Kind.OUTCOME, x.number(), x.clientRequestId(), x.info().requestClass().name(),
          x.info().tenant(), 0, a.number(), a.upstream(), serverName(a.upstream()), STATUS_NAMES[status.ordinal()], latencyNanos / 1000, 0));
    }
  }

  @Override
  public void requestEnded(Exchange x, Completion end, Reason reason) {
    if (queue != null) {
      enqueue(new Entry(origin, 0, clockMicros.getAsLong(), Kind.ENDED, x.number(), x.clientRequestId(), x.info().requestClass().name(),
          x.info().tenant(), 0, 0, 0, null, reason == null ? end == Completion.SERVED ? "served" : "gone" : reason.code(), 0, end.ordinal()));
    }
  }

  /**
   * Records that a frontend gave a client its final answer.
   *
   * @param request the engine's number of the request; 0 if the engine was not involved
   * @param word the reason code, or "served"
   * @param result one of {@link Entry#SERVED}, {@link Entry#REFUSED}, {@link Entry#FAILED}, {@link Entry#GONE}
   */
  public void recordAnswer(long request, String id, String className, String tenant, String word, int result, long latencyNanos) {
    if (queue != null) {
      enqueue(new Entry(origin, 0, clockMicros.getAsLong(), Kind.ANSWERED, request, id, className, tenant, 0, 0, 0, null, word,
          latencyNanos / 1000, result));
    }
  }

  /** Records any other event with the time it has; its origin and sequence number are set when it is written. */
  public void record(Entry e) {
    if (queue != null) {
      enqueue(e);
    }
  }

  /** Number of records in the queue. */
  public int queueSize() {
    return queue == null ? 0 : queue.size();
  }

  /** Records a client's own call, once it has ended; the time at which it was sent is the record's time minus the latency. */
  public void recordCall(String id, String className, String tenant, int result, long latencyNanos) {
    recordAnswer(0, id, className, tenant, "caller", result, latencyNanos);
  }

  private String serverName(long upstream) {
    ServerList.Server s = listedServers.get(upstream);
    return s == null ? null : s.id();
  }

  @Override
  public void serverListUpdated(ListKind kind, ServerList list, List<NumberedServer> servers) {
    if (queue == null) {
      return;
    }
    long now = clockMicros.getAsLong();
    if (kind == ListKind.FAILED) {
      enqueue(Entry.of(origin, 0, now, Kind.LIST).withDetails("failed", 0, 0));
      return;
    }
    Set<Long> listedUpstreams = new HashSet<>();
    for (NumberedServer n : servers) {
      listedUpstreams.add(n.upstream());
      ServerList.Server previous = listedServers.get(n.upstream());
      ServerList.Server s = n.server();
      boolean isGone = s.state() == State.GONE;
      if (previous == null ? !isGone : previous.state() != s.state() || previous.upSinceMillis() != s.upSinceMillis()) {
        recordServer(now, n.upstream(), s, s.state(), list.revision());
      }
      if (isGone) {
        listedServers.remove(n.upstream());
      } else {
        listedServers.put(n.upstream(), s);
      }
    }
    if (kind != ListKind.DELTA && !servers.isEmpty()) {
      // A server missing from a full list is gone.
      List<Long> gone = new ArrayList<>(listedServers.keySet());
      gone.removeAll(listedUpstreams);
      for (Long upstream : gone) {
        recordServer(now, upstream, listedServers.remove(upstream), State.GONE, list.revision());
      }
    }
    if (list.revision() != revision && !servers.isEmpty()) {
      revision = list.revision();
      // The record has a fingerprint of the whole list: two instances with the same one at the same revision received the same update.
      enqueue(new Entry(origin, 0, now, Kind.LIST, 0, null, null, null, fingerprint(), 0, 0, null, lowerCaseName(kind), revision, servers.size()));
    }
  }

  /** A hash of the listed servers and their states that does not depend on their order. */
  private long fingerprint() {
    long sum = 0;
    for (ServerList.Server s : listedServers.values()) {
      sum += hash(s.id() + ' ' + s.state() + ' ' + s.upSinceMillis());
    }
    return sum;
  }

  private void recordServer(long now, long upstream, ServerList.Server s, State state, long listRevision) {
    // The class field has the server's zone and cell: the audit's second rule (no request takes effect twice) needs its dedup scope.
    enqueue(new Entry(origin, 0, now, Kind.SERVER, 0, null, s.zone() + " " + s.cell(), null, 0, 0, upstream, s.id(),
        STATE_NAMES[state.ordinal()], listRevision, s.upSinceMillis()));
  }

  @Override
  public void moduleReplaced(String event) {
    if (queue != null) {
      enqueue(newEntry(Kind.REPLACED).withDetails(event, 0, 0));
    }
  }

  /** FNV-1a, never 0 except for null. The keys themselves are not stored. */
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

  // ---- Writer thread -------------------------------------------------------------------------------------

  private void write() {
    long flushAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(config.flushMillis());
    long clockAt = System.nanoTime();
    List<Entry> batch = new ArrayList<>(BATCH_SIZE);
    while (!killed && (!closed || !queue.isEmpty() || hasDropped())) {
      batch.clear();
      queue.drain(batch::add, BATCH_SIZE);
      long now = System.nanoTime();
      if (now - clockAt >= 0) {
        clockAt = now + CLOCK_INTERVAL_NANOS;
        batch.add(newEntry(Kind.CLOCK).withDetails(null, System.currentTimeMillis() * 1000 - clockMicros.getAsLong(), 0));
      }
      try {
        for (int i = 0; i < batch.size(); i++) {
          append(batch, i);
        }
        reportDropped();
        if (now - flushAt >= 0) {
          flushAt = now + TimeUnit.MILLISECONDS.toNanos(config.flushMillis());
          store.flush();
        }
        writeError = null;
      } catch (IOException e) {
        onWriteError(e);
        if (closed) {
          break;
        }
        LockSupport.parkNanos(RETRY_NANOS);
      }
      if (batch.isEmpty()) {
        LockSupport.parkNanos(IDLE_NANOS);
      }
    }
    finish();
  }

  private void append(List<Entry> batch, int i) throws IOException {
    long seqBefore = store.lastSeq();
    try {
      store.add(batch.get(i));
      written++;
    } catch (IOException e) {
      // If the failed record already had a sequence number, the gap in the numbers shows the loss; the others count as dropped.
      for (int j = store.lastSeq() > seqBefore ? i + 1 : i; j < batch.size(); j++) {
        failedRecords.add(batch.get(j));
      }
      throw e;
    }
  }

  private void finish() {
    try {
      if (!killed) {
        store.add(newEntry(Kind.STOP));
        store.close();
      }
    } catch (IOException e) {
      LOG.warning("records could not be closed: " + e);
    }
  }

  private boolean hasDropped() {
    for (int i = 0; i < KINDS.length; i++) {
      if (dropped.get(i) > 0) {
        return true;
      }
    }
    return false;
  }

  private void reportDropped() throws IOException {
    for (int i = 0; i < KINDS.length; i++) {
      long n = dropped.getAndSet(i, 0);
      if (n > 0) {
        try {
          store.add(newEntry(Kind.DROPPED).withDetails(lowerCaseName(KINDS[i]), n, 0));
        } catch (IOException e) {
          dropped.addAndGet(i, n); // To be recorded once writing succeeds.
          throw e;
        }
      }
    }
  }

  /**
   * Counts the records that were not added to the store as dropped, by kind. Those of a block that was not written yet are not counted: their
   * sequence numbers are missing.
   */
  private void onWriteError(IOException e) {
    store.abandon();
    failedRecords.forEach(x -> dropped.incrementAndGet(x.kind().ordinal()));
    failedRecords.clear();
    if (writeError == null) {
      LOG.warning("records can't be written, retrying every second: " + e);
    }
    writeError = String.valueOf(e.getMessage());
  }

  /** The error that currently prevents writing; null if there is none. */
  public String writeError() {
    return writeError;
  }

  /** Number of records passed to the store. */
  public long written() {
    return written;
  }

  /** Number of dropped records that no record of kind DROPPED covers yet. */
  public long unreportedDrops() {
    long sum = 0;
    for (int i = 0; queue != null && i < KINDS.length; i++) {
      sum += dropped.get(i);
    }
    return sum;
  }

  /** Stops like a process killed by SIGKILL, for tests: what is in the file stays, and nothing more is written. */
  void kill() throws InterruptedException {
    killed = true;
    writer.join(CLOSE_TIMEOUT_MILLIS);
    store.abandon();
  }

  /** Writes the queued records and a final STOP record. */
  @Override
  public void close() {
    if (queue == null || closed) {
      return;
    }
    closed = true;
    LockSupport.unpark(writer);
    try {
      writer.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public String toString() {
    return frontend + " " + origin + " written=" + written;
  }
}
