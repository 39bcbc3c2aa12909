package cloverpulley.serve;

import cloverpulley.engine.Engine;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Datagrams from and to the other balancers: late, lost or sound, never answered for. */
final class Peers implements Engine.PeerSender {

  private static final Logger LOG = Logger.getLogger(Peers.class.getName());

  private final int me;
  private final List<InetSocketAddress> peers;
  private final InetSocketAddress all;
  private Channel channel;

  Peers(int me, List<InetSocketAddress> peers, InetSocketAddress all) {
    this.me = me;
    this.peers = peers;
    this.all = all;
  }

  /** Binds, beside another process where {@code shared}, and hands what comes from a known peer to the engine. */
  ChannelFuture listen(EventLoopGroup group, InetSocketAddress address, boolean shared, Engine engine) {
    Bootstrap bootstrap = new Bootstrap().group(group).channel(NioDatagramChannel.class);
    if (shared) {
      bootstrap.option(Listener.REUSE_PORT, true);
    }
    ChannelFuture bound = bootstrap
        .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
          @Override
          protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            int from = peers.indexOf(packet.sender());
            if (from >= 0 && from != me) {
              engine.peerMessage(from, ByteBufUtil.getBytes(packet.content()));
            }
          }

          @Override
          public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(Level.FINE, "datagram", cause);
          }
        }).bind(address);
    channel = bound.channel();
    return bound;
  }

  /** The port bound, for a balancer that let the system choose. */
  InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  @Override
  public void send(int to, byte[] data) {
    if (channel == null) {
      return;
    }
    if (to >= 0) {
      if (to < peers.size()) {
        sendTo(peers.get(to), data);
      }
    } else if (all != null) {
      sendTo(all, data);
    } else {
      for (int i = 0; i < peers.size(); i++) {
        if (i != me) {
          sendTo(peers.get(i), data);
        }
      }
    }
  }

  private void sendTo(InetSocketAddress address, byte[] data) {
    channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(data), address));
  }
}
