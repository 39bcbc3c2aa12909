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

/** The clients' connections (RFC 7766): pipelined, answered out of order, bounded in number, in time and in what waits. */
final class TcpFrontend extends ChannelInitializer<Channel> {

  private static final int SWEEPS = 8;
  private static final long MOST_SWEEP_MILLIS = 250;
  /** And while stopping. */
  private static final long STOP_SWEEP_MILLIS = 5;

  private final EventLoop loop;
  private final Resolver resolver;
  private final Flusher flusher;
  private final DnsConfig.Limits limits;
  /** In the order of their last use, the idle longest first. */
  private final Set<Peer> peers = new LinkedHashSet<>();
  private final Map<InetAddress, Integer> byClient = new HashMap<>();
  private Future<?> sweep;

  TcpFrontend(EventLoop loop, Resolver resolver, Flusher flusher, DnsConfig.Limits limits) {
    this.loop = loop;
    this.resolver = resolver;
    this.flusher = flusher;
    this.limits = limits;
    long least = Math.min(limits.idleMillis(), Math.min(limits.messageMillis(), limits.stallMillis()));
    long every = Math.max(1, Math.min(MOST_SWEEP_MILLIS, least / SWEEPS));
    sweep = loop.scheduleWithFixedDelay(this::sweep, every, every, TimeUnit.MILLISECONDS);
  }

  @Override
  protected void initChannel(Channel channel) {
    InetAddress address = ((InetSocketAddress) channel.remoteAddress()).getAddress();
    if (byClient.getOrDefault(address, 0) >= limits.connectionsPerClient() || peers.size() >= limits.connections() && !makeRoom()) {
      resolver.counts.turnedAway++;
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
      return;
    }
    byClient.merge(address, 1, Integer::sum);
    Peer peer = new Peer(channel, address);
    peers.add(peer);
    channel.pipeline().addLast(peer);
  }

  /** The connection that has been idle longest goes for a new one, where any is idle. */
  private boolean makeRoom() {
    for (Peer p : peers) {
      if (p.waiting.isEmpty() && !p.isWriting()) {
        resolver.counts.turnedAway++;
        p.channel.close();
        p.over();
        return true;
      }
    }
    return false;
  }

  private void sweep() {
    long now = resolver.clock.now();
    for (Peer p : List.copyOf(peers)) {
      p.check(now);
    }
  }

  /** Connections go one by one, each at a moment at which nothing waits there. */
  void stop() {
    sweep.cancel(false);
    sweep = loop.scheduleWithFixedDelay(this::sweep, STOP_SWEEP_MILLIS, STOP_SWEEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  void close() {
    sweep.cancel(false);
    List.copyOf(peers).forEach(p -> p.channel.close());
  }

  int connections() {
    return peers.size();
  }

  /** Octets read of messages that are not taken yet, over all connections. */
  int unread() {
    return peers.stream().mapToInt(Peer::held).sum();
  }

  /** One connection. */
  final class Peer extends ByteToMessageDecoder implements Query.Client {

    private final Channel channel;
    private final InetAddress address;
    /** Queries without an answer, and who works on them. */
    private final Map<Query, DnsExchange> waiting = new HashMap<>();
    private boolean gone;
    private long usedAt = resolver.clock.now();
    /** When the first octet of a message came that is not whole yet; 0 for none. */
    private long partSince;
    /** Since when the client takes no answers; 0 where it does. */
    private long stalledSince;
    private boolean mayLeave;

    Peer(Channel channel, InetAddress address) {
      this.channel = channel;
      this.address = address;
    }

    private int held() {
      return actualReadableBytes();
    }

    private boolean isWriting() {
      return channel.unsafe().outboundBuffer() != null && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
      // One message at a time: what a client may not have open yet stays unread.
      if (gone || in.readableBytes() < 2 || waiting.size() >= limits.pipelined() || !channel.isWritable()) {
        return;
      }
      int length = in.getUnsignedShort(in.readerIndex());
      int most = Math.max(limits.queryBytes(), limits.updateBytes());
      if (length < Message.HEADER_LENGTH || length > most) {
        resolver.counts.malformed++;
        in.skipBytes(in.readableBytes());
        channel.close(); // Where the next message begins is not known any more.
        return;
      }
      if (in.readableBytes() < 2 + length) {
        return;
      }
      byte[] octets = new byte[length];
      in.skipBytes(2).readBytes(octets);
      partSince = 0;
      used();
      resolver.take(octets, this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object read) throws Exception {
      super.channelRead(context, read);
      afterRead();
    }

    /** Guards against the decoder's own way, which reads on as long as it has made no message, whatever waits already. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      discardSomeReadBytes();
      context.fireChannelReadComplete();
    }

    private void afterRead() {
      boolean full = waiting.size() >= limits.pipelined() || !channel.isWritable();
      int left = actualReadableBytes();
      partSince = left == 0 || full ? 0 : partSince == 0 ? resolver.clock.now() : partSince;
      channel.config().setAutoRead(!full);
    }

    /** Room again: what has been read and not taken is taken before more is read. */
    private void resume() {
      if (!gone && !channel.config().isAutoRead() && waiting.size() < limits.pipelined() && channel.isWritable()) {
        loop.execute(() -> {
          try {
            if (!gone) {
              channelRead(channel.pipeline().context(this), channel.alloc().buffer(0));
            }
          } catch (Exception e) {
            channel.close();
          }
        });
      }
    }

    private void used() {
      usedAt = resolver.clock.now();
      if (peers.remove(this)) {
        peers.add(this);
      }
    }

    @Override
    public void waits(Query q, DnsExchange by) {
      waiting.put(q, by);
    }

    private void check(long now) {
      stalledSince = !isWriting() ? 0 : stalledSince == 0 ? now : stalledSince;
      boolean idle = waiting.isEmpty() && !isWriting() && now - usedAt > TimeUnit.MILLISECONDS.toNanos(limits.idleMillis());
      boolean slow = partSince > 0 && now - partSince > TimeUnit.MILLISECONDS.toNanos(limits.messageMillis());
      boolean stalled = stalledSince > 0 && now - stalledSince > TimeUnit.MILLISECONDS.toNanos(limits.stallMillis());
      // Seen at two sweeps with all sockets read in between: a connection that is closed with octets unread is reset, and its client
      // loses what it asked.
      boolean couldLeave = mayLeave;
      mayLeave = waiting.isEmpty() && !isWriting() && resolver.leaving.mayClose(now, usedAt, partSince > 0);
      if (idle || slow || stalled || mayLeave && couldLeave) {
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
    public boolean isGone() {
      return gone;
    }

    @Override
    public void answer(byte[] octets) {
      channel.write(channel.alloc().directBuffer(2 + octets.length).writeShort(octets.length).writeBytes(octets))
          .addListener(f -> stalledSince = 0); // It reads, if slowly: an answer has gone out whole.
      flusher.wrote(channel);
      used();
    }

    @Override
    public void answered(Query q) {
      waiting.remove(q);
      resume();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      resume();
      afterRead();
    }

    private void over() {
      if (!gone) {
        gone = true;
        peers.remove(this);
        byClient.computeIfPresent(address, (a, n) -> n == 1 ? null : n - 1);
        Map<Query, DnsExchange> left = Map.copyOf(waiting);
        waiting.clear();
        left.forEach((q, by) -> {
          by.gone(q);
          resolver.unanswered(q, "gone");
        });
      }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext context) {
      over();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      over();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      channel.close();
    }
  }
}
