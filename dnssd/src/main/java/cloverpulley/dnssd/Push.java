package cloverpulley.dnssd;

import cloverpulley.dns.wire.MalformedException;
import cloverpulley.dns.wire.Message;
import cloverpulley.dnssd.DnsSdConfig.Browse;
import cloverpulley.dnssd.DnsSdConfig.PushMode;
import cloverpulley.dnssd.DnsSdConfig.ResolverAddress;
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
 * A push session with one resolver (RFC 8765). What it takes away is handed on as it is: an instance that leaves the list, a text
 * that says that it drains. All else is a hint: what it speaks of is asked for. A server that does not speak it is asked again
 * after a while, and polled meanwhile as if there were none.
 */
final class Push implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(Push.class.getName());

  private static final String SESSION = "session";
  private static final long TICK_MILLIS = 20;
  private static final int CONNECT_MILLIS = 2000;
  private static final long BACK_OFF_MILLIS = 500;
  private static final long MOST_BACK_OFF_MILLIS = 60_000;
  /** What a server that says nothing of it is taken to want (RFC 8490, 6.2). */
  private static final long KEEPALIVE_MILLIS = 15_000;
  private static final long LEAST_KEEPALIVE_MILLIS = 10;
  /** A server that does not answer a request within this has gone silent. */
  private static final long ANSWER_MILLIS = 5000;
  private static final int MOST_PENDING = 256;
  private static final int ANY = 255;

  private record Subject(String name, int type) {}

  private final EventLoop loop;
  private final int number;
  private final ResolverAddress resolver;
  private final DnsSdConfig config;
  private final Reader reader;
  private final Consumer<Observation> sink;
  private final LongSupplier clock;
  private final RefreshScheduler<String> sessions;
  private final Future<?> tick;
  private final Map<Integer, Subject> pending = new HashMap<>();
  private final Map<Subject, Integer> subscribed = new HashMap<>();
  private final Set<Subject> refused = new HashSet<>();
  private Channel channel;
  private boolean connecting;
  private boolean established;
  private int nextId = 1;
  private long wroteAt;
  private long heardAt;
  private long keepaliveMillis = KEEPALIVE_MILLIS;
  private boolean closed;

  Push(EventLoop loop, int number, ResolverAddress resolver, DnsSdConfig config, Reader reader, Consumer<Observation> sink,
      LongSupplier clock) {
    this.loop = loop;
    this.number = number;
    this.resolver = resolver;
    this.config = config;
    this.reader = reader;
    this.sink = sink;
    this.clock = clock;
    sessions = new RefreshScheduler<>(clock.getAsLong(), 1, Long.MAX_VALUE, BACK_OFF_MILLIS, MOST_BACK_OFF_MILLIS, number);
    sessions.addIfAbsent(clock.getAsLong(), SESSION);
    tick = loop.scheduleWithFixedDelay(this::turn, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Whether the server has agreed to push at least one list. */
  boolean isEstablished() {
    return established;
  }

  private void turn() {
    long now = clock.getAsLong();
    sessions.forEachDue(now, s -> connect());
    if (channel == null || connecting) {
      return;
    }
    if (!pending.isEmpty() && now - Math.max(heardAt, wroteAt) > ANSWER_MILLIS) {
      over("no answer");
      return;
    }
    subscribe();
    if (established && now - wroteAt >= keepaliveMillis) {
      write(Dso.message(id(), Dso.KEEPALIVE, Dso.keepalive(KEEPALIVE_MILLIS, KEEPALIVE_MILLIS)), null);
    }
  }

  private int id() {
    nextId = nextId == 0xFFFF ? 1 : nextId + 1;
    return nextId;
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
            c.pipeline().addLast(new LengthFieldBasedFrameDecoder(Message.MAX_LENGTH + 2, 0, 2, 0, 2), new Incoming());
          }
        }).connect(resolver.pushAddress()).addListener((io.netty.channel.ChannelFuture f) -> {
          connecting = false;
          if (closed || !f.isSuccess()) {
            f.channel().close();
            sessions.failed(clock.getAsLong(), SESSION);
            return;
          }
          channel = f.channel();
          wroteAt = clock.getAsLong();
          heardAt = wroteAt;
          subscribe();
        });
  }

  /** Subscribes to what is listed now, and ends what isn't listed any more. */
  private void subscribe() {
    Set<Subject> wanted = new HashSet<>();
    for (Browse b : config.browses()) {
      wanted.add(new Subject(b.name(), Type.PTR));
      if (established) {
        reader.listed(b.name()).forEach(n -> wanted.add(new Subject(n, ANY)));
      }
    }
    for (Subject s : Set.copyOf(subscribed.keySet())) {
      if (!wanted.contains(s)) {
        byte[] which = new byte[2];
        Message.put16(which, 0, subscribed.remove(s));
        write(Dso.message(0, Dso.UNSUBSCRIBE, which), null);
      }
    }
    refused.retainAll(wanted);
    for (Subject s : wanted) {
      if (pending.size() >= MOST_PENDING) {
        return;
      }
      if (!subscribed.containsKey(s) && !refused.contains(s) && !pending.containsValue(s)) {
        int id = id();
        if (!pending.containsKey(id) && !subscribed.containsValue(id)) {
          write(Dso.message(id, Dso.SUBSCRIBE, Dso.question(s.name, s.type)), s);
        }
      }
    }
  }

  private void write(byte[] message, Subject subject) {
    byte[] length = {(byte) (message.length >> 8), (byte) message.length};
    if (subject != null) {
      pending.put(Message.get16(message, 0), subject);
    }
    wroteAt = clock.getAsLong();
    channel.writeAndFlush(Unpooled.wrappedBuffer(length, message));
  }

  private void over(String why) {
    if (channel == null) {
      return;
    }
    LOG.fine(() -> "push from " + resolver.pushAddress() + " is over: " + why);
    Channel old = channel;
    channel = null;
    boolean was = established;
    established = false;
    pending.clear();
    subscribed.clear();
    refused.clear();
    old.close();
    if (!closed) {
      sessions.failed(clock.getAsLong(), SESSION);
      if (was) {
        // What changed since is not known: asked for at once.
        reader.zones().forEach(z -> reader.changed(clock.getAsLong(), z));
      }
    }
  }

  private final class Incoming extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      if (context.channel() != channel) {
        return;
      }
      byte[] octets = new byte[frame.readableBytes()];
      frame.readBytes(octets);
      heardAt = clock.getAsLong();
      try {
        read(Dso.read(octets));
      } catch (MalformedException e) {
        over(e.getMessage()); // RFC 8490, 5.4: a session with an error in it is aborted.
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (context.channel() == channel) {
        over("closed");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  private void read(Dso.Read m) throws MalformedException {
    if (m.response()) {
      Subject s = pending.remove(m.id());
      if (m.type() == Dso.KEEPALIVE) {
        keepalive(m.value());
      }
      if (s != null && m.rcode() == 0) {
        subscribed.put(s, m.id());
        if (!established) {
          established = true;
          sessions.resetBackOff(SESSION);
          reader.zones().forEach(z -> reader.changed(clock.getAsLong(), z));
        }
      } else if (s != null) {
        refused.add(s);
        if (!established) {
          over("the server does not push: " + m.rcode());
        }
      }
    } else if (m.type() == Dso.PUSH && m.id() == 0) {
      for (Dso.PushedRecord r : Dso.changes(m)) {
        pushed(r);
      }
    } else if (m.type() == Dso.KEEPALIVE) {
      keepalive(m.value());
    } else if (m.type() == Dso.RETRY_DELAY) {
      over("the server wants to be left alone");
    } else if (m.id() != 0) {
      write(Dso.answer(m.id(), Dso.DSOTYPENI), null);
    }
  }

  private void keepalive(byte[] value) throws MalformedException {
    keepaliveMillis = Math.max(LEAST_KEEPALIVE_MILLIS, Dso.get32(value, 4));
  }

  private void pushed(Dso.PushedRecord r) {
    long now = clock.getAsLong();
    boolean browse = config.browses().stream().anyMatch(b -> b.name().equals(r.name()));
    if (browse && r.removed() && r.target() != null) {
      sink.accept(new Observation.Pushed(number, r.name(), r.target(), false));
      reader.changedList(now, r.name());
    } else if (browse) {
      reader.changedList(now, r.name());
    } else {
      if (r.type() == Type.TXT && !r.removed() && reader.knows(r.name())) {
        Map<String, String> pairs = TextKeys.pairs(r.strings());
        if (config.keys().parse(pairs).draining()) {
          sink.accept(new Observation.TextRecord(number, r.name(), pairs));
        }
      }
      reader.changedInstance(now, r.name());
      reader.changedTarget(now, r.name());
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
