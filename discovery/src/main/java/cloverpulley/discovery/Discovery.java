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
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/** Asks discovery for the list of upstreams, once or as a watch on its changes, and says when that fails. */
public final class Discovery implements Engine.ListSource {

  private static final Logger LOG = Logger.getLogger(Discovery.class.getName());

  private static final String LIST = "/v1/servers";
  /**
   * After this long without a byte a call has failed. Discovery writes a line every 2 s; what it should have told counts
   * as told 6 s later, so that a watch that is silently dead has to be noticed, and replaced, before that.
   */
  private static final long SILENCE_MILLIS = 4500;
  private static final long SILENCE_CHECK_MILLIS = 250;
  /** The longest answer read: a list of thousands of upstreams. */
  private static final int MOST_BYTES = 1 << 20;

  private final Bootstrap bootstrap;
  private final LongSupplier revision;
  private final BiConsumer<ListKind, ServerList> news;
  private final JsonFactory json = new JsonFactory();
  private InetSocketAddress address;
  private Stream watch;
  /** Whether a watch is wanted, also while none stands because the last one failed. */
  private boolean watching;
  private boolean failing;

  /** {@code revision} is the version of the list held; {@code news} is told of every answer, and of failures. */
  public Discovery(Bootstrap bootstrap, InetSocketAddress address, LongSupplier revision,
      BiConsumer<ListKind, ServerList> news) {
    this.bootstrap = bootstrap;
    this.address = address;
    this.revision = revision;
    this.news = news;
  }

  /** Discovery has another address: what is watched is watched there from now on, and the old connection ends. */
  public void move(InetSocketAddress to) {
    if (!to.equals(address)) {
      address = to;
      watch(watching);
    }
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
    new Stream(LIST, false).open();
  }

  /** One call. */
  private final class Stream extends SimpleChannelInboundHandler<HttpObject> {

    private final String uri;
    private final boolean lasting;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private Channel channel;
    private long heardAt = System.nanoTime();
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
      channel = connect.channel();
      check = bootstrap.config().group().next().scheduleWithFixedDelay(this::checkSilence, SILENCE_CHECK_MILLIS,
          SILENCE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
      connect.addListener(f -> {
        if (f.isSuccess()) {
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
      check.cancel(false);
      channel.close();
    }

    private void fail(String why) {
      if (!over) {
        stop();
        if (!failing) {
          LOG.warning("discovery fails: " + why);
          failing = true;
        }
        news.accept(ListKind.FAILED, ServerList.NONE);
      }
    }

    /** Guards against a watch that is dead without a word: TCP alone would never tell. */
    private void checkSilence() {
      if (System.nanoTime() - heardAt > TimeUnit.MILLISECONDS.toNanos(SILENCE_MILLIS)) {
        fail("silent");
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
      heardAt = System.nanoTime();
      if (message instanceof HttpResponse response && !response.status().equals(HttpResponseStatus.OK)) {
        fail("status " + response.status().code());
      } else if (!message.decoderResult().isSuccess()) {
        fail("malformed answer");
      } else if (message instanceof HttpContent content) {
        read(content.content());
        if (message instanceof LastHttpContent) {
          end();
        }
      }
    }

    private void read(ByteBuf bytes) {
      while (!over && bytes.isReadable()) {
        byte b = bytes.readByte();
        if (b != '\n' || !lasting) {
          line.write(b);
          if (line.size() > MOST_BYTES) {
            fail("answer too long");
          }
        } else {
          tell();
        }
      }
    }

    private void end() {
      if (!over && !lasting) {
        tell();
        stop();
      }
      fail("watch ended");
    }

    private void tell() {
      String text = line.toString(StandardCharsets.UTF_8).trim();
      line.reset();
      if (text.isEmpty()) {
        return;
      }
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
