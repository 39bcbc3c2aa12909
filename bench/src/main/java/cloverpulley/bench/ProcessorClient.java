package cloverpulley.bench;

import cloverpulley.extproc.ExtProc.HeaderMap;
import cloverpulley.extproc.ExtProc.HeaderValue;
import cloverpulley.extproc.ExtProc.HttpHeaders;
import cloverpulley.extproc.ExtProc.ProcessingRequest;
import cloverpulley.extproc.ExtProc.ProcessingResponse;
import cloverpulley.extproc.ExternalProcessor;
import com.google.protobuf.ByteString;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Calls a processor as a proxy does: sends the request headers, receives a verdict, sends the response headers and half-closes. In an open
 * loop the latency of a verdict counts from the intended start of the call, so that a stall is charged to every call that waits in it.
 */
final class ProcessorClient implements AutoCloseable {

  private static final int CONNECTIONS = 2;
  private static final long MAX_MICROS = TimeUnit.SECONDS.toMicros(60);

  /** The result of a run; times in microseconds. */
  record Result(long calls, long decided, long destinations, long lost, double seconds, Histogram verdictMicros, Histogram lateness) {
    double rate() {
      return decided / seconds;
    }
  }

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final ManagedChannel[] channels = new ManagedChannel[CONNECTIONS];
  private final SplittableRandom random;
  private final AtomicLong ids = new AtomicLong();

  ProcessorClient(int port, long seed) {
    random = new SplittableRandom(seed);
    for (int i = 0; i < CONNECTIONS; i++) {
      channels[i] = NettyChannelBuilder.forAddress("127.0.0.1", port).eventLoopGroup(group).channelType(NioSocketChannel.class)
          .directExecutor().usePlaintext().build();
    }
  }

  /** Counters of a run in progress. */
  private static final class Run {
    final AtomicLong started = new AtomicLong();
    final AtomicLong decided = new AtomicLong();
    final AtomicLong destinations = new AtomicLong();
    final AtomicLong ended = new AtomicLong();
    final ConcurrentHistogram verdictMicros = new ConcurrentHistogram(MAX_MICROS, 3);
    Runnable onCallEnd = () -> { };
  }

  /** Open loop: starts calls at this rate per second, at Poisson arrival times that do not depend on the responses. */
  Result runOpenLoop(double rate, double seconds) throws InterruptedException {
    Run run = new Run();
    Histogram lateness = new Histogram(MAX_MICROS, 3);
    long start = System.nanoTime();
    double offsetSeconds = 0;
    while (true) {
      offsetSeconds += -Math.log(1 - random.nextDouble()) / rate;
      if (offsetSeconds >= seconds) {
        break;
      }
      long intended = start + (long) (offsetSeconds * 1e9);
      long remainingNanos = intended - System.nanoTime();
      while (remainingNanos > 0) {
        if (remainingNanos > 200_000) {
          LockSupport.parkNanos(remainingNanos - 100_000); // A sleep would be rounded up to whole milliseconds.
        } else {
          Thread.onSpinWait();
        }
        remainingNanos = intended - System.nanoTime();
      }
      lateness.recordValue(Math.min(MAX_MICROS, -remainingNanos / 1000));
      call(run, intended);
    }
    return awaitCompletion(run, start, lateness);
  }

  /** Closed loop: keeps this many calls in flight, each followed by the next, which measures the highest throughput of the server. */
  Result runClosedLoop(int concurrency, double seconds) throws InterruptedException {
    Run run = new Run();
    long start = System.nanoTime();
    long end = start + (long) (seconds * 1e9);
    run.onCallEnd = () -> {
      if (System.nanoTime() < end) {
        call(run, System.nanoTime());
      }
    };
    for (int i = 0; i < concurrency; i++) {
      call(run, System.nanoTime());
    }
    TimeUnit.NANOSECONDS.sleep(end - System.nanoTime());
    return awaitCompletion(run, start, new Histogram(MAX_MICROS, 3));
  }

  private static Result awaitCompletion(Run run, long start, Histogram lateness) throws InterruptedException {
    double seconds = (System.nanoTime() - start) / 1e9;
    long decided = run.decided.get();
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (run.ended.get() < run.started.get() && System.nanoTime() < until) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    return new Result(run.started.get(), decided, run.destinations.get(), run.started.get() - run.decided.get(), seconds,
        run.verdictMicros, lateness);
  }

  private void call(Run run, long intended) {
    run.started.incrementAndGet();
    long id = ids.getAndIncrement();
    ClientCall<ProcessingRequest, ProcessingResponse> call =
        channels[(int) (id % CONNECTIONS)].newCall(ExternalProcessor.PROCESS, CallOptions.DEFAULT);
    call.start(new ClientCall.Listener<>() {
      @Override
      public void onMessage(ProcessingResponse reply) {
        if (reply.hasResponseHeaders()) {
          call.halfClose();
          return;
        }
        run.verdictMicros.recordValue(Math.max(0, Math.min(MAX_MICROS, (System.nanoTime() - intended) / 1000)));
        run.decided.incrementAndGet();
        if (reply.hasRequestHeaders()) {
          run.destinations.incrementAndGet();
          call.sendMessage(RESPONSE_HEADERS);
        }
      }

      @Override
      public void onClose(Status status, Metadata trailers) {
        run.ended.incrementAndGet();
        run.onCallEnd.run();
      }
    }, new Metadata());
    call.request(3);
    call.sendMessage(requestHeaders(id));
  }

  private static final ProcessingRequest RESPONSE_HEADERS = ProcessingRequest.newBuilder().setResponseHeaders(HttpHeaders.newBuilder()
      .setEndOfStream(true).setHeaders(HeaderMap.newBuilder().addHeaders(header(":status", "200"))
          .addHeaders(header("content-type", "application/json")))).build();

  /** Request headers as a proxy sends them: those that the processor reads among others that it ignores. */
  private static ProcessingRequest requestHeaders(long id) {
    boolean keyed = id % 2 == 0;
    HeaderMap.Builder map = HeaderMap.newBuilder().addHeaders(header(":method", keyed ? "POST" : "GET"))
        .addHeaders(header(":path", "/api?q=" + id)).addHeaders(header(":authority", "backend.local"))
        .addHeaders(header("user-agent", "partner/1.0")).addHeaders(header("accept", "application/json"))
        .addHeaders(header("x-request-id", "7f3a9c21e0b4d655" + id)).addHeaders(header("x-envoy-attempt-count", "1"))
        .addHeaders(header("x-qos", keyed ? "quote-issue" : "rate-lookup")).addHeaders(header("x-customer", "steppe-auto"))
        .addHeaders(header("cookie", "sid=k" + id % 1000)).addHeaders(header("x-size-hint", "20000"))
        .addHeaders(header("x-expires-in-ms", "2000"));
    if (keyed) {
      map.addHeaders(header("idempotency-key", "5c0f6e1a2b3d4c59" + id));
    }
    return ProcessingRequest.newBuilder().setRequestHeaders(HttpHeaders.newBuilder().setHeaders(map)).build();
  }

  private static HeaderValue header(String name, String value) {
    return HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value)).build();
  }

  @Override
  public void close() {
    for (ManagedChannel channel : channels) {
      channel.shutdownNow();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
