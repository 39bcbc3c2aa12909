package cloverpulley.load;

import cloverpulley.extproc.ExtProc.HeaderMap;
import cloverpulley.extproc.ExtProc.HeaderValue;
import cloverpulley.extproc.ExtProc.HeaderValueOption;
import cloverpulley.extproc.ExtProc.HttpHeaders;
import cloverpulley.extproc.ExtProc.ImmediateResponse;
import cloverpulley.extproc.ExtProc.ProcessingRequest;
import cloverpulley.extproc.ExtProc.ProcessingResponse;
import cloverpulley.extproc.ExternalProcessor;
import cloverpulley.load.Plan.Effect;
import cloverpulley.load.RequestGenerator.PlannedRequest;
import com.google.protobuf.ByteString;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Calls an external processor as a proxy does. The latency of a call is the time until the processor's decision. A call for which the
 * processor names a destination counts as served; the upstream's response headers (status 200) are sent right after it, so that the
 * processor learns the outcome of its choice.
 */
final class ExtProcDriver implements Driver {

  private static final int MAX_CHANNELS = 8;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final ProcessingRequest UPSTREAM_RESPONSE = ProcessingRequest.newBuilder().setResponseHeaders(HttpHeaders.newBuilder()
      .setEndOfStream(true).setHeaders(HeaderMap.newBuilder().addHeaders(header(":status", "200")))).build();

  private final Plan plan;
  private final EventLoop loop;
  private final ManagedChannel[] channels;
  private int next;

  ExtProcDriver(Plan plan, EventLoop loop) {
    this.plan = plan;
    this.loop = loop;
    channels = new ManagedChannel[Math.min(MAX_CHANNELS, plan.target().maxConnections())];
    for (int i = 0; i < channels.length; i++) {
      channels[i] = NettyChannelBuilder.forAddress(plan.target().address()).eventLoopGroup(loop)
          .channelType(NioSocketChannel.class).executor(loop).usePlaintext().build();
    }
  }

  private static HeaderValue header(String name, String value) {
    return HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value)).build();
  }

  @Override
  public void send(PlannedRequest planned, String id, int attempt, AttemptCallback callback) {
    ClientCall<ProcessingRequest, ProcessingResponse> call =
        channels[next++ % channels.length].newCall(ExternalProcessor.PROCESS, CallOptions.DEFAULT);
    Listener listener = new Listener(call, callback);
    listener.timeout = loop.schedule(() -> {
      listener.end(Outcome.TIMEOUT, 0);
      call.cancel("attempt timed out", null);
    }, (long) (planned.timeoutMillis() * 1000), TimeUnit.MICROSECONDS);
    call.start(listener, new Metadata());
    call.request(2);
    call.sendMessage(request(planned, id, attempt));
  }

  private ProcessingRequest request(PlannedRequest planned, String id, int attempt) {
    Plan.RequestClass requestClass = plan.classes().get(planned.classIndex());
    HeaderMap.Builder map = HeaderMap.newBuilder()
        .addHeaders(header(":method", requestClass.effect() == Effect.SAFE ? "GET" : "POST"))
        .addHeaders(header(":path", plan.target().path())).addHeaders(header("x-request-id", id))
        .addHeaders(header("x-envoy-attempt-count", "1")).addHeaders(header("x-qos", requestClass.name()))
        .addHeaders(header("x-expires-in-ms", Long.toString((long) Math.max(1, planned.timeoutMillis()))));
    String tenant = plan.tenants().get(planned.tenantIndex()).name();
    if (!tenant.isEmpty()) {
      map.addHeaders(header("x-customer", tenant));
    }
    if (planned.key() >= 0) {
      map.addHeaders(header("cookie", "sid=k" + planned.key()));
    }
    if (planned.hintMicros() > 0) {
      map.addHeaders(header("x-size-hint", Long.toString(planned.hintMicros())));
    }
    if (attempt > 0) {
      map.addHeaders(header("x-second-try", "1"));
    }
    if (requestClass.effect() == Effect.KEYED) {
      map.addHeaders(header("idempotency-key", id.substring(0, id.lastIndexOf('.'))));
    }
    return ProcessingRequest.newBuilder()
        .setRequestHeaders(HttpHeaders.newBuilder().setHeaders(map).setEndOfStream(planned.bytes() == 0)).build();
  }

  private static final class Listener extends ClientCall.Listener<ProcessingResponse> {

    private final ClientCall<ProcessingRequest, ProcessingResponse> call;
    private final AttemptCallback callback;
    private Future<?> timeout;
    private boolean completed;

    Listener(ClientCall<ProcessingRequest, ProcessingResponse> call, AttemptCallback callback) {
      this.call = call;
      this.callback = callback;
    }

    void end(Outcome outcome, double retryAfterMillis) {
      if (!completed) {
        completed = true;
        timeout.cancel(false);
        callback.onAttemptEnd(outcome, retryAfterMillis);
      }
    }

    @Override
    public void onMessage(ProcessingResponse reply) {
      if (reply.hasRequestHeaders()) {
        call.sendMessage(UPSTREAM_RESPONSE);
        end(Outcome.SERVED, 0);
      } else if (reply.hasImmediateResponse()) {
        ImmediateResponse end = reply.getImmediateResponse();
        double retryAfter = 0;
        for (HeaderValueOption option : end.getHeaders().getSetHeadersList()) {
          if (option.getHeader().getKey().equals("retry-after")) {
            retryAfter = HttpDriver.retryAfterMillis(option.getHeader().getRawValue().toStringUtf8());
          }
        }
        end(end.getStatus().getCode() == TOO_MANY_REQUESTS ? Outcome.REFUSED : Outcome.FAILED, retryAfter);
      } else if (reply.hasResponseHeaders()) {
        call.halfClose();
      }
    }

    @Override
    public void onClose(Status status, Metadata trailers) {
      end(status.getCode() == Status.Code.UNAVAILABLE ? Outcome.NO_CONNECTION : Outcome.BROKEN, 0);
    }
  }

  @Override
  public int openConnections() {
    return channels.length;
  }

  @Override
  public void close() {
    for (ManagedChannel channel : channels) {
      channel.shutdownNow();
    }
  }
}
