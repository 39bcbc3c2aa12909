package cloverpulley.discovery;

import cloverpulley.Balancer.ListKind;
import cloverpulley.engine.Engine;
import cloverpulley.engine.ServerList;
import cloverpulley.wire.Fields;
import cloverpulley.wire.WireException;
import com.fasterxml.jackson.core.JsonFactory;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/** Asks discovery for the list of upstreams, once or as a watch on its changes, and says when that fails. */
public final class Discovery implements Engine.ListSource {

  private static final Logger LOG = Logger.getLogger(Discovery.class.getName());

  private static final String LIST = "/v1/servers";
  /**
   * After this long without a byte a watch has failed. Discovery writes a line every 2 s; what it should have told counts as told 6 s
   * later. Within those a silent watch has to be noticed, a successor that hangs as well, and the one after that answered.
   */
  private static final long SILENCE_MILLIS = 2750;
  /** A call that waits its turn is answered, or failed, 2 s after it came: its first byte has the time of a watch's. */
  private static final long TURN_MILLIS = SILENCE_MILLIS;
  /** An agent on the same machine answers at once, and a connection comes up in no more. Guards the 6 s from a successor that hangs too. */
  private static final long AT_ONCE_MILLIS = 1200;
  /** Silence is judged once more after what has come is read: it may have been this process that stood still. */
  private static final long LOOK_AGAIN_MILLIS = 50;
  /** The longest answer read: a list of thousands of upstreams. */
  private static final int MOST_BYTES = 1 << 20;

  private final Bootstrap bootstrap;
  private final LongSupplier revision;
  private final BiConsumer<ListKind, ServerList> news;
  private final JsonFactory json = new JsonFactory();
  private InetSocketAddress address;
  private final long firstMillis;
  private Stream watch;
  private Stream fetch;
  /** Whether a watch is wanted, also while none stands because the last one failed. */
  private boolean watching;
  private boolean failing;

  /** {@code revision} is the version of the list held; {@code news} is told of every answer, and of failures. */
  public Discovery(Bootstrap bootstrap, InetSocketAddress address, LongSupplier revision,
      BiConsumer<ListKind, ServerList> news) {
    this(bootstrap, address, false, revision, news);
  }

  /** The same; {@code agent} tells whether it is one on this machine, which answers at once, and not a service whose callers wait their turn. */
  public Discovery(Bootstrap bootstrap, InetSocketAddress address, boolean agent, LongSupplier revision,
      BiConsumer<ListKind, ServerList> news) {
    this.bootstrap = bootstrap;
    this.firstMillis = agent ? AT_ONCE_MILLIS : TURN_MILLIS;
    this.address = address;
    this.revision = revision;
    this.news = news;
  }

  /** Discovery has another address: what is watched is watched there from now on, and the old connection ends. */
  public void setAddress(InetSocketAddress to) {
    if (!to.equals(address)) {
      address = to;
      watch(watching);
      if (fetch != null && !fetch.over) {
        fetch(); // What the old address has still to say of it is old news.
      }
    }
  }

  /** From a watch's last word until a successor that does not come up is given up as well, without what passes before it is asked for. */
  static long replacedMillis() {
    return SILENCE_MILLIS + LOOK_AGAIN_MILLIS + AT_ONCE_MILLIS + LOOK_AGAIN_MILLIS;
  }

  @Override
  public void watch(boolean on) {
    watching = on;
    if (watch != null) {
      watch.stop();
      watch = null;
    }
    if (on) {
      watch = new Stream(LIST + "?follow=1&since=" + revision.getAsLong(), true);
      watch.open();
    }
  }

  @Override
  public void fetch() {
    if (fetch != null) {
      fetch.stop();
    }
    fetch = new Stream(LIST, false);
    fetch.open();
  }

  /** One call. */
  private final class Stream extends SimpleChannelInboundHandler<HttpObject> {

    private final String uri;
    private final boolean lasting;
    private final ObjectReader objects = new ObjectReader(MOST_BYTES);
    private Channel channel;
    private Future<?> check;
    private boolean over;

    Stream(String uri, boolean lasting) {
      this.uri = uri;
      this.lasting = lasting;
    }

    void open() {
      ChannelFuture connect = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
        @Override
        protected void initChannel(Channel made) {
          made.pipeline().addLast(new HttpClientCodec(), Stream.this);
        }
      }).connect(address);
      if (connect.isDone() && !connect.isSuccess()) {
        // Guards the list from a call without even a socket: it would be told of on another thread, and its channel can't be closed.
        bootstrap.config().group().next().execute(() -> fail("can't connect: " + connect.cause()));
        return;
      }
      channel = connect.channel();
      within(AT_ONCE_MILLIS, "can't connect in time");
      connect.addListener(f -> {
        if (over) {
          channel.close(); // It was stopped while it came up.
        } else if (f.isSuccess()) {
          within(firstMillis, "no answer");
          HttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
          request.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
          channel.writeAndFlush(request);
        } else {
          fail("can't connect");
        }
      });
    }

    void stop() {
      over = true;
      if (channel != null) {
        check.cancel(false);
        channel.close();
      }
    }

    private void fail(String why) {
      if (!over) {
        stop();
        if (!failing) {
          LOG.warning("discovery fails: " + why);
          failing = true;
        }
        news.accept(ListKind.FAILED, ServerList.EMPTY);
      }
    }

    /** Guards against a call that is dead without a word, or never comes to an end: TCP alone would never tell. */
    private void within(long millis, String otherwise) {
      if (check != null) {
        check.cancel(false);
      }
      ScheduledExecutorService loop = bootstrap.config().group().next();
      check = loop.schedule(() -> {
        check = loop.schedule(() -> fail(otherwise), LOOK_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
      }, millis, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
      if (message instanceof HttpResponse response && !response.status().equals(HttpResponseStatus.OK)) {
        fail("status " + response.status().code());
      } else if (!message.decoderResult().isSuccess()) {
        fail("malformed answer");
      } else if (message instanceof HttpResponse) {
        within(SILENCE_MILLIS, "silent"); // A watch on which nothing has changed says nothing else for 2 s.
      } else if (message instanceof HttpContent content) {
        read(content.content());
        if (message instanceof LastHttpContent) {
          end();
        }
      }
    }

    private void read(ByteBuf bytes) {
      boolean inside = objects.isInside();
      while (!over && bytes.isReadable()) {
        String object;
        try {
          object = objects.add(bytes.readByte());
        } catch (WireException e) {
          fail(e.getMessage());
          return;
        }
        if (object != null) {
          inside = false;
          tell(object);
        }
      }
      // Within an object its end alone counts as a word: a few bytes now and then would never come to one.
      if (!over && !(inside && objects.isInside())) {
        within(SILENCE_MILLIS, "silent");
      }
    }

    private void end() {
      if (!over && !lasting && objects.count() == 1 && !objects.isInside()) {
        stop();
      }
      fail(lasting ? "watch ended" : "no list, or more than one");
    }

    private void tell(String text) {
      ServerList list;
      try {
        list = ListDecoder.list(Fields.parse(json, "list", text));
      } catch (IOException | WireException e) {
        fail(e.getMessage());
        return;
      }
      if (failing) {
        LOG.info("discovery answers again");
        failing = false;
      }
      news.accept(list.complete() ? ListKind.FULL : ListKind.DELTA, list);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      fail("connection lost");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      fail(cause.toString());
    }
  }
}
