package cloverpulley.standins;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/**
 * A DNS server on loopback, over UDP and TCP on one port: does to each message what its script says, and keeps what it has read
 * and when.
 */
public final class StandInDns implements AutoCloseable {

  private static final int PORT_TRIES = 50;
  private static final int MOST = 65_535;

  /** A message that was read; the time is {@code System.nanoTime()} at its last octet. */
  public record Seen(int id, int opcode, String name, int type, boolean tcp, boolean edns, long atNanos) {}

  /** One message, and the ways to react to it. */
  public static final class ReceivedQuery {

    private final byte[] octets;
    private final boolean tcp;
    private final Channel channel;
    private final InetSocketAddress from;

    ReceivedQuery(byte[] octets, boolean tcp, Channel channel, InetSocketAddress from) {
      this.octets = octets;
      this.tcp = tcp;
      this.channel = channel;
      this.from = from;
    }

    public byte[] octets() {
      return octets.clone();
    }

    public boolean isTcp() {
      return tcp;
    }

    public int id() {
      return (octets[0] & 0xFF) << 8 | octets[1] & 0xFF;
    }

    /** Parsed; a test's own error where it can't be. */
    public Message message() {
      try {
        return new Message(octets);
      } catch (IOException e) {
        throw new IllegalArgumentException(e);
      }
    }

    /** The name asked, in lower case: the letters' case is the asker's guard against forgers. */
    public String name() {
      return message().getQuestion().getName().toString().toLowerCase(java.util.Locale.ROOT);
    }

    /** The beginnings of an answer: question kept as it came, EDNS where it was spoken. */
    public Message answer(int rcode, String... records) {
      try {
        Message asked = message();
        Message answer = new Message(asked.getHeader().getID());
        answer.getHeader().setOpcode(asked.getHeader().getOpcode());
        answer.getHeader().setFlag(Flags.QR);
        answer.getHeader().setFlag(Flags.RA);
        answer.getHeader().setRcode(rcode);
        answer.addRecord(asked.getQuestion(), Section.QUESTION);
        for (String text : records) {
          answer.addRecord(record(text), Section.ANSWER);
        }
        if (asked.getOPT() != null) {
          answer.addRecord(new OPTRecord(1232, 0, 0, asked.getOPT().getFlags() & 0x8000), Section.ADDITIONAL);
        }
        return answer;
      } catch (IOException e) {
        throw new IllegalArgumentException(e);
      }
    }

    /** An address record of the name asked, which is what most scripts answer. */
    public Message address(long ttl, String address) {
      return answer(0, name() + " " + ttl + " A " + address);
    }

    public void reply(Message answer) {
      reply(answer.toWire(MOST));
    }

    /** Sends octets, whatever they are; over TCP with their length before them. */
    public void reply(byte[] answer) {
      ByteBuf buffer = tcp ? Unpooled.wrappedBuffer(new byte[] {(byte) (answer.length >> 8), (byte) answer.length}, answer)
          : Unpooled.wrappedBuffer(answer);
      channel.writeAndFlush(tcp ? buffer : new DatagramPacket(buffer, from));
    }

    public void replyAfter(long millis, Message answer) {
      channel.eventLoop().schedule(() -> reply(answer), millis, TimeUnit.MILLISECONDS);
    }

    /** Octets as they are, without a length. */
    public void write(byte[] raw) {
      channel.writeAndFlush(tcp ? Unpooled.wrappedBuffer(raw) : new DatagramPacket(Unpooled.wrappedBuffer(raw), from));
    }

    /** Ends the connection after what has been written. */
    public void hangUp() {
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> channel.close());
    }

    /** Breaks the connection. */
    public void reset() {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }

    /** Whether both came over the same connection. */
    boolean hasSameChannel(ReceivedQuery other) {
      return channel == other.channel;
    }

    /** Reads nothing more from this connection. */
    public void stopReading() {
      channel.config().setAutoRead(false);
    }

    /** The octets of an answer that says it did not fit. */
    public byte[] truncated() {
      Message m = answer(0);
      m.getHeader().setFlag(Flags.TC);
      return m.toWire(MOST);
    }
  }

  /** A record in the form of a master file: name, TTL, type, data. */
  public static Record record(String text) throws IOException {
    String[] f = text.split(" ", 4);
    return Record.fromString(Name.fromString(f[0]), Type.value(f[2]), DClass.IN, Long.parseLong(f[1]), f[3], Name.root);
  }

  private final Queue<Seen> seen = new ConcurrentLinkedQueue<>();
  private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final EventLoopGroup group;
  private volatile Consumer<ReceivedQuery> script;
  private Channel tcp;
  private Channel udp;

  /** Starts on a port of its own, the same over both. */
  public StandInDns(EventLoopGroup group, Consumer<ReceivedQuery> script) {
    this.group = group;
    this.script = script;
    for (int i = 0; ; i++) {
      tcp = bindTcp(0);
      try {
        udp = bindUdp(((InetSocketAddress) tcp.localAddress()).getPort());
        return;
      } catch (RuntimeException e) {
        tcp.close().syncUninterruptibly();
        if (i == PORT_TRIES) {
          throw e;
        }
      }
    }
  }

  private Channel bindTcp(int port) {
    return new ServerBootstrap().group(group).channel(NioServerSocketChannel.class).option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, 1024).childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            open.add(channel);
            channel.pipeline().addLast(new LengthFieldBasedFrameDecoder(MOST + 2, 0, 2, 0, 2), new OverTcp());
          }
        }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)).syncUninterruptibly().channel();
  }

  private Channel bindUdp(int port) {
    return new Bootstrap().group(group).channel(NioDatagramChannel.class).option(ChannelOption.SO_RCVBUF, 1 << 20)
        .handler(new OverUdp()).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)).syncUninterruptibly().channel();
  }

  /** Answers every question for an address with the one given. */
  public static Consumer<ReceivedQuery> addresses(String address) {
    return a -> a.reply(a.address(60, address));
  }

  public void behave(Consumer<ReceivedQuery> next) {
    script = next;
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) udp.localAddress();
  }

  /** As lists name it. */
  public String hostPort() {
    return "127.0.0.1:" + address().getPort();
  }

  /** Messages that were read, in order. */
  public List<Seen> seen() {
    return List.copyOf(seen);
  }

  /** TCP connections that are open. */
  public int connections() {
    return open.size();
  }

  /** From now on connections are refused; those that are open stay. */
  public void refuseTcp() {
    tcp.close().syncUninterruptibly();
  }

  /** Dies: connections are reset, nobody listens any more. */
  @Override
  public void close() {
    tcp.close().syncUninterruptibly();
    udp.close().syncUninterruptibly();
    open.forEach(c -> c.eventLoop().execute(() -> {
      if (c.isActive()) {
        c.config().setOption(ChannelOption.SO_LINGER, 0);
        c.close();
      }
    }));
  }

  private void read(byte[] octets, boolean overTcp, Channel channel, InetSocketAddress from) {
    ReceivedQuery asked = new ReceivedQuery(octets, overTcp, channel, from);
    Message m = asked.message();
    Record q = m.getQuestion();
    seen.add(new Seen(asked.id(), m.getHeader().getOpcode(), q == null ? "" : q.getName().toString().toLowerCase(java.util.Locale.ROOT),
        q == null ? 0 : q.getType(), overTcp, m.getOPT() != null, System.nanoTime()));
    script.accept(asked);
  }

  private static byte[] octets(ByteBuf buffer) {
    byte[] octets = new byte[buffer.readableBytes()];
    buffer.readBytes(octets);
    return octets;
  }

  private final class OverTcp extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      read(octets(frame), true, context.channel(), null);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  private final class OverUdp extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      read(octets(packet.content()), false, context.channel(), packet.sender());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // What a client sends that can't be read is its own business.
    }
  }
}
