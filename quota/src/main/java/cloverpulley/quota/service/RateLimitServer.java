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
 * Serves {@code envoy.service.ratelimit.v3.RateLimitService}: proxies of partners request quota decisions alone. The values of a
 * descriptor, joined by /, are the path of a node. Each descriptor is checked separately and any rejection rejects the request; what was
 * granted for the other descriptors stays charged, as in the reference implementation. Responses carry the RateLimit fields of
 * draft-ietf-httpapi-ratelimit-headers.
 */
public final class RateLimitServer implements AutoCloseable {

  private static final int MAX_MESSAGE_BYTES = 64 << 10;
  private static final int MAX_DESCRIPTORS = 64;
  private static final int MAX_PATH_LENGTH = 256;
  private static final long MAX_HITS = 1_000_000;
  private static final long STOP_SECONDS = 5;
  private static final int MAX_CONCURRENT_CALLS = 10_000;

  /** The method as published by Envoy. */
  public static final MethodDescriptor<RateLimitRequest, RateLimitResponse> SHOULD_RATE_LIMIT =
      MethodDescriptor.<RateLimitRequest, RateLimitResponse>newBuilder().setType(MethodDescriptor.MethodType.UNARY)
          .setFullMethodName("envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit")
          .setRequestMarshaller(ProtoUtils.marshaller(RateLimitRequest.getDefaultInstance()))
          .setResponseMarshaller(ProtoUtils.marshaller(RateLimitResponse.getDefaultInstance())).build();

  private final QuotaKeeper keeper;
  private final ScheduledExecutorService loop;
  private final String domain;
  private final Lane firstLane;
  private final Server server;

  public RateLimitServer(QuotaConfig config, QuotaKeeper keeper, ScheduledExecutorService loop) throws IOException {
    this.keeper = keeper;
    this.loop = loop;
    domain = config.domain();
    firstLane = config.plan().lanes().get(0);
    server = NettyServerBuilder.forAddress(config.listen()).directExecutor().maxInboundMessageSize(MAX_MESSAGE_BYTES)
        .maxConcurrentCallsPerConnection(MAX_CONCURRENT_CALLS)
        .addService(ServerServiceDefinition.builder("envoy.service.ratelimit.v3.RateLimitService")
            .addMethod(SHOULD_RATE_LIMIT, ServerCalls.asyncUnaryCall(this::shouldRateLimit)).build()).build().start();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenSockets().get(0);
  }

  private void shouldRateLimit(RateLimitRequest request, StreamObserver<RateLimitResponse> observer) {
    if (!request.getDomain().equals(domain) || request.getDescriptorsCount() == 0 || request.getDescriptorsCount() > MAX_DESCRIPTORS) {
      observer.onError(new StatusRuntimeException(Status.INVALID_ARGUMENT.withDescription("expected the domain " + domain + " and 1 to "
          + MAX_DESCRIPTORS + " descriptors")));
      return;
    }
    try {
      loop.execute(() -> {
        RateLimitResponse response = decide(request);
        observer.onNext(response);
        observer.onCompleted();
      });
    } catch (RejectedExecutionException e) {
      observer.onError(new StatusRuntimeException(Status.UNAVAILABLE.withDescription("stopping")));
    }
  }

  private RateLimitResponse decide(RateLimitRequest request) {
    RateLimitResponse.Builder response = RateLimitResponse.newBuilder().setOverallCode(Code.OK);
    long waitNanos = 0;
    for (RateLimitDescriptor descriptor : request.getDescriptorsList()) {
      long hits = descriptor.hasHitsAddend() ? descriptor.getHitsAddend().getValue() : Math.max(1, Integer.toUnsignedLong(request.getHitsAddend()));
      long grant = keeper.tryAcquire(path(descriptor), Math.max(0, Math.min(MAX_HITS, hits)), 0, 0, false);
      DescriptorStatus.Builder status = DescriptorStatus.newBuilder().setCode(Code.OK);
      if (Quotas.isRejected(grant)) {
        long nanos = keeper.retryAfterNanos();
        waitNanos = Math.max(waitNanos, nanos);
        response.setOverallCode(Code.OVER_LIMIT);
        status.setCode(Code.OVER_LIMIT).setDurationUntilReset(Duration.newBuilder().setSeconds(nanos / 1_000_000_000)
            .setNanos((int) (nanos % 1_000_000_000)));
      }
      response.addStatuses(status);
    }
    if (response.getOverallCode() == Code.OVER_LIMIT) {
      long seconds = Math.max(1, (waitNanos + 999_999_999) / 1_000_000_000);
      response.addResponseHeadersToAdd(HeaderValue.newBuilder().setKey("RateLimit").setValue("\"" + firstLane.dimension().label() + "\";r=0;t="
          + seconds)).addResponseHeadersToAdd(HeaderValue.newBuilder().setKey("Retry-After").setValue(Long.toString(seconds)));
    }
    return response.build();
  }

  /** Returns the path of a node; empty, for an unknown caller, where the values can't form a path. */
  static String path(RateLimitDescriptor descriptor) {
    StringBuilder path = new StringBuilder();
    for (RateLimitDescriptor.Entry entry : descriptor.getEntriesList()) {
      String value = entry.getValue();
      if (value.isEmpty() || value.indexOf('/') >= 0 || path.length() + value.length() > MAX_PATH_LENGTH) {
        return "";
      }
      path.append(path.length() == 0 ? "" : "/").append(value);
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
