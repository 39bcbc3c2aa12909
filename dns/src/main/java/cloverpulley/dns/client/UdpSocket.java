package cloverpulley.dns.client;

import cloverpulley.Balancer.Status;
import cloverpulley.dns.wire.MalformedException;
import cloverpulley.dns.wire.Message;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.collection.IntObjectHashMap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * A connected UDP socket for one server: the kernel passes only datagrams from the server's address and port, and reports when nothing
 * listens there.
 */
final class UdpSocket extends ChannelInboundHandlerAdapter {

  private static final int MAX_DATAGRAM = 4096;
  private static final int MAX_READS = 64;

  /** The id of an abandoned query, and until when it is not reused. */
  private record AbandonedId(UpstreamQuery query, long until) {}

  private final ServerConnections server;
  private final NioDatagramChannel channel = new NioDatagramChannel();
  private final IntObjectHashMap<UpstreamQuery> pending = new IntObjectHashMap<>();
  private final ArrayDeque<AbandonedId> abandoned = new ArrayDeque<>();
  private int queriesSent;
  private int openQueries;
  private boolean retired;

  /** Opens the socket. Must run on the event loop, which the waits don't block: a datagram socket connects at once. */
  UdpSocket(ServerConnections server) throws Exception {
    this.server = server;
    channel.config().setOption(ChannelOption.RECVBUF_ALLOCATOR,
        new FixedRecvByteBufAllocator(MAX_DATAGRAM).maxMessagesPerRead(MAX_READS));
    channel.pipeline().addLast(this);
    server.client.loop.register(channel).sync();
    try {
      channel.connect(server.address).sync();
    } catch (Exception e) {
      channel.close();
      throw e;
    }
  }

  /** Whether one more query may use the socket. */
  boolean hasCapacity(long now) {
    releaseExpiredIds(now);
    return !retired && pending.size() < server.client.config.pendingPerPort();
  }

  boolean isOpen() {
    return channel.isOpen();
  }

  private void releaseExpiredIds(long now) {
    while (!abandoned.isEmpty() && abandoned.peek().until() <= now) {
      UpstreamQuery query = abandoned.poll().query();
      if (pending.get(query.udpId) == query) {
        pending.remove(query.udpId);
      }
    }
  }

  void send(UpstreamQuery query, long now) {
    int id = server.client.random.id();
    while (pending.containsKey(id)) {
      id = id + 1 & 0xFFFF; // An id is never in flight twice.
    }
    byte[] message = query.message(id, true, now);
    pending.put(id, query);
    query.socket = this;
    query.udpId = id;
    openQueries++;
    if (++queriesSent == server.client.config.queriesPerPort()) {
      server.retire(this);
    }
    server.client.counts.udp++;
    channel.write(channel.alloc().directBuffer(message.length).writeBytes(message), channel.voidPromise());
    server.client.flusher.flushLater(channel);
  }

  /**
   * Releases a query that has completed or been abandoned. If it is unanswered, its id stays reserved, so that an answer that still comes
   * is recognized as late.
   */
  void release(UpstreamQuery query, boolean answered) {
    if (query.socket == this) {
      query.socket = null;
      openQueries--;
      if (answered) {
        pending.remove(query.udpId);
      } else {
        abandoned.add(new AbandonedId(query, server.client.clock.now() + server.client.config.idReuseDelayNanos()));
      }
      closeIfDone();
    }
  }

  /** Stops new queries; the socket closes once none is open. */
  void retire() {
    retired = true;
    closeIfDone();
  }

  private void closeIfDone() {
    if (openQueries == 0 && (retired || queriesSent >= server.client.config.queriesPerPort())) {
      channel.close();
      server.onClosed(this);
    }
  }

  void close() {
    channel.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object read) {
    byte[] octets;
    DatagramPacket packet = (DatagramPacket) read;
    try {
      ByteBuf content = packet.content();
      octets = new byte[content.readableBytes()];
      content.readBytes(octets);
    } finally {
      packet.release();
    }
    if (!Message.hasHeader(octets)) {
      server.client.counts.wrong++;
      return;
    }
    UpstreamQuery query = pending.get(Message.get16(octets, 0));
    if (query == null) {
      server.client.counts.wrong++;
    } else if (query.socket != this || query.isEnded()) {
      server.client.counts.late++;
    } else {
      Message m = null;
      try {
        m = Message.read(octets);
      } catch (MalformedException e) {
        // A spoofing attempt or a broken server: count it as a mismatch and keep waiting.
      }
      query.onDatagram(m, server.client.clock.now());
    }
  }

  /**
   * Nothing listens on the server's port, or the network is down. The kernel doesn't tell which query the error is for, and some may have
   * run before the server died, so all complete as reset and none as not sent.
   */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    List<UpstreamQuery> waiting = new ArrayList<>(pending.values());
    for (UpstreamQuery query : waiting) {
      if (query.socket == this) {
        query.end(Status.RESET, null, "port unreachable");
      }
    }
  }
}
