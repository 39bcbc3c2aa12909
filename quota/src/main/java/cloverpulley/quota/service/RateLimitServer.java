package cloverpulley.quota.service;

import cloverpulley.quota.Lane;
import cloverpulley.quota.Quotas;
import cloverpulley.quota.service.RateLimit.HeaderValue;
import cloverpulley.quota.service.RateLimit.RateLimitDescriptor;
import cloverpulley.quota.service.RateLimit.RateLimitRequest;
import cloverpulley.quota.service.RateLimit.RateLimitResponse;
import cloverpulley.quota.service.RateLimit.RateLimitResponse.Code;
import cloverpulley.quota.service.RateLimit.RateLimitResponse.DescriptorStatus;
import com.google.protobuf.Duration;
import io.grpc.MethodDescriptor;
import io.grpc.Server;
import io.grpc.ServerServiceDefinition;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.protobuf.ProtoUtils;
import io.grpc.stub.ServerCalls;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * {@code envoy.service.ratelimit.v3.RateLimitService}: partners' proxies ask for quotas alone. A descriptor's values, joined by /, are the
 * node's path. Each descriptor is asked by itself, and any refusal refuses all; what was granted beside it stays charged, as the published
 * service counts. Answers carry the RateLimit fields of draft-ietf-httpapi-ratelimit-headers.
 */
public final class RateLimitServer implements AutoCloseable {

  private static final int MOST_MESSAGE = 64 << 10;
  private static final int MOST_DESCRIPTORS = 64;
  private static final int MOST_PATH = 256;
  private static final long MOST_HITS = 1_000_000;
  private static final long STOP_SECONDS = 5;
  private static final int CALLS = 10_000;

  /** The method as published. */
  public static final MethodDescriptor<RateLimitRequest, RateLimitResponse> SHOULD_RATE_LIMIT =
      MethodDescriptor.<RateLimitRequest, RateLimitResponse>newBuilder().setType(MethodDescriptor.MethodType.UNARY)
          .setFullMethodName("envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit")
          .setRequestMarshaller(ProtoUtils.marshaller(RateLimitRequest.getDefaultInstance()))
          .setResponseMarshaller(ProtoUtils.marshaller(RateLimitResponse.getDefaultInstance())).build();

  private final QuotaKeeper keeper;
  private final ScheduledExecutorService loop;
  private final String domain;
  private final Lane first;
  private final Server server;

  public RateLimitServer(QuotaConfig config, QuotaKeeper keeper, ScheduledExecutorService loop) throws IOException {
    this.keeper = keeper;
    this.loop = loop;
    domain = config.domain();
    first = config.plan().lanes().get(0);
    server = NettyServerBuilder.forAddress(config.listen()).directExecutor().maxInboundMessageSize(MOST_MESSAGE)
        .maxConcurrentCallsPerConnection(CALLS)
        .addService(ServerServiceDefinition.builder("envoy.service.ratelimit.v3.RateLimitService")
            .addMethod(SHOULD_RATE_LIMIT, ServerCalls.asyncUnaryCall(this::call)).build()).build().start();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenSockets().get(0);
  }

  private void call(RateLimitRequest request, StreamObserver<RateLimitResponse> to) {
    if (!request.getDomain().equals(domain) || request.getDescriptorsCount() == 0 || request.getDescriptorsCount() > MOST_DESCRIPTORS) {
      to.onError(new StatusRuntimeException(Status.INVALID_ARGUMENT.withDescription("expected the domain " + domain + " and 1 to "
          + MOST_DESCRIPTORS + " descriptors")));
      return;
    }
    try {
      loop.execute(() -> {
        RateLimitResponse answer = decide(request);
        to.onNext(answer);
        to.onCompleted();
      });
    } catch (RejectedExecutionException e) {
      to.onError(new StatusRuntimeException(Status.UNAVAILABLE.withDescription("stopping")));
    }
  }

  private RateLimitResponse decide(RateLimitRequest request) {
    RateLimitResponse.Builder all = RateLimitResponse.newBuilder().setOverallCode(Code.OK);
    long wait = 0;
    for (RateLimitDescriptor d : request.getDescriptorsList()) {
      long hits = d.hasHitsAddend() ? d.getHitsAddend().getValue() : Math.max(1, Integer.toUnsignedLong(request.getHitsAddend()));
      long grant = keeper.tryAcquire(path(d), Math.max(0, Math.min(MOST_HITS, hits)), 0, 0, false);
      DescriptorStatus.Builder status = DescriptorStatus.newBuilder().setCode(Code.OK);
      if (Quotas.isRejected(grant)) {
        long nanos = keeper.retryAfterNanos();
        wait = Math.max(wait, nanos);
        all.setOverallCode(Code.OVER_LIMIT);
        status.setCode(Code.OVER_LIMIT).setDurationUntilReset(Duration.newBuilder().setSeconds(nanos / 1_000_000_000)
            .setNanos((int) (nanos % 1_000_000_000)));
      }
      all.addStatuses(status);
    }
    if (all.getOverallCode() == Code.OVER_LIMIT) {
      long seconds = Math.max(1, (wait + 999_999_999) / 1_000_000_000);
      all.addResponseHeadersToAdd(HeaderValue.newBuilder().setKey("RateLimit").setValue("\"" + first.dimension().label() + "\";r=0;t="
          + seconds)).addResponseHeadersToAdd(HeaderValue.newBuilder().setKey("Retry-After").setValue(Long.toString(seconds)));
    }
    return all.build();
  }

  /** A node's path; whatever can't be one is under nobody's name. */
  static String path(RateLimitDescriptor d) {
    StringBuilder path = new StringBuilder();
    for (RateLimitDescriptor.Entry e : d.getEntriesList()) {
      String v = e.getValue();
      if (v.isEmpty() || v.indexOf('/') >= 0 || path.length() + v.length() > MOST_PATH) {
        return "";
      }
      path.append(path.length() == 0 ? "" : "/").append(v);
    }
    return path.toString();
  }

  @Override
  public void close() {
    server.shutdown();
    try {
      if (!server.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS)) {
        server.shutdownNow();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
