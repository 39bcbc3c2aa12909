package cloverpulley.dns;

import cloverpulley.dns.client.Flusher;
import cloverpulley.dns.wire.Message;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.util.concurrent.Future;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Accepts TCP connections from clients (RFC 7766): pipelined, answered out of order, with limits on number, time and pending queries. */
final class TcpFrontend extends ChannelInitializer<Channel> {

  private static final int SWEEPS_PER_TIMEOUT = 8;
  private static final long MAX_SWEEP_MILLIS = 250;
  /** The sweep period during shutdown. */
  private static final long STOP_SWEEP_MILLIS = 5;

  private final EventLoop loop;
  private final Resolver resolver;
  private final Flusher flusher;
  private final DnsConfig.Limits limits;
  /** Ordered by last use, the one idle longest first. */
  private final Set<Connection> openConnections = new LinkedHashSet<>();
  private final Map<InetAddress, Integer> connectionsByClient = new HashMap<>();
  private Future<?> sweep;

  TcpFrontend(EventLoop loop, Resolver resolver, Flusher flusher, DnsConfig.Limits limits) {
    this.loop = loop;
    this.resolver = resolver;
    this.flusher = flusher;
    this.limits = limits;
    long shortestTimeout = Math.min(limits.idleMillis(), Math.min(limits.messageMillis(), limits.stallMillis()));
    long periodMillis = Math.max(1, Math.min(MAX_SWEEP_MILLIS, shortestTimeout / SWEEPS_PER_TIMEOUT));
    sweep = loop.scheduleWithFixedDelay(this::sweep, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  protected void initChannel(Channel channel) {
    InetAddress address = ((InetSocketAddress) channel.remoteAddress()).getAddress();
    if (connectionsByClient.getOrDefault(address, 0) >= limits.connectionsPerClient()
        || openConnections.size() >= limits.connections() && !evictIdle()) {
      resolver.counts.turnedAway++;
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
      return;
    }
    connectionsByClient.merge(address, 1, Integer::sum);
    Connection connection = new Connection(channel, address);
    openConnections.add(connection);
    channel.pipeline().addLast(connection);
  }

  /** Closes the connection that has been idle longest to make room for a new one. Returns false if none is idle. */
  private boolean evictIdle() {
    for (Connection c : openConnections) {
      if (c.pending.isEmpty() && !c.isWriting()) {
        resolver.counts.turnedAway++;
        c.channel.close();
        c.onClosed();
        return true;
      }
    }
    return false;
  }

  private void sweep() {
    long now = resolver.clock.now();
    for (Connection c : List.copyOf(openConnections)) {
      c.closeIfExpired(now);
    }
  }

  /** Begins to close connections, each at a moment when nothing is pending on it. */
  void beginShutdown() {
    sweep.cancel(false);
    sweep = loop.scheduleWithFixedDelay(this::sweep, STOP_SWEEP_MILLIS, STOP_SWEEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  void close() {
    sweep.cancel(false);
    List.copyOf(openConnections).forEach(c -> c.channel.close());
  }

  int connections() {
    return openConnections.size();
  }

  /** Bytes read but not handled yet, over all connections. */
  int unreadBytes() {
    return openConnections.stream().mapToInt(Connection::bufferedBytes).sum();
  }

  /** A client connection. */
  final class Connection extends ByteToMessageDecoder implements Query.Client {

    private final Channel channel;
    private final InetAddress address;
    /** Unanswered queries and the exchanges that handle them. */
    private final Map<Query, DnsExchange> pending = new HashMap<>();
    private boolean closed;
    private long usedAt = resolver.clock.now();
    /** When the first byte of a still incomplete message arrived; 0 for none. */
    private long partialSince;
    /** Since when writes to the client have been stalled; 0 if they are not. */
    private long stalledSince;
    private boolean closable;

    Connection(Channel channel, InetAddress address) {
      this.channel = channel;
      this.address = address;
    }

    private int bufferedBytes() {
      return actualReadableBytes();
    }

    private boolean isWriting() {
      return channel.unsafe().outboundBuffer() != null && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
      // One message at a time: messages beyond the pipelining limit stay unread.
      if (closed || in.readableBytes() < 2 || pending.size() >= limits.pipelined() || !channel.isWritable()) {
        return;
      }
      int length = in.getUnsignedShort(in.readerIndex());
      int maxLength = Math.max(limits.queryBytes(), limits.updateBytes());
      if (length < Message.HEADER_LENGTH || length > maxLength) {
        resolver.counts.malformed++;
        in.skipBytes(in.readableBytes());
        channel.close(); // The start of the next message is unknown.
        return;
      }
      if (in.readableBytes() < 2 + length) {
        return;
      }
      byte[] octets = new byte[length];
      in.skipBytes(2).readBytes(octets);
      partialSince = 0;
      touch();
      resolver.onMessage(octets, this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object read) throws Exception {
      super.channelRead(context, read);
      afterRead();
    }

    /** Overrides ByteToMessageDecoder, which keeps reading as long as it has decoded no message, even if auto-read is off. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      discardSomeReadBytes();
      context.fireChannelReadComplete();
    }

    private void afterRead() {
      boolean full = pending.size() >= limits.pipelined() || !channel.isWritable();
      int left = actualReadableBytes();
      partialSince = left == 0 || full ? 0 : partialSince == 0 ? resolver.clock.now() : partialSince;
      channel.config().setAutoRead(!full);
    }

    /** Resumes after the limit no longer applies: buffered messages are decoded before more is read. */
    private void resume() {
      if (!closed && !channel.config().isAutoRead() && pending.size() < limits.pipelined() && channel.isWritable()) {
        loop.execute(() -> {
          try {
            if (!closed) {
              channelRead(channel.pipeline().context(this), channel.alloc().buffer(0));
            }
          } catch (Exception e) {
            channel.close();
          }
        });
      }
    }

    private void touch() {
      usedAt = resolver.clock.now();
      if (openConnections.remove(this)) {
        openConnections.add(this);
      }
    }

    @Override
    public void onPending(Query q, DnsExchange exchange) {
      pending.put(q, exchange);
    }

    private void closeIfExpired(long now) {
      stalledSince = !isWriting() ? 0 : stalledSince == 0 ? now : stalledSince;
      boolean idle = pending.isEmpty() && !isWriting() && now - usedAt > TimeUnit.MILLISECONDS.toNanos(limits.idleMillis());
      boolean slow = partialSince > 0 && now - partialSince > TimeUnit.MILLISECONDS.toNanos(limits.messageMillis());
      boolean stalled = stalledSince > 0 && now - stalledSince > TimeUnit.MILLISECONDS.toNanos(limits.stallMillis());
      // Must hold at two sweeps in a row, between which all sockets are read: closing a connection with unread data resets it, and its
      // client loses those queries.
      boolean wasClosable = closable;
      closable = pending.isEmpty() && !isWriting() && resolver.shutdown.mayClose(now, usedAt, partialSince > 0);
      if (idle || slow || stalled || closable && wasClosable) {
        resolver.counts.turnedAway += slow || stalled ? 1 : 0;
        channel.close();
      }
    }

    @Override
    public InetAddress address() {
      return address;
    }

    @Override
    public int port() {
      return ((InetSocketAddress) channel.remoteAddress()).getPort();
    }

    @Override
    public boolean isTcp() {
      return true;
    }

    @Override
    public boolean isClosed() {
      return closed;
    }

    @Override
    public void answer(byte[] octets) {
      channel.write(channel.alloc().directBuffer(2 + octets.length).writeShort(octets.length).writeBytes(octets))
          .addListener(f -> stalledSince = 0); // An answer was written completely, so the client is reading, if slowly.
      flusher.flushLater(channel);
      touch();
    }

    @Override
    public void onAnswered(Query q) {
      pending.remove(q);
      resume();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      resume();
      afterRead();
    }

    private void onClosed() {
      if (!closed) {
        closed = true;
        openConnections.remove(this);
        connectionsByClient.computeIfPresent(address, (a, n) -> n == 1 ? null : n - 1);
        Map<Query, DnsExchange> left = Map.copyOf(pending);
        pending.clear();
        left.forEach((q, exchange) -> {
          exchange.onClientGone(q);
          resolver.recordUnanswered(q, "gone");
        });
      }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext context) {
      onClosed();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      onClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      channel.close();
    }
  }
}
