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
 * Calls a processor as a proxy does: headers, a verdict, the answer's head, the end. In an open loop the latency of a verdict
 * runs from the call's intended start, so that a server that stalls is charged for all that waits.
 */
final class ProcessorClient implements AutoCloseable {

  private static final int CONNECTIONS = 2;
  private static final long MOST_MICROS = TimeUnit.SECONDS.toMicros(60);

  /** What came of a run; times in microseconds. */
  record Result(long calls, long decided, long destinations, long lost, double seconds, Histogram verdicts, Histogram lateness) {
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

  /** A run in hand. */
  private static final class Run {
    final AtomicLong started = new AtomicLong();
    final AtomicLong decided = new AtomicLong();
    final AtomicLong destinations = new AtomicLong();
    final AtomicLong ended = new AtomicLong();
    final ConcurrentHistogram verdicts = new ConcurrentHistogram(MOST_MICROS, 3);
    Runnable next = () -> { };
  }

  /** So many calls a second, at times drawn ahead (Poisson), for so long. */
  Result open(double rate, double seconds) throws InterruptedException {
    Run run = new Run();
    Histogram lateness = new Histogram(MOST_MICROS, 3);
    long start = System.nanoTime();
    double at = 0;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / rate;
      if (at >= seconds) {
        break;
      }
      long intended = start + (long) (at * 1e9);
      long left = intended - System.nanoTime();
      while (left > 0) {
        if (left > 200_000) {
          LockSupport.parkNanos(left - 100_000); // A sleep would be rounded up to whole milliseconds.
        } else {
          Thread.onSpinWait();
        }
        left = intended - System.nanoTime();
      }
      lateness.recordValue(Math.min(MOST_MICROS, -left / 1000));
      call(run, intended);
    }
    return finish(run, start, lateness);
  }

  /** So many calls at one time, each followed by the next, for so long: what the server can do at most. */
  Result closed(int atOnce, double seconds) throws InterruptedException {
    Run run = new Run();
    long start = System.nanoTime();
    long end = start + (long) (seconds * 1e9);
    run.next = () -> {
      if (System.nanoTime() < end) {
        call(run, System.nanoTime());
      }
    };
    for (int i = 0; i < atOnce; i++) {
      call(run, System.nanoTime());
    }
    TimeUnit.NANOSECONDS.sleep(end - System.nanoTime());
    return finish(run, start, new Histogram(MOST_MICROS, 3));
  }

  private static Result finish(Run run, long start, Histogram lateness) throws InterruptedException {
    double seconds = (System.nanoTime() - start) / 1e9;
    long decided = run.decided.get();
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (run.ended.get() < run.started.get() && System.nanoTime() < until) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    return new Result(run.started.get(), decided, run.destinations.get(), run.started.get() - run.decided.get(), seconds,
        run.verdicts, lateness);
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
        run.verdicts.recordValue(Math.max(0, Math.min(MOST_MICROS, (System.nanoTime() - intended) / 1000)));
        run.decided.incrementAndGet();
        if (reply.hasRequestHeaders()) {
          run.destinations.incrementAndGet();
          call.sendMessage(ANSWER);
        }
      }

      @Override
      public void onClose(Status status, Metadata trailers) {
        run.ended.incrementAndGet();
        run.next.run();
      }
    }, new Metadata());
    call.request(3);
    call.sendMessage(headers(id));
  }

  private static final ProcessingRequest ANSWER = ProcessingRequest.newBuilder().setResponseHeaders(HttpHeaders.newBuilder()
      .setEndOfStream(true).setHeaders(HeaderMap.newBuilder().addHeaders(header(":status", "200"))
          .addHeaders(header("content-type", "application/json")))).build();

  /** A request as proxies show it: what the processor reads among what it does not. */
  private static ProcessingRequest headers(long id) {
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
