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

/** Fetches the list of upstreams from the discovery service, once or as a watch for changes, and reports failures. */
public final class Discovery implements Engine.ListSource {

  private static final Logger LOG = Logger.getLogger(Discovery.class.getName());

  private static final String LIST_PATH = "/v1/servers";
  /**
   * A watch that receives no byte for this long has failed. Discovery writes a line every 2 s, and a change counts as known 6 s after discovery
   * should have reported it. Those 6 s must suffice to detect a silent watch and a replacement that hangs, and to get an answer to the next one.
   */
  private static final long SILENCE_TIMEOUT_MILLIS = 2750;
  /** A service whose callers queue answers or fails a call within 2 s of its arrival, so the first byte gets the same time as a watch's bytes. */
  private static final long QUEUED_CALL_TIMEOUT_MILLIS = SILENCE_TIMEOUT_MILLIS;
  /** Timeout for connecting, and for an agent on the same machine, which answers at once. Keeps a replacement that hangs too within the 6 s. */
  private static final long SHORT_TIMEOUT_MILLIS = 1200;
  /** A timeout is confirmed after this delay, once pending input has been read: it may have been this process that was stalled. */
  private static final long RECHECK_MILLIS = 50;
  /** The longest JSON object read: enough for a list of thousands of upstreams. */
  private static final int MAX_OBJECT_BYTES = 1 << 20;

  private final Bootstrap bootstrap;
  private final LongSupplier revision;
  private final BiConsumer<ListKind, ServerList> listConsumer;
  private final JsonFactory json = new JsonFactory();
  private InetSocketAddress address;
  private final long firstByteTimeoutMillis;
  private Call watch;
  private Call fetch;
  /** Whether a watch is wanted, even while none is open because the last one failed. */
  private boolean watchWanted;
  /** Whether the last call failed: only the first failure in a row is logged. */
  private boolean failing;

  /** {@code revision} supplies the version of the current list; {@code listConsumer} receives each list and each failure. */
  public Discovery(Bootstrap bootstrap, InetSocketAddress address, LongSupplier revision,
      BiConsumer<ListKind, ServerList> listConsumer) {
    this(bootstrap, address, false, revision, listConsumer);
  }

  /** As above; {@code agent} is true for an agent on this machine, which answers at once, and false for a service whose callers queue. */
  public Discovery(Bootstrap bootstrap, InetSocketAddress address, boolean agent, LongSupplier revision,
      BiConsumer<ListKind, ServerList> listConsumer) {
    this.bootstrap = bootstrap;
    this.firstByteTimeoutMillis = agent ? SHORT_TIMEOUT_MILLIS : QUEUED_CALL_TIMEOUT_MILLIS;
    this.address = address;
    this.revision = revision;
    this.listConsumer = listConsumer;
  }

  /** Moves to a new address of the discovery service: a watch is opened there and the old connection is closed. */
  public void setAddress(InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      address = newAddress;
      watch(watchWanted);
      if (fetch != null && !fetch.closed) {
        fetch(); // An answer from the old address would be out of date.
      }
    }
  }

  /** The longest time from a watch's last byte until a replacement that hangs is abandoned too, without the time until the module asks for it. */
  static long maxReplacementMillis() {
    return SILENCE_TIMEOUT_MILLIS + RECHECK_MILLIS + SHORT_TIMEOUT_MILLIS + RECHECK_MILLIS;
  }

  @Override
  public void watch(boolean on) {
    watchWanted = on;
    if (watch != null) {
      watch.stop();
      watch = null;
    }
    if (on) {
      watch = new Call(LIST_PATH + "?follow=1&since=" + revision.getAsLong(), true);
      watch.open();
    }
  }

  @Override
  public void fetch() {
    if (fetch != null) {
      fetch.stop();
    }
    fetch = new Call(LIST_PATH, false);
    fetch.open();
  }

  /** One HTTP call to the discovery service. */
  private final class Call extends SimpleChannelInboundHandler<HttpObject> {

    private final String uri;
    private final boolean isWatch;
    private final ObjectReader objects = new ObjectReader(MAX_OBJECT_BYTES);
    private Channel channel;
    private Future<?> timeout;
    private boolean closed;

    Call(String uri, boolean isWatch) {
      this.uri = uri;
      this.isWatch = isWatch;
    }

    void open() {
      ChannelFuture connect = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
        @Override
        protected void initChannel(Channel created) {
          created.pipeline().addLast(new HttpClientCodec(), Call.this);
        }
      }).connect(address);
      if (connect.isDone() && !connect.isSuccess()) {
        // No socket could be created: the listener would run on another thread, and the channel can't be closed.
        bootstrap.config().group().next().execute(() -> fail("can't connect: " + connect.cause()));
        return;
      }
      channel = connect.channel();
      restartTimeout(SHORT_TIMEOUT_MILLIS, "can't connect in time");
      connect.addListener(f -> {
        if (closed) {
          channel.close(); // The call was stopped while it was connecting.
        } else if (f.isSuccess()) {
          restartTimeout(firstByteTimeoutMillis, "no answer");
          HttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
          request.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
          channel.writeAndFlush(request);
        } else {
          fail("can't connect");
        }
      });
    }

    void stop() {
      closed = true;
      if (channel != null) {
        timeout.cancel(false);
        channel.close();
      }
    }

    private void fail(String reason) {
      if (!closed) {
        stop();
        if (!failing) {
          LOG.warning("discovery fails: " + reason);
          failing = true;
        }
        listConsumer.accept(ListKind.FAILED, ServerList.EMPTY);
      }
    }

    /** Guards against a peer that hangs or never finishes its answer, which TCP alone would not report. */
    private void restartTimeout(long millis, String reason) {
      if (timeout != null) {
        timeout.cancel(false);
      }
      ScheduledExecutorService loop = bootstrap.config().group().next();
      timeout = loop.schedule(() -> {
        timeout = loop.schedule(() -> fail(reason), RECHECK_MILLIS, TimeUnit.MILLISECONDS);
      }, millis, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
      if (message instanceof HttpResponse response && !response.status().equals(HttpResponseStatus.OK)) {
        fail("status " + response.status().code());
      } else if (!message.decoderResult().isSuccess()) {
        fail("malformed answer");
      } else if (message instanceof HttpResponse) {
        restartTimeout(SILENCE_TIMEOUT_MILLIS, "silent"); // A watch without changes sends nothing else for 2 s.
      } else if (message instanceof HttpContent content) {
        read(content.content());
        if (message instanceof LastHttpContent) {
          end();
        }
      }
    }

    private void read(ByteBuf bytes) {
      boolean insideObject = objects.isInside();
      while (!closed && bytes.isReadable()) {
        String object;
        try {
          object = objects.add(bytes.readByte());
        } catch (WireException e) {
          fail(e.getMessage());
          return;
        }
        if (object != null) {
          insideObject = false;
          deliver(object);
        }
      }
      // Within an object only its end restarts the timeout: an object that trickles in a few bytes at a time might never end.
      if (!closed && !(insideObject && objects.isInside())) {
        restartTimeout(SILENCE_TIMEOUT_MILLIS, "silent");
      }
    }

    private void end() {
      if (!closed && !isWatch && objects.count() == 1 && !objects.isInside()) {
        stop();
      }
      fail(isWatch ? "watch ended" : "no list, or more than one");
    }

    private void deliver(String text) {
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
      listConsumer.accept(list.complete() ? ListKind.FULL : ListKind.DELTA, list);
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
