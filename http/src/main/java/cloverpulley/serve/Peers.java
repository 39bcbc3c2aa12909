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

/** Sends and receives datagrams between balancers. Delivery is neither guaranteed nor acknowledged. */
final class Peers implements Engine.PeerSender {

  private static final Logger LOG = Logger.getLogger(Peers.class.getName());

  private final int selfIndex;
  private final List<InetSocketAddress> peers;
  private final InetSocketAddress broadcastAddress;
  private Channel channel;

  Peers(int selfIndex, List<InetSocketAddress> peers, InetSocketAddress broadcastAddress) {
    this.selfIndex = selfIndex;
    this.peers = peers;
    this.broadcastAddress = broadcastAddress;
  }

  /** Binds the socket, shared with another process if {@code reusePort}, and passes messages from known peers to the engine. */
  ChannelFuture listen(EventLoopGroup group, InetSocketAddress address, boolean reusePort, Engine engine) {
    Bootstrap bootstrap = new Bootstrap().group(group).channel(NioDatagramChannel.class);
    if (reusePort) {
      bootstrap.option(Listener.REUSE_PORT, true);
    }
    ChannelFuture bound = bootstrap
        .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
          @Override
          protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            int from = peers.indexOf(packet.sender());
            if (from >= 0 && from != selfIndex) {
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

  /** The bound address; its port was chosen by the system if the configured one is 0. */
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
    } else if (broadcastAddress != null) {
      sendTo(broadcastAddress, data);
    } else {
      for (int i = 0; i < peers.size(); i++) {
        if (i != selfIndex) {
          sendTo(peers.get(i), data);
        }
      }
    }
  }

  private void sendTo(InetSocketAddress address, byte[] data) {
    channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(data), address));
  }
}
