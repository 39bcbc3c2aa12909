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
 * Detects restarts of servers that publish no start time: connects and closes at once. A server that refuses connections and accepts
 * them again has restarted. A connect timeout is no sign of a restart and is not reported.
 */
final class ConnectionProber {

  private static final int CONNECT_MILLIS = 500;
  private static final int MAX_PROBES = 64;

  private final Bootstrap bootstrap;
  private final Consumer<Observation> sink;
  private final Set<String> probing = new HashSet<>();

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

  void probe(Member member) {
    if (probing.size() >= MAX_PROBES || !probing.add(member.instance())) {
      return;
    }
    bootstrap.connect(DnsSdSource.toServer(member).address()).addListener((io.netty.channel.ChannelFuture f) -> {
      probing.remove(member.instance());
      if (f.isSuccess()) {
        f.channel().close();
        sink.accept(new Observation.ConnectionProbe(member.instance(), true));
      } else if (f.cause() instanceof ConnectException && !(f.cause() instanceof io.netty.channel.ConnectTimeoutException)) {
        sink.accept(new Observation.ConnectionProbe(member.instance(), false));
      }
    });
  }
}
