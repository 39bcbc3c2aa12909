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
 * A source port towards one server, connected: the kernel lets nothing pass but what comes from the address and port asked, and
 * says when nobody listens there.
 */
final class UdpSocket extends ChannelInboundHandlerAdapter {

  private static final int MOST_DATAGRAM = 4096;
  private static final int READS = 64;

  /** An id that was given up, and until when it is not used again. */
  private record Late(UpstreamQuery ask, long until) {}

  private final ServerConnections server;
  private final NioDatagramChannel channel = new NioDatagramChannel();
  private final IntObjectHashMap<UpstreamQuery> pending = new IntObjectHashMap<>();
  private final ArrayDeque<Late> late = new ArrayDeque<>();
  private int uses;
  private int open;
  private boolean letGo;

  /** Opens it, on the loop: datagram sockets connect at once. */
  UdpSocket(ServerConnections server) throws Exception {
    this.server = server;
    channel.config().setOption(ChannelOption.RECVBUF_ALLOCATOR,
        new FixedRecvByteBufAllocator(MOST_DATAGRAM).maxMessagesPerRead(READS));
    channel.pipeline().addLast(this);
    server.client.loop.register(channel).sync();
    try {
      channel.connect(server.address).sync();
    } catch (Exception e) {
      channel.close();
      throw e;
    }
  }

  /** Whether one more query may use it. */
  boolean hasRoom(long now) {
    forget(now);
    return !letGo && pending.size() < server.client.config.pendingPerPort();
  }

  boolean isOpen() {
    return channel.isOpen();
  }

  private void forget(long now) {
    while (!late.isEmpty() && late.peek().until() <= now) {
      UpstreamQuery ask = late.poll().ask();
      if (pending.get(ask.udpId) == ask) {
        pending.remove(ask.udpId);
      }
    }
  }

  void send(UpstreamQuery ask, long now) {
    int id = server.client.random.id();
    while (pending.containsKey(id)) {
      id = id + 1 & 0xFFFF; // Never the same id twice in flight.
    }
    byte[] message = ask.message(id, true, now);
    pending.put(id, ask);
    ask.port = this;
    ask.udpId = id;
    open++;
    if (++uses == server.client.config.portUses()) {
      server.retire(this);
    }
    server.client.counts.udp++;
    channel.write(channel.alloc().directBuffer(message.length).writeBytes(message), channel.voidPromise());
    server.client.flusher.wrote(channel);
  }

  /** Nothing is waited for any more; where no answer has come, one that comes yet is late. */
  void giveUp(UpstreamQuery ask, boolean answered) {
    if (ask.port == this) {
      ask.port = null;
      open--;
      if (answered) {
        pending.remove(ask.udpId);
      } else {
        late.add(new Late(ask, server.client.clock.now() + server.client.config.lateNanos()));
      }
      closeIfDone();
    }
  }

  /** Nothing new goes through it; it closes once nothing is open. */
  void letGo() {
    letGo = true;
    closeIfDone();
  }

  private void closeIfDone() {
    if (open == 0 && (letGo || uses >= server.client.config.portUses())) {
      channel.close();
      server.closed(this);
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
    UpstreamQuery ask = pending.get(Message.get16(octets, 0));
    if (ask == null) {
      server.client.counts.wrong++;
    } else if (ask.port != this || ask.isEnded()) {
      server.client.counts.late++;
    } else {
      Message m = null;
      try {
        m = Message.read(octets);
      } catch (MalformedException e) {
        // A guess that is not even a message, or a server gone mad: the query waits for a better one.
      }
      ask.datagram(m, server.client.clock.now());
    }
  }

  /**
   * Nobody listens at the server's port, or the network is gone. To which of the queries the kernel's word belongs is not known,
   * and some may have run before the server died: none is said not to have.
   */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    List<UpstreamQuery> waiting = new ArrayList<>(pending.values());
    for (UpstreamQuery ask : waiting) {
      if (ask.port == this) {
        ask.end(Status.RESET, null, "nobody listens");
      }
    }
  }
}
