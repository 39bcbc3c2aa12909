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
 * One loop that reads and writes, and what its streams share: the times that they wait for and the replies that they send
 * often. A timer for each stream would cost more than its call; one tick looks at all that are due. All but
 * {@link #execute} and {@link #stop} is called on the loop.
 */
final class StreamLoop implements Executor {

  /** Parts of the message time-out: a tick's length, and what is waited for a verdict; together under the whole. */
  private static final double TICK_PART = 0.05;
  private static final double GUARD_PART = 0.85;
  private static final long LEAST_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
  /** Silence is looked for so often in the shorter of its times. */
  private static final int IDLE_LOOKS = 4;
  /** Replies kept: one for each upstream of a large fleet, in each way that callers want it. */
  private static final int MOST_REPLIES = 4096;

  private record Awaited(ProcessorStream stream, long dueAt) {}

  private record Said(SocketAddress address, int requestBody, int responseBody, boolean inBody) {}

  private final EventExecutor loop;
  private final AtomicInteger open;
  private final int mostOpen;
  private final ResponseFactory replies;
  private final long guardNanos;
  private final long idleLookNanos;
  /** All wait equally long, so that the first is the first to be due. */
  private final ArrayDeque<Awaited> awaited = new ArrayDeque<>();
  private final Set<ProcessorStream> streams = new LinkedHashSet<>();
  private final Map<Said, EncodedResponse> said = new LinkedHashMap<>(64, 0.75f, true) {
    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<Said, EncodedResponse> eldest) {
      return size() > MOST_REPLIES;
    }
  };
  private long lookAt;

  /** {@code open} counts the streams of all loops. */
  StreamLoop(EventExecutor loop, ProcessorConfig config, ResponseFactory replies, AtomicInteger open) {
    this.loop = loop;
    this.open = open;
    this.replies = replies;
    mostOpen = config.limits().streams();
    guardNanos = (long) (config.messageTimeoutNanos() * GUARD_PART);
    idleLookNanos = TimeUnit.MILLISECONDS.toNanos(
        Math.min(config.limits().firstMessageMillis(), config.limits().streamIdleMillis())) / IDLE_LOOKS;
    long tick = Math.max(LEAST_TICK_NANOS, (long) (config.messageTimeoutNanos() * TICK_PART));
    loop.scheduleWithFixedDelay(this::tick, tick, tick, TimeUnit.NANOSECONDS);
  }

  boolean isCurrent() {
    return loop.inEventLoop();
  }

  @Override
  public void execute(Runnable task) {
    loop.execute(task);
  }

  /** Whether one more stream may open; it then counts until it has left. */
  boolean mayEnter() {
    if (open.incrementAndGet() > mostOpen) {
      open.decrementAndGet();
      return false;
    }
    return true;
  }

  void entered(ProcessorStream stream) {
    streams.add(stream);
  }

  void left(ProcessorStream stream) {
    if (streams.remove(stream)) {
      open.decrementAndGet();
    }
  }

  /** A stream awaits a verdict: unless it has one by then, it is told so. Returns the time, by which it knows the word. */
  long guard(ProcessorStream stream) {
    long dueAt = System.nanoTime() + guardNanos;
    awaited.add(new Awaited(stream, dueAt));
    return dueAt;
  }

  private void tick() {
    long now = System.nanoTime();
    for (Awaited first = awaited.peek(); first != null && (first.dueAt <= now || !first.stream.awaits(first.dueAt));
        first = awaited.peek()) {
      awaited.poll();
      if (first.stream.awaits(first.dueAt)) {
        first.stream.overdue();
      }
    }
    if (now - lookAt >= idleLookNanos) {
      lookAt = now;
      for (ProcessorStream stream : List.copyOf(streams)) {
        stream.checkSilence(now);
      }
    }
  }

  /** {@link ResponseFactory#send}, made once for all that want the same. */
  EncodedResponse send(SocketAddress address, boolean inBody, ProtocolConfiguration protocol) {
    return said.computeIfAbsent(new Said(address, protocol.getRequestBodyModeValue(), protocol.getResponseBodyModeValue(),
        inBody), s -> replies.send(address, inBody, protocol));
  }

  /** Ends all streams, each with the word that it is owed. */
  void stop() {
    loop.execute(() -> List.copyOf(streams).forEach(ProcessorStream::stop));
  }
}
