package cloverpulley.load;

import cloverpulley.dns.wire.Edns;
import cloverpulley.dns.wire.Message;
import cloverpulley.dns.wire.Names;
import cloverpulley.dns.wire.Question;
import cloverpulley.load.Plan.Effect;
import cloverpulley.load.RequestGenerator.PlannedRequest;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * DNS over UDP or TCP: requests of a safe class are address queries (QUERY), of a keyed class NOTIFY messages, of an unsafe class UPDATE
 * messages. The name queried for key N is {@code kN.DOMAIN}. Over TCP, queries are pipelined.
 */
final class DnsDriver implements Driver {

  private static final int MESSAGE_IDS = 65_536;
  private static final int MAX_READS_PER_WAKEUP = 256;
  private static final int MAX_DATAGRAM_BYTES = 4096;
  private static final int RECEIVE_BUFFER_BYTES = 1 << 20;
  /** Upper limit on sockets or connections, whatever the plan allows: more bring no benefit on a single core. */
  private static final int MAX_CONNECTIONS = 64;
  private static final int A = 1;
  private static final int SOA = 6;
  private static final int NOTIFY_FLAGS = Message.NOTIFY << 11 | Message.AA;

  private final Plan plan;
  private final EventLoop loop;
  private final boolean tcp;
  private final List<Connection> connections = new ArrayList<>();
  private final byte[] opt = new Edns.Writer(1232, 0, false).bytes();
  private final Set<Channel> unflushed = new HashSet<>();
  private boolean flushing;
  private boolean closed;
  private int next;
  private long duplicateResponses;

  DnsDriver(Plan plan, EventLoop loop) {
    this.plan = plan;
    this.loop = loop;
    tcp = plan.target().protocol() == Plan.Protocol.DNS_TCP;
    for (int i = 0; i < Math.min(MAX_CONNECTIONS, plan.target().maxConnections()); i++) {
      connections.add(new Connection());
    }
  }

  @Override
  public void send(PlannedRequest planned, String id, int attempt, AttemptCallback callback) {
    // Round robin over the connections, skipping those that have no free message id.
    for (int i = 0; i < connections.size(); i++) {
      Connection connection = connections.get(next++ % connections.size());
      if (connection.send(planned, callback)) {
        return;
      }
    }
    callback.onAttemptEnd(Outcome.NO_ROOM, 0);
  }

  private byte[] message(PlannedRequest p, int id) {
    Effect effect = plan.classes().get(p.classIndex()).effect();
    String domain = plan.target().domain();
    if (effect == Effect.SAFE) {
      String host = p.key() >= 0 ? "k" + p.key() : "u" + p.number();
      return Message.query(id, Message.RD, new Question(Names.of(host + "." + domain), A, Message.IN), opt);
    } else if (effect == Effect.KEYED) {
      return Message.query(id, NOTIFY_FLAGS, new Question(Names.of(domain), SOA, Message.IN), null);
    }
    return update(id, domain, "u" + p.number() + "." + domain);
  }

  /** Builds an UPDATE message that adds an address record (RFC 2136, 2.5.1). */
  private static byte[] update(int id, String zone, String host) {
    byte[] head = Message.query(id, Message.UPDATE << 11, new Question(Names.of(zone), SOA, Message.IN), null);
    byte[] name = Names.of(host);
    byte[] to = java.util.Arrays.copyOf(head, head.length + name.length + 14);
    to[9] = 1;
    System.arraycopy(name, 0, to, head.length, name.length);
    int at = head.length + name.length;
    Message.put16(to, at, A);
    Message.put16(to, at + 2, Message.IN);
    Message.put32(to, at + 4, 60);
    Message.put16(to, at + 8, 4);
    to[at + 10] = 10;
    return to;
  }

  private static Outcome outcome(byte[] answer) {
    int rcode = answer[3] & 0xF;
    if (rcode == Message.REFUSED || (Message.get16(answer, 2) & Message.TC) != 0) {
      return Outcome.REFUSED;
    }
    return rcode == Message.NOERROR || rcode == Message.NXDOMAIN ? Outcome.SERVED : Outcome.FAILED;
  }

  /** The retry delay that a REFUSED response gives in the text of its Extended DNS Error (RFC 8914); 0 if it gives none. */
  static double retryAfterMillis(byte[] answer) {
    String text = new String(answer, StandardCharsets.ISO_8859_1);
    int at = text.indexOf("come back in ");
    int end = at < 0 ? -1 : text.indexOf(" ms", at);
    try {
      return end < 0 ? 0 : Math.max(0, Math.min(600_000, Integer.parseInt(text.substring(at + 13, end))));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /** A request that has not been answered yet. */
  private static final class PendingRequest {
    private final AttemptCallback callback;
    private Future<?> timeout;

    PendingRequest(AttemptCallback callback) {
      this.callback = callback;
    }
  }

  /** A UDP socket, or a TCP connection that is reopened after it was lost. */
  private final class Connection {

    private final PendingRequest[] pending = new PendingRequest[MESSAGE_IDS];
    /** Message ids that have been answered since they were last allocated: another response with such an id is a duplicate. */
    private final boolean[] answered = new boolean[MESSAGE_IDS];
    private Channel channel;
    private boolean connected;
    private int id;
    private int inFlight;
    private final List<byte[]> unsent = new ArrayList<>();

    Connection() {
      connect();
    }

    private void connect() {
      Bootstrap b = new Bootstrap().group(loop);
      if (tcp) {
        b.channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) plan.target().connectMillis());
      } else {
        b.channel(NioDatagramChannel.class).option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            .option(ChannelOption.RECVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES).maxMessagesPerRead(MAX_READS_PER_WAKEUP));
      }
      channel = b.handler(new ChannelInitializer<Channel>() {
        @Override
        protected void initChannel(Channel c) {
          if (tcp) {
            c.pipeline().addLast(new LengthFieldBasedFrameDecoder(Message.MAX_LENGTH + 2, 0, 2, 0, 2));
          }
          c.pipeline().addLast(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
              Connection.this.onMessage(message);
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
              closeAndFail(Outcome.BROKEN);
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
              closeAndFail(tcp ? Outcome.BROKEN : Outcome.NO_CONNECTION);
            }
          });
        }
      }).connect(plan.target().address()).addListener(f -> loop.execute(() -> {
        if (f.isSuccess()) {
          connected = true;
          unsent.forEach(this::write);
          unsent.clear();
        } else {
          closeAndFail(Outcome.NO_CONNECTION);
        }
      })).channel();
    }

    boolean send(PlannedRequest planned, AttemptCallback callback) {
      if (inFlight == MESSAGE_IDS || closed) {
        return false;
      }
      if (channel == null) {
        connect();
      }
      do {
        id = id + 1 & MESSAGE_IDS - 1;
      } while (pending[id] != null);
      int allocated = id;
      PendingRequest o = new PendingRequest(callback);
      pending[allocated] = o;
      answered[allocated] = false;
      inFlight++;
      o.timeout = loop.schedule(() -> complete(allocated, o, Outcome.TIMEOUT, 0), (long) (planned.timeoutMillis() * 1000),
          TimeUnit.MICROSECONDS);
      byte[] message = message(planned, allocated);
      if (connected) {
        write(message);
      } else {
        unsent.add(message);
      }
      return true;
    }

    private void write(byte[] message) {
      ByteBuf buffer = channel.alloc().directBuffer(message.length + 2);
      channel.write((tcp ? buffer.writeShort(message.length) : buffer).writeBytes(message), channel.voidPromise());
      unflushed.add(channel);
      if (!flushing) {
        flushing = true;
        loop.execute(() -> {
          flushing = false;
          unflushed.forEach(Channel::flush);
          unflushed.clear();
        });
      }
    }

    private void complete(int messageId, PendingRequest o, Outcome outcome, double retryAfter) {
      if (pending[messageId] == o) {
        pending[messageId] = null;
        inFlight--;
        o.timeout.cancel(false);
        o.callback.onAttemptEnd(outcome, retryAfter);
      }
    }

    private void onMessage(Object message) {
      ByteBuf content = message instanceof DatagramPacket p ? p.content() : (ByteBuf) message;
      byte[] answer = new byte[content.readableBytes()];
      content.readBytes(answer);
      content.release();
      if (!Message.hasHeader(answer) || !Message.isResponse(answer)) {
        return;
      }
      int messageId = Message.get16(answer, 0);
      PendingRequest o = pending[messageId];
      if (o == null) {
        duplicateResponses += answered[messageId] ? 1 : 0;
      } else {
        answered[messageId] = true;
        Outcome outcome = outcome(answer);
        complete(messageId, o, outcome, outcome == Outcome.SERVED ? 0 : retryAfterMillis(answer));
      }
    }

    private void closeAndFail(Outcome outcome) {
      if (channel == null) {
        return;
      }
      channel.close();
      channel = null;
      connected = false;
      unsent.clear();
      for (int i = 0; i < MESSAGE_IDS && inFlight > 0; i++) {
        if (pending[i] != null) {
          complete(i, pending[i], outcome, 0);
        }
      }
    }
  }

  @Override
  public int openConnections() {
    return connections.size();
  }

  @Override
  public long duplicateResponses() {
    return duplicateResponses;
  }

  @Override
  public void close() {
    closed = true;
    connections.forEach(c -> c.closeAndFail(Outcome.BROKEN));
  }
}
