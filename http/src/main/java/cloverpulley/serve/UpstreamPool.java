package cloverpulley.serve;

import cloverpulley.Balancer.Status;
import cloverpulley.engine.LoadReport;
import cloverpulley.engine.Periodic;
import cloverpulley.engine.SocketBudget;
import cloverpulley.engine.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.ConnectException;
import java.net.SocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

/** Pool of HTTP/1.1 connections to upstreams. A connection carries one call at a time, a call has exactly one outcome, and the pool never retries. */
final class UpstreamPool implements Transport {

  /** Fraction of the upstream's idle timeout after which the pool closes an idle connection itself. A request that races
   * with the upstream's own close would fail with a reset. */
  private static final double IDLE_RATIO = 0.7;
  private static final long IDLE_SWEEP_MILLIS = 250;
  private static final long PROBE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final Bootstrap bootstrap;
  private final SocketBudget sockets;
  private long idleNanos;
  private final LongPredicate upstreamReady;
  private final boolean loadReports;
  private final Counts counts;
  private final IdleConnections<UpstreamConnection> idle = new IdleConnections<>();
  private final Set<Call> connecting = new HashSet<>();
  private final ReuseDelay reuseDelay = new ReuseDelay();
  private final RoundTrips roundTrips = new RoundTrips();
  private final ReplacementDetector replacements = new ReplacementDetector();

  /**
   * {@code upstreamReady} decides whether an upstream may receive new requests, {@code loadReports} whether responses carry load reports;
   * {@code responseBudget} bounds the memory for responses; {@code counts} receives connection statistics.
   */
  UpstreamPool(Bootstrap bootstrap, SocketBudget sockets, long connectTimeoutNanos, long upstreamIdleNanos,
      LongPredicate upstreamReady, boolean loadReports, BufferBudget responseBudget, Counts counts) {
    this.counts = counts;
    this.sockets = sockets;
    this.upstreamReady = upstreamReady;
    this.loadReports = loadReports;
    UpstreamConnection.Shared shared = new UpstreamConnection.Shared(idle, upstreamReady, reuseDelay, roundTrips,
        new IdleReusePolicy(), replacements, responseBudget, HeaderMemory.newBudget(), counts);
    this.bootstrap = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
      @Override
      protected void initChannel(Channel channel) {
        new UpstreamConnection(channel, shared).initPipeline();
      }
    });
    setTimeouts(connectTimeoutNanos, upstreamIdleNanos);
    Periodic.every(bootstrap.config().group().next(), IDLE_SWEEP_MILLIS, this::closeExpired);
  }

  /** Applies changed timeouts to new connections and to the idle ones. */
  void setTimeouts(long connectTimeoutNanos, long upstreamIdleNanos) {
    idleNanos = (long) (upstreamIdleNanos * IDLE_RATIO);
    bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
        (int) Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(connectTimeoutNanos)));
  }

  /** Starts a call and takes ownership of the request. The timeout includes connecting. */
  void start(Call call, SocketAddress address, FullHttpRequest request, long timeoutNanos) {
    call.timeout = scheduleTimeout(call, timeoutNanos);
    call.scheduleSendTimeout(bootstrap.config().group().next(), () -> {
      counts.notWrittenInTime();
      abandon(call, Status.NOT_SENT, Status.NOT_SENT);
    });
    UpstreamConnection reused = takeIdle(call.upstream, address);
    if (reused != null) {
      reused.write(call, request);
      return;
    }
    if (!sockets.hasCapacity() && !closeOldest()) {
      request.release();
      call.end(Status.CONNECT_FAILED, null);
      return;
    }
    ChannelFuture connect = bootstrap.connect(address);
    if (connect.isDone() && !connect.isSuccess()) {
      // No socket could be created; a listener would be notified of such a failure on a thread other than the event loop.
      request.release();
      call.end(Status.CONNECT_FAILED, null);
      return;
    }
    connecting.add(call);
    counts.connectionOpened(call.upstream);
    call.channel = connect.channel();
    sockets.opened();
    call.channel.closeFuture().addListener(f -> sockets.closed());
    connect.addListener(f -> {
      connecting.remove(call);
      recordConnect(call.upstream, connect);
      // The call may have been cancelled while connecting, or have begun to connect after drainUpstreams cancelled the connecting
      // calls, since the module is notified of the drain only later. It must not be written then.
      boolean wanted = !call.isDone() && call.canStillBeSent()
          && (call.responseConsumer == null || upstreamReady.test(call.upstream) && call.responseConsumer.isWanted());
      if (!wanted || !f.isSuccess()) {
        request.release();
        call.end(wanted ? Status.CONNECT_FAILED : Status.NOT_SENT, null);
        connect.channel().close();
      } else {
        call.updateExpiresHeader(request);
        UpstreamConnection.of(connect.channel()).write(call, request);
      }
    });
  }

  private void recordConnect(long upstream, ChannelFuture connect) {
    if (connect.isSuccess()) {
      UpstreamConnection.of(connect.channel()).established(upstream);
    } else if (connect.cause() instanceof ConnectException && !(connect.cause() instanceof ConnectTimeoutException)) {
      replacements.refused(upstream, System.nanoTime());
    }
  }

  /** Whether the process at an upstream's address may be another than the one that the endpoint list names. */
  boolean mayBeReplaced(long upstream) {
    return replacements.mayBeReplaced(upstream, System.nanoTime());
  }

  /** Restarts the timeout of a call, replacing the one it was started with. */
  void updateTimeout(Call call, long timeoutNanos) {
    if (!call.isDone()) {
      call.timeout.cancel(false);
      call.timeout = scheduleTimeout(call, timeoutNanos);
    }
  }

  private Future<?> scheduleTimeout(Call call, long nanos) {
    call.expireIn(nanos);
    return bootstrap.config().group().next().schedule(() -> expire(call), nanos, TimeUnit.NANOSECONDS);
  }

  /** The client's time is up: a call whose response may be long, or has begun to be passed on, has some more; any other ends. */
  private void expire(Call call) {
    UpstreamConnection connection = connectionOf(call);
    if (connection != null && connection.awaitsLateResponse(call)) {
      scheduleLateEnd(call, call.nanosToExpiry() + ResponseForwarding.LATE_GRACE_NANOS);
    } else {
      abandon(call, Status.CONNECT_FAILED, Status.TIMEOUT);
    }
  }

  private void scheduleLateEnd(Call call, long nanos) {
    call.timeout = bootstrap.config().group().next().schedule(() -> endLate(call), nanos, TimeUnit.NANOSECONDS);
  }

  private void endLate(Call call) {
    UpstreamConnection connection = connectionOf(call);
    if (connection != null && connection.awaitsClient(call)) {
      scheduleLateEnd(call, ResponseForwarding.LATE_GRACE_NANOS);
    } else {
      abandon(call, Status.CONNECT_FAILED, Status.TIMEOUT);
    }
  }

  private static UpstreamConnection connectionOf(Call call) {
    return call.channel == null ? null : UpstreamConnection.of(call.channel);
  }

  /** Cancels a call. */
  void cancel(Call call) {
    abandon(call, Status.NOT_SENT, Status.CANCELLED);
  }

  /** Cancels a call whose request has not been written completely, and so has not run. */
  void cancelUnwritten(Call call) {
    if (!call.written) {
      cancel(call);
    }
  }

  /** Closes the idle connections to upstreams that drain or were removed, and cancels calls that are still connecting to them. */
  @Override
  public void drainUpstreams(LongPredicate upstreams) {
    idle.close(upstreams);
    List.copyOf(connecting).stream().filter(call -> upstreams.test(call.upstream)).forEach(this::cancel);
  }

  @Override
  public void closeIdle(long upstream) {
    idle.close(u -> u == upstream);
  }

  @Override
  public boolean probe(long upstream, SocketAddress address, ProbeCallback callback) {
    Call call = new Call(upstream, (status, response) -> callback.probeEnded(status, loadReports && response != null
        ? LoadReport.parse(response.headers().get(LoadReport.HEADER)) : Map.of()), null, null, null, 0);
    FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, Frontend.HEALTH);
    request.headers().set(HttpHeaderNames.HOST, "upstream");
    start(call, address, request, PROBE_TIMEOUT_NANOS);
    return true;
  }

  /** Closes the connection that has been idle longest; returns false if none is idle. */
  boolean closeOldest() {
    return idle.closeOldest();
  }

  /** Ends a call whose response may still arrive, and resets its connection: the upstream is not to begin a request that nobody waits for. */
  private void abandon(Call call, Status unwritten, Status written) {
    if (!call.isDone()) {
      Channel channel = call.channel;
      UpstreamConnection connection = connectionOf(call);
      call.end(call.written ? written : unwritten, null);
      if (connection != null) {
        connection.reset();
      } else if (channel != null) {
        channel.close();
      }
    }
  }

  private UpstreamConnection takeIdle(long upstream, SocketAddress address) {
    long now = System.nanoTime();
    long rest = reuseDelay.nanos(now, roundTrips.maxNanos(upstream, now));
    for (UpstreamConnection c : idle.of(upstream)) {
      long rested = now - c.idleSinceNanos();
      if (rested >= rest) {
        idle.remove(c);
        if (c.reuse(address, now, rested)) {
          return c;
        }
      }
    }
    return null;
  }

  private void closeExpired() {
    idle.closeOlderThan(idleNanos);
    long now = System.nanoTime();
    replacements.removeExpired(now);
    roundTrips.removeExpired(now);
    counts.setIdleConnections(idle.size());
  }
}
