package cloverpulley.dns.client;

import cloverpulley.Balancer.Status;
import cloverpulley.dns.wire.MalformedException;
import cloverpulley.dns.wire.Message;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.collection.IntObjectHashMap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A connection to one server, with queries pipelined (RFC 7766, 6.2.1.1). A query counts as sent only once its last octet has
 * gone to the socket: what had not when the connection broke, the server can't have read.
 */
final class TcpConnection extends ChannelInboundHandlerAdapter {

  /** Past this what is to be sent waits here, where it can still be taken back, and not in the channel. */
  private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(4096, 16_384);
  /** What was begun to be written before a drain has this long to leave: well within the two seconds of rule 3. */
  private static final long DRAIN_WRITE_MILLIS = 1000;

  private final ServerConnections server;
  private final ArrayDeque<UpstreamQuery> queue = new ArrayDeque<>();
  /** By id, also those given up: an id is used again only once its answer has come. */
  private final IntObjectHashMap<UpstreamQuery> pending = new IntObjectHashMap<>();
  private Channel channel;
  private boolean connected;
  private boolean closed;
  private boolean draining;
  /** Queries that somebody waits for. */
  private int open;
  private long usedAt;
  private int unwritten;

  TcpConnection(ServerConnections server) {
    this.server = server;
    usedAt = server.client.clock.now();
    new Bootstrap().group(server.client.loop).channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(server.client.config.connectNanos())))
        .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel c) {
            channel = c;
            c.pipeline().addLast(new LengthFieldBasedFrameDecoder(Message.MAX_LENGTH + 2, 0, 2, 0, 2), TcpConnection.this);
          }
        }).connect(server.address).addListener(f -> {
          if (!f.isSuccess()) {
            over(Status.CONNECT_FAILED, "no connection");
          }
        });
  }

  boolean isClosed() {
    return closed;
  }

  boolean isConnecting() {
    return !connected && !closed;
  }

  /** Queries that hold a place: past a bound no more are taken. */
  int load() {
    return queue.size() + pending.size();
  }

  /** Whether one more may be written; with {@code fresh} only where the server can't have closed it for idleness by now. */
  boolean hasRoom(boolean fresh) {
    boolean lately = server.client.clock.now() - usedAt < server.client.config.idleNanos() / 8;
    return !closed && !draining && load() < server.client.config.pipelined() && (!fresh || lately || isConnecting());
  }

  void send(UpstreamQuery ask) {
    if (closed) {
      ask.notSent(Status.CONNECT_FAILED, "no connection");
      return;
    }
    ask.link = this;
    ask.writing = null;
    open++;
    queue.add(ask);
    usedAt = server.client.clock.now();
    writeMore();
  }

  private void writeMore() {
    while (connected && !closed && !queue.isEmpty() && channel.isWritable()) {
      UpstreamQuery ask = queue.poll();
      int id = server.client.random.id();
      while (pending.containsKey(id)) {
        id = id + 1 & 0xFFFF;
      }
      byte[] message = ask.message(id, false, server.client.clock.now());
      pending.put(id, ask);
      unwritten++;
      server.client.counts.tcp++;
      ByteBuf buffer = channel.alloc().directBuffer(2 + message.length).writeShort(message.length).writeBytes(message);
      ask.writing = channel.write(buffer);
      ask.writing.addListener(f -> unwritten--);
      server.client.flusher.wrote(channel);
    }
  }

  /** Nobody waits for it any more. */
  void giveUp(UpstreamQuery ask) {
    if (ask.link == this) {
      ask.link = null;
      open--;
      queue.remove(ask);
      closeIfDone();
      // Guards against a server that leaves most unanswered: their ids would take all places.
      if (open == 0 && 2 * pending.size() >= server.client.config.pipelined()) {
        over(Status.CANCELLED, "too little is answered");
      }
    }
  }

  /** The server drains: what has not been written comes back, the rest may be answered yet. */
  void drain() {
    draining = true;
    for (UpstreamQuery ask : List.copyOf(queue)) {
      ask.notSent(Status.NOT_SENT, "the server drains");
    }
    if (isConnecting()) {
      over(Status.NOT_SENT, "the server drains");
      return;
    }
    server.client.loop.schedule(() -> {
      if (unwritten > 0) {
        over(Status.RESET, "the server drains and does not read");
      }
    }, DRAIN_WRITE_MILLIS, TimeUnit.MILLISECONDS);
    server.client.loop.schedule(() -> over(Status.RESET, "the server drains"), server.client.config.drainNanos(),
        TimeUnit.NANOSECONDS);
    closeIfDone();
  }

  private void closeIfDone() {
    if (draining && open == 0) {
      over(Status.CANCELLED, "done");
    }
  }

  /** Closes where nothing was asked for its time. */
  void closeIfIdle(long now) {
    if (open == 0 && now - usedAt >= server.client.config.idleNanos()) {
      over(Status.CANCELLED, "idle");
    }
  }

  /** Ends it: whoever waits is told what is known of his query. */
  void over(Status status, String why) {
    if (closed) {
      return;
    }
    closed = true;
    if (channel != null) {
      channel.close(); // Fails what was not written whole, so that it is known below.
    }
    server.closed(this);
    List<UpstreamQuery> waiting = new ArrayList<>(queue);
    queue.clear();
    pending.values().forEach(waiting::add);
    for (UpstreamQuery ask : waiting) {
      if (ask.link == this && !ask.isEnded()) {
        if (ask.isOut()) {
          ask.end(status == Status.CONNECT_FAILED ? Status.RESET : status, null, why);
        } else {
          ask.notSent(status == Status.CONNECT_FAILED ? Status.CONNECT_FAILED : Status.NOT_SENT, why);
        }
      }
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    connected = true;
    writeMore();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    writeMore();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object read) {
    ByteBuf frame = (ByteBuf) read;
    byte[] octets = new byte[frame.readableBytes()];
    frame.readBytes(octets);
    frame.release();
    if (closed) {
      return;
    }
    long now = server.client.clock.now();
    usedAt = now;
    Message m;
    try {
      m = Message.read(octets);
    } catch (MalformedException e) {
      UpstreamQuery ask = octets.length < 2 ? null : pending.remove(Message.get16(octets, 0));
      if (ask != null && ask.link == this) {
        ask.end(Status.ERROR, null, "an answer that is no message: " + e.getMessage());
      }
      over(Status.RESET, "an answer that is no message");
      return;
    }
    UpstreamQuery ask = pending.remove(m.id());
    if (ask == null) {
      server.client.counts.wrong++;
      over(Status.RESET, "an answer that nobody asked for");
    } else if (ask.link != this || ask.isEnded()) {
      server.client.counts.late++;
    } else if (!ask.overConnection(m, now)) {
      over(Status.RESET, "an answer to another question");
    }
    writeMore();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    over(Status.RESET, "the connection broke");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    over(Status.RESET, "the connection broke");
  }
}
