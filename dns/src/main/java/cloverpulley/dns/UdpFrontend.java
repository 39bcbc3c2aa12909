package cloverpulley.dns;

import cloverpulley.dns.client.Flusher;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Receives queries from clients over UDP. */
final class UdpFrontend extends ChannelInboundHandlerAdapter {

  private final Resolver resolver;
  private final Flusher flusher;
  private final NioDatagramChannel channel;

  UdpFrontend(Resolver resolver, Flusher flusher, NioDatagramChannel channel) {
    this.resolver = resolver;
    this.flusher = flusher;
    this.channel = channel;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object read) {
    DatagramPacket packet = (DatagramPacket) read;
    byte[] octets;
    try {
      ByteBuf content = packet.content();
      octets = new byte[content.readableBytes()];
      content.readBytes(octets);
    } finally {
      packet.release();
    }
    if (packet.sender().getPort() != 0) { // Port 0 can't be answered.
      resolver.onMessage(octets, new DatagramClient(packet.sender()));
    }
  }

  /** Ignored: a datagram that can't be sent affects only its receiver. */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {}

  private final class DatagramClient implements Query.Client {

    private final InetSocketAddress from;

    DatagramClient(InetSocketAddress from) {
      this.from = from;
    }

    @Override
    public InetAddress address() {
      return from.getAddress();
    }

    @Override
    public int port() {
      return from.getPort();
    }

    @Override
    public boolean isTcp() {
      return false;
    }

    @Override
    public boolean isClosed() {
      return !channel.isOpen();
    }

    @Override
    public void answer(byte[] octets) {
      ByteBuf buffer = channel.alloc().directBuffer(octets.length).writeBytes(octets);
      channel.write(new DatagramPacket(buffer, from), channel.voidPromise());
      flusher.flushLater(channel);
    }
  }
}
