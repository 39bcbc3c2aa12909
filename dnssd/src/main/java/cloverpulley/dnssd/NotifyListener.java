package cloverpulley.dnssd;

import cloverpulley.dns.wire.MalformedException;
import cloverpulley.dns.wire.Message;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import java.util.logging.Logger;
import org.xbill.DNS.Name;

/**
 * Receives NOTIFY messages (RFC 1996) from the configured resolvers, identified by their source address; others get no answer. A NOTIFY
 * is only a hint: the zone's records are queried again.
 */
final class NotifyListener implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(NotifyListener.class.getName());
  private static final int NOTIFY = Message.NOTIFY << 11;

  private final DnsSdConfig config;
  private final BiConsumer<Integer, String> listener;
  private final Channel channel;

  NotifyListener(EventLoop loop, DnsSdConfig config, BiConsumer<Integer, String> listener) {
    this.config = config;
    this.listener = listener;
    var bind = new Bootstrap().group(loop).channel(NioDatagramChannel.class).handler(new SimpleChannelInboundHandler<DatagramPacket>() {
      @Override
      protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
        read(context, packet);
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A lost datagram is harmless: the next poll finds the change.
      }
    }).bind(config.notifyAddress());
    channel = bind.channel();
    bind.addListener(f -> {
      if (!f.isSuccess()) {
        LOG.warning("can't receive NOTIFY at " + config.notifyAddress() + ": " + f.cause().getMessage());
      }
    });
  }

  private void read(ChannelHandlerContext context, DatagramPacket packet) {
    ByteBuf content = packet.content();
    byte[] bytes = new byte[Math.min(Message.MAX_LENGTH, content.readableBytes())];
    content.readBytes(bytes);
    Message m;
    try {
      m = Message.read(bytes);
    } catch (MalformedException e) {
      return;
    }
    if (m.isResponse() || m.opcode() != Message.NOTIFY || m.question() == null) {
      return;
    }
    boolean knownResolver = false;
    for (int i = 0; i < config.resolvers().size(); i++) {
      if (config.resolvers().get(i).address().getAddress().equals(packet.sender().getAddress())) {
        knownResolver = true;
        try {
          listener.accept(i, DnsSdConfig.canonicalName(new Name(m.question().name())));
        } catch (java.io.IOException e) {
          return; // Cannot happen: Message.read has validated the name.
        }
      }
    }
    if (knownResolver) {
      byte[] answer = Message.empty(m.id(), NOTIFY | Message.AA, Message.NOERROR, m.question(), null);
      context.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(answer), packet.sender()));
    }
  }

  InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  @Override
  public void close() {
    channel.close();
  }
}
