package cloverpulley.processor;

import cloverpulley.extproc.EncodedResponse;
import cloverpulley.extproc.ExtProc.ProtocolConfiguration;
import io.netty.util.concurrent.EventExecutor;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An I/O event loop and what its streams share: their guard and idle timers, and cached responses. A timer for each stream would cost
 * more than its call, so one periodic tick handles all that are due. All methods other than {@link #execute} and {@link #stop} are
 * called on the event loop.
 */
final class StreamLoop implements Executor {

  /** Ratios of the message time-out: the interval of the tick, and the guard time for a decision. Their sum must be below 1. */
  private static final double TICK_RATIO = 0.05;
  private static final double GUARD_RATIO = 0.85;
  private static final long MIN_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
  /** Number of idle checks within the shorter of the two idle times. */
  private static final int IDLE_CHECKS = 4;
  /** Enough for each upstream of a large fleet, in each processing mode that callers use. */
  private static final int MAX_CACHED_RESPONSES = 4096;

  private record PendingDecision(ProcessorStream stream, long dueAt) {}

  private record DestinationKey(SocketAddress address, int requestBody, int responseBody, boolean inBody) {}

  private final EventExecutor eventLoop;
  private final AtomicInteger openStreams;
  private final int maxOpenStreams;
  private final ResponseFactory responseFactory;
  private final long guardNanos;
  private final long idleCheckNanos;
  /** All have the same guard time, so the first is due first. */
  private final ArrayDeque<PendingDecision> pendingDecisions = new ArrayDeque<>();
  private final Set<ProcessorStream> streams = new LinkedHashSet<>();
  private final Map<DestinationKey, EncodedResponse> destinationCache = new LinkedHashMap<>(64, 0.75f, true) {
    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<DestinationKey, EncodedResponse> eldest) {
      return size() > MAX_CACHED_RESPONSES;
    }
  };
  private long lastIdleCheckAt;

  /** {@code openStreams} counts the streams of all loops. */
  StreamLoop(EventExecutor eventLoop, ProcessorConfig config, ResponseFactory responseFactory, AtomicInteger openStreams) {
    this.eventLoop = eventLoop;
    this.openStreams = openStreams;
    this.responseFactory = responseFactory;
    maxOpenStreams = config.limits().streams();
    guardNanos = (long) (config.messageTimeoutNanos() * GUARD_RATIO);
    idleCheckNanos = TimeUnit.MILLISECONDS.toNanos(
        Math.min(config.limits().firstMessageMillis(), config.limits().streamIdleMillis())) / IDLE_CHECKS;
    long tick = Math.max(MIN_TICK_NANOS, (long) (config.messageTimeoutNanos() * TICK_RATIO));
    eventLoop.scheduleWithFixedDelay(this::tick, tick, tick, TimeUnit.NANOSECONDS);
  }

  boolean isCurrent() {
    return eventLoop.inEventLoop();
  }

  @Override
  public void execute(Runnable task) {
    eventLoop.execute(task);
  }

  /** Whether another stream may open; it then counts as open until it is unregistered. */
  boolean tryOpen() {
    if (openStreams.incrementAndGet() > maxOpenStreams) {
      openStreams.decrementAndGet();
      return false;
    }
    return true;
  }

  void register(ProcessorStream stream) {
    streams.add(stream);
  }

  void unregister(ProcessorStream stream) {
    if (streams.remove(stream)) {
      openStreams.decrementAndGet();
    }
  }

  /** Starts the guard timer of a stream that awaits a decision. Returns the due time, by which the stream identifies the timer. */
  long startGuard(ProcessorStream stream) {
    long dueAt = System.nanoTime() + guardNanos;
    pendingDecisions.add(new PendingDecision(stream, dueAt));
    return dueAt;
  }

  private void tick() {
    long now = System.nanoTime();
    for (PendingDecision first = pendingDecisions.peek(); first != null && (first.dueAt <= now || !first.stream.awaitsDecision(first.dueAt));
        first = pendingDecisions.peek()) {
      pendingDecisions.poll();
      if (first.stream.awaitsDecision(first.dueAt)) {
        first.stream.onGuardTimeout();
      }
    }
    if (now - lastIdleCheckAt >= idleCheckNanos) {
      lastIdleCheckAt = now;
      for (ProcessorStream stream : List.copyOf(streams)) {
        stream.checkIdle(now);
      }
    }
  }

  /** {@link ResponseFactory#destination} through a cache. */
  EncodedResponse destination(SocketAddress address, boolean inBody, ProtocolConfiguration protocol) {
    return destinationCache.computeIfAbsent(new DestinationKey(address, protocol.getRequestBodyModeValue(), protocol.getResponseBodyModeValue(),
        inBody), key -> responseFactory.destination(address, inBody, protocol));
  }

  /** Ends all streams; those that await a decision receive a final reply. */
  void stop() {
    eventLoop.execute(() -> List.copyOf(streams).forEach(ProcessorStream::stop));
  }
}
