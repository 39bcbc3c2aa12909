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
 * DNS over UDP or TCP: a class that is safe asks for an address (QUERY), a keyed one tells of a change (NOTIFY), an unsafe one makes
 * one (UPDATE). Names are {@code kN.DOMAIN} for key N. Over TCP queries are pipelined.
 */
final class DnsDriver implements Driver {

  private static final int IDS = 65_536;
  private static final int READS = 256;
  private static final int MOST_DATAGRAM = 4096;
  private static final int BUFFER = 1 << 20;
  /** Of as many sockets and connections as the plan allows, no more than this are of use on one core. */
  private static final int MOST_LINES = 64;
  private static final int A = 1;
  private static final int SOA = 6;
  private static final int NOTIFY_FLAGS = Message.NOTIFY << 11 | Message.AA;

  private final Plan plan;
  private final EventLoop loop;
  private final boolean tcp;
  private final List<Connection> lines = new ArrayList<>();
  private final byte[] opt = new Edns.Writer(1232, 0, false).bytes();
  private final Set<Channel> unflushed = new HashSet<>();
  private boolean flushing;
  private boolean closed;
  private int next;
  private long doubles;

  DnsDriver(Plan plan, EventLoop loop) {
    this.plan = plan;
    this.loop = loop;
    tcp = plan.target().protocol() == Plan.Protocol.DNS_TCP;
    for (int i = 0; i < Math.min(MOST_LINES, plan.target().connections()); i++) {
      lines.add(new Connection());
    }
  }

  @Override
  public void send(PlannedRequest planned, String id, int attempt, AttemptCallback ended) {
    // The first with a free id, from the next in turn on.
    for (int i = 0; i < lines.size(); i++) {
      Connection line = lines.get(next++ % lines.size());
      if (line.send(planned, ended)) {
        return;
      }
    }
    ended.ended(Outcome.NO_ROOM, 0);
  }

  private byte[] message(PlannedRequest p, int id) {
    Effect effect = plan.types().get(p.type()).effect();
    String domain = plan.target().domain();
    if (effect == Effect.SAFE) {
      String host = p.key() >= 0 ? "k" + p.key() : "u" + p.number();
      return Message.query(id, Message.RD, new Question(Names.of(host + "." + domain), A, Message.IN), opt);
    } else if (effect == Effect.KEYED) {
      return Message.query(id, NOTIFY_FLAGS, new Question(Names.of(domain), SOA, Message.IN), null);
    }
    return update(id, domain, "u" + p.number() + "." + domain);
  }

  /** Adds an address (RFC 2136, 2.5.1). */
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

  /** When a refusal says to come back: in the text of its extended error; 0 where it doesn't. */
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

  /** A request without an answer yet. */
  private static final class PendingRequest {
    private final AttemptCallback ended;
    private Future<?> patience;

    PendingRequest(AttemptCallback ended) {
      this.ended = ended;
    }
  }

  /** A socket, or a connection that is opened anew once it has broken. */
  private final class Connection {

    private final PendingRequest[] open = new PendingRequest[IDS];
    /** Which ids have had their answer since they were last used: one more is one too many. */
    private final boolean[] answered = new boolean[IDS];
    private Channel channel;
    private boolean up;
    private int id;
    private int count;
    private final List<byte[]> waiting = new ArrayList<>();

    Connection() {
      connect();
    }

    private void connect() {
      Bootstrap b = new Bootstrap().group(loop);
      if (tcp) {
        b.channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) plan.target().connectMillis());
      } else {
        b.channel(NioDatagramChannel.class).option(ChannelOption.SO_RCVBUF, BUFFER)
            .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MOST_DATAGRAM).maxMessagesPerRead(READS));
      }
      channel = b.handler(new ChannelInitializer<Channel>() {
        @Override
        protected void initChannel(Channel c) {
          if (tcp) {
            c.pipeline().addLast(new LengthFieldBasedFrameDecoder(Message.MOST + 2, 0, 2, 0, 2));
          }
          c.pipeline().addLast(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object read) {
              Connection.this.read(read);
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
              over(Outcome.BROKEN);
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
              over(tcp ? Outcome.BROKEN : Outcome.NO_CONNECTION);
            }
          });
        }
      }).connect(plan.target().address()).addListener(f -> loop.execute(() -> {
        if (f.isSuccess()) {
          up = true;
          waiting.forEach(this::write);
          waiting.clear();
        } else {
          over(Outcome.NO_CONNECTION);
        }
      })).channel();
    }

    boolean send(PlannedRequest planned, AttemptCallback ended) {
      if (count == IDS || closed) {
        return false;
      }
      if (channel == null) {
        connect();
      }
      do {
        id = id + 1 & IDS - 1;
      } while (open[id] != null);
      int mine = id;
      PendingRequest o = new PendingRequest(ended);
      open[mine] = o;
      answered[mine] = false;
      count++;
      o.patience = loop.schedule(() -> end(mine, o, Outcome.TIMEOUT, 0), (long) (planned.patienceMillis() * 1000), TimeUnit.MICROSECONDS);
      byte[] message = message(planned, mine);
      if (up) {
        write(message);
      } else {
        waiting.add(message);
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

    private void end(int which, PendingRequest o, Outcome outcome, double retryAfter) {
      if (open[which] == o) {
        open[which] = null;
        count--;
        o.patience.cancel(false);
        o.ended.ended(outcome, retryAfter);
      }
    }

    private void read(Object read) {
      ByteBuf content = read instanceof DatagramPacket p ? p.content() : (ByteBuf) read;
      byte[] answer = new byte[content.readableBytes()];
      content.readBytes(answer);
      content.release();
      if (!Message.hasHeader(answer) || !Message.isResponse(answer)) {
        return;
      }
      int which = Message.get16(answer, 0);
      PendingRequest o = open[which];
      if (o == null) {
        doubles += answered[which] ? 1 : 0;
      } else {
        answered[which] = true;
        Outcome outcome = outcome(answer);
        end(which, o, outcome, outcome == Outcome.SERVED ? 0 : retryAfterMillis(answer));
      }
    }

    private void over(Outcome outcome) {
      if (channel == null) {
        return;
      }
      channel.close();
      channel = null;
      up = false;
      waiting.clear();
      for (int i = 0; i < IDS && count > 0; i++) {
        if (open[i] != null) {
          end(i, open[i], outcome, 0);
        }
      }
    }
  }

  @Override
  public int connections() {
    return lines.size();
  }

  @Override
  public long doubles() {
    return doubles;
  }

  @Override
  public void close() {
    closed = true;
    lines.forEach(l -> l.over(Outcome.BROKEN));
  }
}
