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
 * A TCP connection to a server, with pipelined queries (RFC 7766, 6.2.1.1). A query counts as sent only once its last byte has been
 * written to the socket: if the connection fails before that, the server can't have read it.
 */
final class TcpConnection extends ChannelInboundHandlerAdapter {

  /** Above the high mark, queries stay in the queue, where they can still be cancelled, and not in the channel's buffer. */
  private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(4096, 16_384);
  /** The time for writes that started before a drain to complete: well within the two seconds after which rule 3 allows no new queries. */
  private static final long DRAIN_WRITE_MILLIS = 1000;

  private final ServerConnections server;
  private final ArrayDeque<UpstreamQuery> queue = new ArrayDeque<>();
  /** By id, including abandoned queries: an id is reused only after its answer has arrived. */
  private final IntObjectHashMap<UpstreamQuery> pending = new IntObjectHashMap<>();
  private Channel channel;
  private boolean connected;
  private boolean closed;
  private boolean draining;
  /** Queries that have neither completed nor been abandoned. */
  private int openQueries;
  private long usedAt;
  private int pendingWrites;

  TcpConnection(ServerConnections server) {
    this.server = server;
    usedAt = server.client.clock.now();
    new Bootstrap().group(server.client.loop).channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(server.client.config.connectTimeoutNanos())))
        .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel c) {
            channel = c;
            c.pipeline().addLast(new LengthFieldBasedFrameDecoder(Message.MAX_LENGTH + 2, 0, 2, 0, 2), TcpConnection.this);
          }
        }).connect(server.address).addListener(f -> {
          if (!f.isSuccess()) {
            closeWith(Status.CONNECT_FAILED, "connect failed");
          }
        });
  }

  boolean isClosed() {
    return closed;
  }

  boolean isConnecting() {
    return !connected && !closed;
  }

  /** Queries that count towards the pipelining limit. */
  int load() {
    return queue.size() + pending.size();
  }

  /** Whether one more query fits; with {@code onlyRecentlyUsed}, only if the server can't have closed the connection as idle by now. */
  boolean hasCapacity(boolean onlyRecentlyUsed) {
    boolean recentlyUsed = server.client.clock.now() - usedAt < server.client.config.idleTimeoutNanos() / 8;
    return !closed && !draining && load() < server.client.config.pipelined() && (!onlyRecentlyUsed || recentlyUsed || isConnecting());
  }

  void send(UpstreamQuery query) {
    if (closed) {
      query.failUnsent(Status.CONNECT_FAILED, "connect failed");
      return;
    }
    query.connection = this;
    query.writeFuture = null;
    openQueries++;
    queue.add(query);
    usedAt = server.client.clock.now();
    writeMore();
  }

  private void writeMore() {
    while (connected && !closed && !queue.isEmpty() && channel.isWritable()) {
      UpstreamQuery query = queue.poll();
      int id = server.client.random.id();
      while (pending.containsKey(id)) {
        id = id + 1 & 0xFFFF;
      }
      byte[] message = query.message(id, false, server.client.clock.now());
      pending.put(id, query);
      pendingWrites++;
      server.client.counts.tcp++;
      ByteBuf buffer = channel.alloc().directBuffer(2 + message.length).writeShort(message.length).writeBytes(message);
      query.writeFuture = channel.write(buffer);
      query.writeFuture.addListener(f -> pendingWrites--);
      server.client.flusher.flushLater(channel);
    }
  }

  /** Releases a query that has completed or been abandoned. If it is unanswered, its id stays in use until the answer arrives. */
  void release(UpstreamQuery query) {
    if (query.connection == this) {
      query.connection = null;
      openQueries--;
      queue.remove(query);
      closeIfDone();
      // Guards against a server that leaves most queries unanswered: their ids would use up the limit.
      if (openQueries == 0 && 2 * pending.size() >= server.client.config.pipelined()) {
        closeWith(Status.CANCELLED, "too many unanswered queries");
      }
    }
  }

  /** Drains the connection: unwritten queries complete as not sent, the others may still be answered. */
  void drain() {
    draining = true;
    for (UpstreamQuery query : List.copyOf(queue)) {
      query.failUnsent(Status.NOT_SENT, "server is draining");
    }
    if (isConnecting()) {
      closeWith(Status.NOT_SENT, "server is draining");
      return;
    }
    server.client.loop.schedule(() -> {
      if (pendingWrites > 0) {
        closeWith(Status.RESET, "server is draining and does not read");
      }
    }, DRAIN_WRITE_MILLIS, TimeUnit.MILLISECONDS);
    server.client.loop.schedule(() -> closeWith(Status.RESET, "server is draining"), server.client.config.drainTimeoutNanos(),
        TimeUnit.NANOSECONDS);
    closeIfDone();
  }

  private void closeIfDone() {
    if (draining && openQueries == 0) {
      closeWith(Status.CANCELLED, "done");
    }
  }

  /** Closes the connection if it has been idle for the idle timeout. */
  void closeIfIdle(long now) {
    if (openQueries == 0 && now - usedAt >= server.client.config.idleTimeoutNanos()) {
      closeWith(Status.CANCELLED, "idle");
    }
  }

  /** Closes the connection and completes each pending query according to whether it was sent. */
  void closeWith(Status status, String reason) {
    if (closed) {
      return;
    }
    closed = true;
    if (channel != null) {
      channel.close(); // Fails incomplete writes, which isSent() relies on below.
    }
    server.onClosed(this);
    List<UpstreamQuery> waiting = new ArrayList<>(queue);
    queue.clear();
    pending.values().forEach(waiting::add);
    for (UpstreamQuery query : waiting) {
      if (query.connection == this && !query.isEnded()) {
        if (query.isSent()) {
          query.end(status == Status.CONNECT_FAILED ? Status.RESET : status, null, reason);
        } else {
          query.failUnsent(status == Status.CONNECT_FAILED ? Status.CONNECT_FAILED : Status.NOT_SENT, reason);
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
      UpstreamQuery query = octets.length < 2 ? null : pending.remove(Message.get16(octets, 0));
      if (query != null && query.connection == this) {
        query.end(Status.ERROR, null, "malformed answer: " + e.getMessage());
      }
      closeWith(Status.RESET, "malformed answer");
      return;
    }
    UpstreamQuery query = pending.remove(m.id());
    if (query == null) {
      server.client.counts.wrong++;
      closeWith(Status.RESET, "answer with an unknown id");
    } else if (query.connection != this || query.isEnded()) {
      server.client.counts.late++;
    } else if (!query.onTcpMessage(m, now)) {
      closeWith(Status.RESET, "answer to a different question");
    }
    writeMore();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    closeWith(Status.RESET, "connection lost");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    closeWith(Status.RESET, "connection lost");
  }
}
