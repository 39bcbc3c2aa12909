package cloverpulley.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.ListKind;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A watch for which there is not even a socket, as where descriptors have run out for a moment. */
@Timeout(30)
class NoSocketTest {

  /** It fails, told on the loop, and the one after it is a watch: else the list would be quiet for ever. */
  @Test
  void aWatchWithoutASocketHasFailedAndCanBeOpenedAnew() throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (ServerSocket service = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      EventLoop loop = group.next();
      AtomicBoolean out = new AtomicBoolean(true);
      Bootstrap bootstrap = new Bootstrap().group(group).channelFactory(() -> {
        if (out.get()) {
          throw new ChannelException("on purpose: no descriptor is left");
        }
        return new NioSocketChannel();
      });
      BlockingQueue<String> told = new LinkedBlockingQueue<>();
      AtomicReference<Discovery> discovery = new AtomicReference<>();
      discovery.set(new Discovery(bootstrap, (InetSocketAddress) service.getLocalSocketAddress(), () -> 1, (kind, list) -> {
        told.add(kind + (loop.inEventLoop() ? "" : " on another thread"));
        if (kind == ListKind.FAILED) {
          out.set(false);
          discovery.get().watch(true);
        }
      }));
      loop.execute(() -> discovery.get().watch(true));
      assertEquals("FAILED", told.poll(10, TimeUnit.SECONDS));
      try (Socket watch = service.accept()) {
        watch.getOutputStream().write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2c\r\n{\"revision\":2,\"complete\":true,\"members\":[]}\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
        assertEquals("FULL", told.poll(10, TimeUnit.SECONDS));
        loop.execute(() -> discovery.get().watch(false));
        InputStream in = watch.getInputStream();
        while (in.read() >= 0) {
          // Its request, then its end.
        }
        assertTrue(told.isEmpty(), told::toString);
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }
}
