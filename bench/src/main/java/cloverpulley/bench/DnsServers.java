package cloverpulley.bench;

import cloverpulley.Balancer.State;
import cloverpulley.config.ConfigFile;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.dns.DnsConfig;
import cloverpulley.dns.DnsServer;
import cloverpulley.dns.Warmup;
import cloverpulley.dns.wire.Edns;
import cloverpulley.dns.wire.MalformedException;
import cloverpulley.dns.wire.Message;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.ServerList.Server;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** Servers that {@link DnsBench} measures, each in its own process: the DNS server, and a null responder on the same library. */
public final class DnsServers {

  private static final int MAX_READS_PER_LOOP = 256;
  private static final int MAX_DATAGRAM = 4096;
  private static final int RECEIVE_BUFFER = 1 << 20;
  /** Enough for the JIT compiler to finish on one core. */
  private static final int WARM_UP_QUERIES = 100_000;
  private static final byte[] OPT = new Edns.Writer(1232, 0, false).bytes();

  private DnsServers() {}

  /**
   * {@code null TTL} runs the null responder, which answers every query with one address immediately; {@code front MB PORT...} runs the
   * DNS server with the given cache size and upstream servers at these ports. Prints its port, then one line for each line of input: the
   * null responder its query count, the DNS server its report. On {@code drain} the DNS server first sets its first upstream to draining.
   *
   * <p>The property {@code limit} is the DNS server's limit of answers per second to one prefix over UDP.
   */
  public static void main(String[] args) throws IOException, InvalidConfigException {
    BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    if (args[0].equals("null")) {
      NullResponder server = new NullResponder(Integer.parseInt(args[1]));
      System.out.println("port " + server.port());
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        System.out.println(server.queryCount);
      }
    } else {
      List<Server> servers = new ArrayList<>();
      StringBuilder text = new StringBuilder(CONFIG.replace("MB", args[1]).replace("LIMIT", Integer.toString(Integer.getInteger("limit", 0))));
      for (int i = 2; i < args.length; i++) {
        text.append("[[dns.fleet.server]]\nid = \"d").append(i).append("\"\naddress = \"127.0.0.1:").append(args[i]).append("\"\nzone = \"a\"\n");
      }
      DnsConfig config = ConfigFile.parse("bench", text.toString(), f -> DnsConfig.read(f.table("dns"), null));
      Warmup.run(config, WARM_UP_QUERIES);
      DnsServer server = DnsServer.start(config, null, 1);
      System.out.println("port " + server.address().getPort());
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.equals("drain")) {
          for (Server s : config.fleet().list().members()) {
            servers.add(new Server(s.id(), s.address(), s.zone(), s.cell(), servers.isEmpty() ? State.DRAINING : s.state(), s.size(),
                s.upSinceMillis()));
          }
          server.updateEndpoints(new ServerList(0, true, servers), null);
        }
        System.out.println(server.report());
      }
    }
    System.exit(0);
  }

  private static final String CONFIG = """
      [dns]
      listen = "127.0.0.1:0"
      [dns.service]
      zone = "a"
      most_in_hand = 100000
      [[dns.class]]
      name = "query"
      effect = "safe"
      aim_ms = 300
      deadline_ms = 1500
      [[dns.tenant]]
      name = "good"
      share = 0.5
      [[dns.client]]
      prefix = "127.0.0.1/32"
      tenant = "good"
      [dns.limits]
      udp_per_prefix_per_s = LIMIT
      tcp_per_client = 1000
      tcp_pipelined = 1000
      [dns.cache]
      mb = MB
      [dns.upstream]
      pipelined = 10000
      attempt_ms = 400
      """;

  /** Parses each query strictly, as the DNS server does, and answers it with a fixed address. */
  private static final class NullResponder {

    private final int ttl;
    private final Channel udp;
    final AtomicLong queryCount = new AtomicLong();

    NullResponder(int ttl) {
      this.ttl = ttl;
      EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
      InetAddress loopback = InetAddress.getLoopbackAddress();
      udp = new Bootstrap().group(group).channel(NioDatagramChannel.class).option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER)
          .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM).maxMessagesPerRead(MAX_READS_PER_LOOP))
          .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
            @Override
            protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
              byte[] answer = answer(packet.content());
              if (answer != null) {
                context.write(new DatagramPacket(context.alloc().directBuffer(answer.length).writeBytes(answer), packet.sender()),
                    context.voidPromise());
              }
            }

            @Override
            public void channelReadComplete(ChannelHandlerContext context) {
              context.flush();
            }
          }).bind(loopback, 0).syncUninterruptibly().channel();
      new ServerBootstrap().group(group).channel(NioServerSocketChannel.class).option(ChannelOption.SO_BACKLOG, 1024)
          .childOption(ChannelOption.TCP_NODELAY, true).childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
              channel.pipeline().addLast(new LengthFieldBasedFrameDecoder(Message.MAX_LENGTH + 2, 0, 2, 0, 2),
                  new SimpleChannelInboundHandler<ByteBuf>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
                      byte[] answer = answer(frame);
                      if (answer != null) {
                        context.write(context.alloc().directBuffer(2 + answer.length).writeShort(answer.length).writeBytes(answer),
                            context.voidPromise());
                      }
                    }

                    @Override
                    public void channelReadComplete(ChannelHandlerContext context) {
                      context.flush();
                    }
                  });
            }
          }).bind(loopback, port()).syncUninterruptibly();
    }

    int port() {
      return ((InetSocketAddress) udp.localAddress()).getPort();
    }

    private byte[] answer(ByteBuf content) {
      byte[] query = new byte[content.readableBytes()];
      content.readBytes(query);
      try {
        Message message = Message.read(query);
        queryCount.incrementAndGet();
        int end = message.questionEnd();
        byte[] response = new byte[end + 16 + (message.edns() == null ? 0 : OPT.length)];
        System.arraycopy(query, 0, response, 0, end);
        Message.put16(response, 2, 0x8000 | message.flags() & Message.RD | Message.RA);
        response[7] = 1;
        response[11] = (byte) (message.edns() == null ? 0 : 1);
        Message.put16(response, end, 0xC000 | Message.HEADER_LENGTH);
        Message.put16(response, end + 2, 1);
        Message.put16(response, end + 4, Message.IN);
        Message.put32(response, end + 6, ttl);
        Message.put16(response, end + 10, 4);
        response[end + 12] = 10;
        if (message.edns() != null) {
          System.arraycopy(OPT, 0, response, end + 16, OPT.length);
        }
        return response;
      } catch (MalformedException e) {
        return null;
      }
    }
  }
}
