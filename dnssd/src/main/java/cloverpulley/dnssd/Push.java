package cloverpulley.dnssd;

import cloverpulley.dns.wire.MalformedException;
import cloverpulley.dns.wire.Message;
import cloverpulley.dnssd.DnsSdConfig.Browse;
import cloverpulley.dnssd.DnsSdConfig.PushMode;
import cloverpulley.dnssd.DnsSdConfig.ResolverConfig;
import cloverpulley.membership.Observation;
import cloverpulley.membership.RefreshScheduler;
import cloverpulley.membership.TextKeys;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.util.concurrent.Future;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import javax.net.ssl.SSLException;
import org.xbill.DNS.Type;

/**
 * A DNS push session with one resolver (RFC 8765). Changes that withdraw a server are reported at once, before any query: an instance removed
 * from the list, a TXT record that marks it as draining. All other changes are hints, and the affected records are queried. A server without
 * push support is retried with back-off, and polled as usual meanwhile.
 */
final class Push implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(Push.class.getName());

  private static final String SESSION = "session";
  private static final long TICK_MILLIS = 20;
  private static final int CONNECT_MILLIS = 2000;
  private static final long BACK_OFF_MILLIS = 500;
  private static final long MAX_BACK_OFF_MILLIS = 60_000;
  /** The keepalive interval assumed until the server sends one (RFC 8490, 6.2). */
  private static final long KEEPALIVE_MILLIS = 15_000;
  private static final long MIN_KEEPALIVE_MILLIS = 10;
  /** A session on which a request is not answered within this time is closed. */
  private static final long RESPONSE_TIMEOUT_MILLIS = 5000;
  private static final int MAX_PENDING = 256;
  private static final int TYPE_ANY = 255;

  private record Subscription(String name, int type) {}

  private final EventLoop loop;
  private final int resolverIndex;
  private final ResolverConfig resolver;
  private final DnsSdConfig config;
  private final Reader reader;
  private final Consumer<Observation> sink;
  private final LongSupplier clock;
  private final RefreshScheduler<String> sessions;
  private final Future<?> tick;
  private final Map<Integer, Subscription> pending = new HashMap<>();
  private final Map<Subscription, Integer> subscribed = new HashMap<>();
  private final Set<Subscription> rejected = new HashSet<>();
  private Channel channel;
  private boolean connecting;
  private boolean established;
  private int lastMessageId = 1;
  private long lastWriteAt;
  private long lastReadAt;
  private long keepaliveMillis = KEEPALIVE_MILLIS;
  private boolean closed;

  Push(EventLoop loop, int resolverIndex, ResolverConfig resolver, DnsSdConfig config, Reader reader, Consumer<Observation> sink,
      LongSupplier clock) {
    this.loop = loop;
    this.resolverIndex = resolverIndex;
    this.resolver = resolver;
    this.config = config;
    this.reader = reader;
    this.sink = sink;
    this.clock = clock;
    sessions = new RefreshScheduler<>(clock.getAsLong(), 1, Long.MAX_VALUE, BACK_OFF_MILLIS, MAX_BACK_OFF_MILLIS, resolverIndex);
    sessions.addIfAbsent(clock.getAsLong(), SESSION);
    tick = loop.scheduleWithFixedDelay(this::onTick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Whether the server has accepted at least one subscription. */
  boolean isEstablished() {
    return established;
  }

  private void onTick() {
    long now = clock.getAsLong();
    sessions.forEachDue(now, s -> connect());
    if (channel == null || connecting) {
      return;
    }
    if (!pending.isEmpty() && now - Math.max(lastReadAt, lastWriteAt) > RESPONSE_TIMEOUT_MILLIS) {
      endSession("no response in time");
      return;
    }
    subscribe();
    if (established && now - lastWriteAt >= keepaliveMillis) {
      write(Dso.message(nextMessageId(), Dso.KEEPALIVE, Dso.keepalive(KEEPALIVE_MILLIS, KEEPALIVE_MILLIS)), null);
    }
  }

  private int nextMessageId() {
    lastMessageId = lastMessageId == 0xFFFF ? 1 : lastMessageId + 1;
    return lastMessageId;
  }

  private void connect() {
    SslContext tls = null;
    try {
      tls = resolver.push() == PushMode.TLS ? SslContextBuilder.forClient().endpointIdentificationAlgorithm("HTTPS").build() : null;
    } catch (SSLException e) {
      LOG.warning("no push from " + resolver.pushAddress() + ": " + e.getMessage());
      sessions.failed(clock.getAsLong(), SESSION);
      return;
    }
    SslContext context = tls;
    connecting = true;
    new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS).handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel c) {
            if (context != null) {
              c.pipeline().addLast(context.newHandler(c.alloc(), resolver.pushName(), resolver.pushAddress().getPort()));
            }
            c.pipeline().addLast(new LengthFieldBasedFrameDecoder(Message.MAX_LENGTH + 2, 0, 2, 0, 2), new MessageHandler());
          }
        }).connect(resolver.pushAddress()).addListener((io.netty.channel.ChannelFuture f) -> {
          connecting = false;
          if (closed || !f.isSuccess()) {
            f.channel().close();
            sessions.failed(clock.getAsLong(), SESSION);
            return;
          }
          channel = f.channel();
          lastWriteAt = clock.getAsLong();
          lastReadAt = lastWriteAt;
          subscribe();
        });
  }

  /** Subscribes to the browses and the instances listed now, and unsubscribes from those no longer listed. */
  private void subscribe() {
    Set<Subscription> wanted = new HashSet<>();
    for (Browse b : config.browses()) {
      wanted.add(new Subscription(b.name(), Type.PTR));
      if (established) {
        reader.listed(b.name()).forEach(n -> wanted.add(new Subscription(n, TYPE_ANY)));
      }
    }
    for (Subscription s : Set.copyOf(subscribed.keySet())) {
      if (!wanted.contains(s)) {
        byte[] messageId = new byte[2];
        Message.put16(messageId, 0, subscribed.remove(s));
        write(Dso.message(0, Dso.UNSUBSCRIBE, messageId), null);
      }
    }
    rejected.retainAll(wanted);
    for (Subscription s : wanted) {
      if (pending.size() >= MAX_PENDING) {
        return;
      }
      if (!subscribed.containsKey(s) && !rejected.contains(s) && !pending.containsValue(s)) {
        int id = nextMessageId();
        if (!pending.containsKey(id) && !subscribed.containsValue(id)) {
          write(Dso.message(id, Dso.SUBSCRIBE, Dso.question(s.name, s.type)), s);
        }
      }
    }
  }

  private void write(byte[] message, Subscription subscription) {
    byte[] length = {(byte) (message.length >> 8), (byte) message.length};
    if (subscription != null) {
      pending.put(Message.get16(message, 0), subscription);
    }
    lastWriteAt = clock.getAsLong();
    channel.writeAndFlush(Unpooled.wrappedBuffer(length, message));
  }

  private void endSession(String reason) {
    if (channel == null) {
      return;
    }
    LOG.fine(() -> "push from " + resolver.pushAddress() + " ended: " + reason);
    Channel old = channel;
    channel = null;
    boolean wasEstablished = established;
    established = false;
    pending.clear();
    subscribed.clear();
    rejected.clear();
    old.close();
    if (!closed) {
      sessions.failed(clock.getAsLong(), SESSION);
      if (wasEstablished) {
        // Changes may have been missed: everything is queried at once.
        reader.zones().forEach(z -> reader.zoneChanged(clock.getAsLong(), z));
      }
    }
  }

  private final class MessageHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      if (context.channel() != channel) {
        return;
      }
      byte[] bytes = new byte[frame.readableBytes()];
      frame.readBytes(bytes);
      lastReadAt = clock.getAsLong();
      try {
        handleMessage(Dso.read(bytes));
      } catch (MalformedException e) {
        endSession(e.getMessage()); // RFC 8490, 5.4: a malformed message is fatal to the session.
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (context.channel() == channel) {
        endSession("closed");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  private void handleMessage(Dso.DsoMessage m) throws MalformedException {
    if (m.response()) {
      Subscription s = pending.remove(m.id());
      if (m.type() == Dso.KEEPALIVE) {
        handleKeepalive(m.value());
      }
      if (s != null && m.rcode() == 0) {
        subscribed.put(s, m.id());
        if (!established) {
          established = true;
          sessions.resetBackOff(SESSION);
          reader.zones().forEach(z -> reader.zoneChanged(clock.getAsLong(), z));
        }
      } else if (s != null) {
        rejected.add(s);
        if (!established) {
          endSession("subscription rejected, rcode " + m.rcode());
        }
      }
    } else if (m.type() == Dso.PUSH && m.id() == 0) {
      for (Dso.PushedRecord r : Dso.changes(m)) {
        handleChange(r);
      }
    } else if (m.type() == Dso.KEEPALIVE) {
      handleKeepalive(m.value());
    } else if (m.type() == Dso.RETRY_DELAY) {
      endSession("the server requested a retry delay");
    } else if (m.id() != 0) {
      write(Dso.answer(m.id(), Dso.DSOTYPENI), null);
    }
  }

  private void handleKeepalive(byte[] value) throws MalformedException {
    keepaliveMillis = Math.max(MIN_KEEPALIVE_MILLIS, Dso.get32(value, 4));
  }

  private void handleChange(Dso.PushedRecord r) {
    long now = clock.getAsLong();
    boolean browse = config.browses().stream().anyMatch(b -> b.name().equals(r.name()));
    if (browse && r.removed() && r.target() != null) {
      sink.accept(new Observation.Pushed(resolverIndex, r.name(), r.target(), false));
      reader.browseChanged(now, r.name());
    } else if (browse) {
      reader.browseChanged(now, r.name());
    } else {
      if (r.type() == Type.TXT && !r.removed() && reader.isListed(r.name())) {
        Map<String, String> pairs = TextKeys.pairs(r.strings());
        if (config.keys().parse(pairs).draining()) {
          sink.accept(new Observation.TextRecord(resolverIndex, r.name(), pairs));
        }
      }
      reader.instanceChanged(now, r.name());
      reader.targetChanged(now, r.name());
    }
  }

  @Override
  public void close() {
    closed = true;
    tick.cancel(false);
    if (channel != null) {
      channel.close();
    }
  }
}
