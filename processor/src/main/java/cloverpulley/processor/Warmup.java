package cloverpulley.processor;

import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.State;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.ServerList.Server;
import cloverpulley.extproc.ExtProc.HeaderMap;
import cloverpulley.extproc.ExtProc.HeaderValue;
import cloverpulley.extproc.ExtProc.HttpHeaders;
import cloverpulley.extproc.ExtProc.ProcessingRequest;
import cloverpulley.extproc.ExtProc.ProcessingResponse;
import cloverpulley.extproc.ExternalProcessor;
import cloverpulley.fleet.FleetSource;
import com.google.protobuf.ByteString;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Logger;
import java.util.stream.IntStream;

/**
 * Sends calls to a temporary processor on loopback before the real one listens. A process whose classes are not loaded yet takes half a
 * second for its first call, which would exceed the callers' time-out. Bounded in calls and in time; leaves no state behind.
 */
public final class Warmup {

  private static final Logger LOG = Logger.getLogger(Warmup.class.getName());

  private static final int CONCURRENCY = 8;
  private static final int UPSTREAMS = 4;
  private static final long MAX_MILLIS = 5000;

  private Warmup() {}

  /** Makes {@code calls} calls and returns how many of them were decided. */
  public static int run(ProcessorConfig config, Settings settings, int calls) throws IOException {
    if (calls == 0) {
      return 0;
    }
    ServerList list = new ServerList(0, true, IntStream.range(0, UPSTREAMS).mapToObj(i -> new Server("warm-up-" + i,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1 + i), settings.zone(), 0, State.READY, 1, 0)).toList());
    AtomicInteger decidedCalls = new AtomicInteger();
    try (ProcessorServer server = ProcessorServer.start(config.forWarmup(), settings, new FleetSource(null, null, list), 1)) {
      ManagedChannel channel = NettyChannelBuilder.forAddress(server.address()).usePlaintext().directExecutor().build();
      CountDownLatch finished = new CountDownLatch(calls);
      AtomicInteger startedCalls = new AtomicInteger();
      for (int i = 0; i < Math.min(CONCURRENCY, calls); i++) {
        startCall(channel, config.headerNames(), settings, startedCalls, calls, finished, decidedCalls);
      }
      if (!finished.await(MAX_MILLIS, TimeUnit.MILLISECONDS)) {
        LOG.info("warm-up cut short after " + decidedCalls + " calls");
      }
      channel.shutdownNow();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return decidedCalls.get();
  }

  private static void startCall(ManagedChannel channel, ProcessorConfig.HeaderNames names, Settings settings, AtomicInteger startedCalls,
      int maxCalls, CountDownLatch finished, AtomicInteger decidedCalls) {
    int number = startedCalls.getAndIncrement();
    if (number >= maxCalls) {
      return;
    }
    RequestClass requestClass = settings.classes().get(number % settings.classes().size());
    String tenant = settings.tenants().isEmpty() ? "warm-up" : settings.tenants().get(0).name();
    ClientCall<ProcessingRequest, ProcessingResponse> call = channel.newCall(ExternalProcessor.PROCESS, CallOptions.DEFAULT);
    call.start(new ClientCall.Listener<>() {
      @Override
      public void onMessage(ProcessingResponse reply) {
        if (reply.hasRequestHeaders()) {
          call.sendMessage(ProcessingRequest.newBuilder().setResponseHeaders(HttpHeaders.newBuilder().setEndOfStream(true)
              .setHeaders(HeaderMap.newBuilder().addHeaders(header(":status", "200")))).build());
        }
        decidedCalls.addAndGet(reply.hasRequestHeaders() || reply.hasImmediateResponse() ? 1 : 0);
        call.request(1);
        if (reply.hasResponseHeaders()) {
          call.halfClose();
        }
      }

      @Override
      public void onClose(Status status, Metadata trailers) {
        finished.countDown();
        startCall(channel, names, settings, startedCalls, maxCalls, finished, decidedCalls);
      }
    }, new Metadata());
    call.request(1);
    HeaderMap.Builder headers = HeaderMap.newBuilder().addHeaders(header(":method", "GET")).addHeaders(header(":path", "/"))
        .addHeaders(header(names.id().get(0), "warm-up-" + number)).addHeaders(header(names.className(), requestClass.name()))
        .addHeaders(header(names.tenant(), tenant)).addHeaders(header(names.attemptCount(), "1"))
        .addHeaders(header(names.idempotencyKey(), "k" + number)).addHeaders(header(names.hint(), "10000"));
    call.sendMessage(ProcessingRequest.newBuilder()
        .setRequestHeaders(HttpHeaders.newBuilder().setHeaders(headers).setEndOfStream(true)).build());
  }

  private static HeaderValue header(String name, String value) {
    return HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value)).build();
  }
}
