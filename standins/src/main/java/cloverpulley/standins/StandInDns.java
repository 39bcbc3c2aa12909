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
 * A DNS server on loopback, over UDP and TCP on one port. It handles each message as its script says and records every message received
 * and its time.
 */
public final class StandInDns implements AutoCloseable {

  private static final int MAX_PORT_RETRIES = 50;
  private static final int MAX_MESSAGE_BYTES = 65_535;

  /** A message that was received; {@code atNanos} is the {@code System.nanoTime()} of its last octet. */
  public record Seen(int id, int opcode, String name, int type, boolean tcp, boolean edns, long atNanos) {}

  /** A received message and the ways to react to it. */
  public static final class ReceivedQuery {

    private final byte[] octets;
    private final boolean tcp;
    private final Channel channel;
    private final InetSocketAddress sender;

    ReceivedQuery(byte[] octets, boolean tcp, Channel channel, InetSocketAddress sender) {
      this.octets = octets;
      this.tcp = tcp;
      this.channel = channel;
      this.sender = sender;
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

    /** Returns the parsed message. Fails if it is malformed, which is an error of the test. */
    public Message message() {
      try {
        return new Message(octets);
      } catch (IOException e) {
        throw new IllegalArgumentException(e);
      }
    }

    /** Returns the queried name in lower case. Resolvers randomize its case as a protection against spoofed answers. */
    public String name() {
      return message().getQuestion().getName().toString().toLowerCase(java.util.Locale.ROOT);
    }

    /** Builds an answer that keeps the question unchanged and uses EDNS if the query did. */
    public Message answer(int rcode, String... records) {
      try {
        Message query = message();
        Message answer = new Message(query.getHeader().getID());
        answer.getHeader().setOpcode(query.getHeader().getOpcode());
        answer.getHeader().setFlag(Flags.QR);
        answer.getHeader().setFlag(Flags.RA);
        answer.getHeader().setRcode(rcode);
        answer.addRecord(query.getQuestion(), Section.QUESTION);
        for (String text : records) {
          answer.addRecord(record(text), Section.ANSWER);
        }
        if (query.getOPT() != null) {
          answer.addRecord(new OPTRecord(1232, 0, 0, query.getOPT().getFlags() & 0x8000), Section.ADDITIONAL);
        }
        return answer;
      } catch (IOException e) {
        throw new IllegalArgumentException(e);
      }
    }

    /** Builds an answer with an A record for the queried name, as most scripts need. */
    public Message address(long ttl, String address) {
      return answer(0, name() + " " + ttl + " A " + address);
    }

    public void reply(Message answer) {
      reply(answer.toWire(MAX_MESSAGE_BYTES));
    }

    /** Sends the given octets as a message, valid or not; over TCP they are preceded by their length. */
    public void reply(byte[] answer) {
      ByteBuf buffer = tcp ? Unpooled.wrappedBuffer(new byte[] {(byte) (answer.length >> 8), (byte) answer.length}, answer)
          : Unpooled.wrappedBuffer(answer);
      channel.writeAndFlush(tcp ? buffer : new DatagramPacket(buffer, sender));
    }

    public void replyAfter(long millis, Message answer) {
      channel.eventLoop().schedule(() -> reply(answer), millis, TimeUnit.MILLISECONDS);
    }

    /** Writes the given octets without a length prefix. */
    public void write(byte[] raw) {
      channel.writeAndFlush(tcp ? Unpooled.wrappedBuffer(raw) : new DatagramPacket(Unpooled.wrappedBuffer(raw), sender));
    }

    /** Closes the connection after flushing what has been written. */
    public void hangUp() {
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(future -> channel.close());
    }

    /** Resets the connection; a no-op if it is closed already, as after another query on it was answered so. */
    public void reset() {
      if (channel.eventLoop().inEventLoop()) {
        StandInDns.reset(channel);
      } else {
        channel.eventLoop().execute(() -> StandInDns.reset(channel));
      }
    }

    /** Whether both messages arrived on the same channel. */
    boolean hasSameChannel(ReceivedQuery other) {
      return channel == other.channel;
    }

    /** Stops reading from this connection. */
    public void stopReading() {
      channel.config().setAutoRead(false);
    }

    /** Returns the octets of an empty answer with the TC flag. */
    public byte[] truncated() {
      Message m = answer(0);
      m.getHeader().setFlag(Flags.TC);
      return m.toWire(MAX_MESSAGE_BYTES);
    }
  }

  /** Parses a record in zone file format: name, TTL, type, data. */
  public static Record record(String text) throws IOException {
    String[] fields = text.split(" ", 4);
    return Record.fromString(Name.fromString(fields[0]), Type.value(fields[2]), DClass.IN, Long.parseLong(fields[1]), fields[3], Name.root);
  }

  private final Queue<Seen> seen = new ConcurrentLinkedQueue<>();
  private final ChannelGroup openChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final EventLoopGroup group;
  private volatile Consumer<ReceivedQuery> script;
  private Channel tcp;
  private Channel udp;

  /** Starts a server on a free port, the same for TCP and UDP. */
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
        if (i == MAX_PORT_RETRIES) {
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
            openChannels.add(channel);
            channel.pipeline().addLast(new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES + 2, 0, 2, 0, 2), new TcpHandler());
          }
        }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)).syncUninterruptibly().channel();
  }

  private Channel bindUdp(int port) {
    return new Bootstrap().group(group).channel(NioDatagramChannel.class).option(ChannelOption.SO_RCVBUF, 1 << 20)
        .handler(new UdpHandler()).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)).syncUninterruptibly().channel();
  }

  /** Returns a script that answers every query with the given address. */
  public static Consumer<ReceivedQuery> addresses(String address) {
    return a -> a.reply(a.address(60, address));
  }

  public void behave(Consumer<ReceivedQuery> next) {
    script = next;
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) udp.localAddress();
  }

  /** The address as endpoint lists write it. */
  public String hostPort() {
    return "127.0.0.1:" + address().getPort();
  }

  /** The messages received so far, in order of arrival. */
  public List<Seen> seen() {
    return List.copyOf(seen);
  }

  /** Returns the number of open TCP connections. */
  public int connections() {
    return openChannels.size();
  }

  /** Refuses new TCP connections; open ones stay open. */
  public void refuseTcp() {
    tcp.close().syncUninterruptibly();
  }

  /** Simulates a crash: stops listening and resets open connections. */
  @Override
  public void close() {
    tcp.close().syncUninterruptibly();
    udp.close().syncUninterruptibly();
    openChannels.forEach(c -> c.eventLoop().execute(() -> reset(c)));
  }

  /** Resets an open connection; on its event loop, which closes it and knows whether it is open. */
  private static void reset(Channel channel) {
    if (channel.isActive()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }

  private void handle(byte[] octets, boolean overTcp, Channel channel, InetSocketAddress sender) {
    ReceivedQuery query = new ReceivedQuery(octets, overTcp, channel, sender);
    Message m = query.message();
    Record q = m.getQuestion();
    seen.add(new Seen(query.id(), m.getHeader().getOpcode(), q == null ? "" : q.getName().toString().toLowerCase(java.util.Locale.ROOT),
        q == null ? 0 : q.getType(), overTcp, m.getOPT() != null, System.nanoTime()));
    script.accept(query);
  }

  private static byte[] octets(ByteBuf buffer) {
    byte[] octets = new byte[buffer.readableBytes()];
    buffer.readBytes(octets);
    return octets;
  }

  private final class TcpHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      handle(octets(frame), true, context.channel(), null);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  private final class UdpHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      handle(octets(packet.content()), false, context.channel(), packet.sender());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A malformed datagram must not close the UDP channel.
    }
  }
}
