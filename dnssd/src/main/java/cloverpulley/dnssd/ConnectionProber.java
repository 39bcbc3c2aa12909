package cloverpulley.dnssd;

import cloverpulley.membership.Member;
import cloverpulley.membership.Observation;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Connects to servers that don't say when they started, and closes at once: one that refuses and is back has started anew. One that
 * is silent says nothing of a start, and is not this module's concern.
 */
final class ConnectionProber {

  private static final int CONNECT_MILLIS = 500;
  private static final int MOST_OPEN = 64;

  private final Bootstrap bootstrap;
  private final Consumer<Observation> sink;
  private final Set<String> open = new HashSet<>();

  ConnectionProber(EventLoop loop, Consumer<Observation> sink) {
    this.sink = sink;
    bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS).handler(new ChannelInboundHandlerAdapter() {
          @Override
          public boolean isSharable() {
            return true;
          }
        });
  }

  void look(Member m) {
    if (open.size() >= MOST_OPEN || !open.add(m.instance())) {
      return;
    }
    bootstrap.connect(DnsSdSource.server(m).address()).addListener((io.netty.channel.ChannelFuture f) -> {
      open.remove(m.instance());
      if (f.isSuccess()) {
        f.channel().close();
        sink.accept(new Observation.ConnectionProbe(m.instance(), true));
      } else if (f.cause() instanceof ConnectException && !(f.cause() instanceof io.netty.channel.ConnectTimeoutException)) {
        sink.accept(new Observation.ConnectionProbe(m.instance(), false));
      }
    });
  }
}
