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

/** A watch for which no socket can be created, as when file descriptors run out for a moment. */
@Timeout(30)
class NoSocketTest {

  /** The failure must be reported on the event loop, and a new watch must work afterwards; else the list would never be updated again. */
  @Test
  void aWatchWithoutASocketFailsAndCanBeReopened() throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (ServerSocket service = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      EventLoop loop = group.next();
      AtomicBoolean noDescriptors = new AtomicBoolean(true);
      Bootstrap bootstrap = new Bootstrap().group(group).channelFactory(() -> {
        if (noDescriptors.get()) {
          throw new ChannelException("simulated: out of file descriptors");
        }
        return new NioSocketChannel();
      });
      BlockingQueue<String> events = new LinkedBlockingQueue<>();
      AtomicReference<Discovery> discovery = new AtomicReference<>();
      discovery.set(new Discovery(bootstrap, (InetSocketAddress) service.getLocalSocketAddress(), () -> 1, (kind, list) -> {
        events.add(kind + (loop.inEventLoop() ? "" : " on another thread"));
        if (kind == ListKind.FAILED) {
          noDescriptors.set(false);
          discovery.get().watch(true);
        }
      }));
      loop.execute(() -> discovery.get().watch(true));
      assertEquals("FAILED", events.poll(10, TimeUnit.SECONDS));
      try (Socket watch = service.accept()) {
        watch.getOutputStream().write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2c\r\n{\"revision\":2,\"complete\":true,\"members\":[]}\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
        assertEquals("FULL", events.poll(10, TimeUnit.SECONDS));
        loop.execute(() -> discovery.get().watch(false));
        InputStream in = watch.getInputStream();
        while (in.read() >= 0) {
          // Reads the request, then the end of the stream.
        }
        assertTrue(events.isEmpty(), events::toString);
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }
}
