package cloverpulley.quota.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.config.ConfigFile;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.quota.service.RateLimit.RateLimitDescriptor;
import cloverpulley.quota.service.RateLimit.RateLimitRequest;
import cloverpulley.quota.service.RateLimit.RateLimitResponse;
import cloverpulley.quota.service.RateLimit.RateLimitResponse.Code;
import io.envoyproxy.envoy.extensions.common.ratelimit.v3.RateLimitDescriptor.Entry;
import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCalls;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The rate limit service over a socket: limits, restarts and compatibility with the published messages. */
@Timeout(60)
class RateLimitServerTest {

  private static final String CONFIG = """
      [quota]
      others = "unknown"
      [[quota.lane]]
      dimension = "requests"
      window_ms = 60000
      total = 1000.0
      [[quota.node]]
      path = "steppe"
      guarantee = [10]
      ceiling = [20]
      [[quota.node]]
      path = "steppe/almaty"
      share = 0.5
      [[quota.node]]
      path = "unknown"
      guarantee = [1]
      ceiling = [1]
      [quota.journal]
      file = "FILE"
      flush_ms = 5
      [quota.service]
      listen = "127.0.0.1:0"
      """;

  @TempDir
  Path directory;

  private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
  private final AtomicLong nanos = new AtomicLong(1_000_000_000_000L);
  private QuotaKeeper keeper;
  private RateLimitServer server;
  private ManagedChannel channel;

  private QuotaConfig config() throws InvalidConfigException {
    return ConfigFile.parse("f", CONFIG.replace("FILE", directory.resolve("q.journal").toString()), s -> QuotaConfig.read(s.table("quota")));
  }

  private void start() throws Exception {
    QuotaConfig c = config();
    keeper = loop.submit(() -> new QuotaKeeper(c, loop, nanos::get)).get();
    server = new RateLimitServer(c, keeper, loop);
    channel = NettyChannelBuilder.forAddress(server.address()).usePlaintext().build();
  }

  private void stop() throws Exception {
    if (channel == null) {
      return;
    }
    channel.shutdownNow();
    server.close();
    loop.submit(keeper::close).get();
  }

  @AfterEach
  void end() throws Exception {
    stop();
    loop.shutdownNow();
    loop.awaitTermination(5, TimeUnit.SECONDS);
  }

  private RateLimitResponse requestDecision(int hits, String... path) {
    RateLimitDescriptor.Builder d = RateLimitDescriptor.newBuilder();
    for (String p : path) {
      d.addEntries(RateLimitDescriptor.Entry.newBuilder().setKey("k").setValue(p));
    }
    return requestDecision(RateLimitRequest.newBuilder().setDomain("ashdeck").setHitsAddend(hits).addDescriptors(d).build());
  }

  private RateLimitResponse requestDecision(RateLimitRequest r) {
    return ClientCalls.blockingUnaryCall(channel, RateLimitServer.SHOULD_RATE_LIMIT, CallOptions.DEFAULT.withDeadlineAfter(20,
        TimeUnit.SECONDS), r);
  }

  @Test
  void nodeIsLimitedToItsCeilingAndGetsARetryTime() throws Exception {
    start();
    for (int i = 0; i < 20; i++) {
      assertEquals(Code.OK, requestDecision(0, "steppe", "almaty").getOverallCode(), "" + i);
    }
    RateLimitResponse rejected = requestDecision(1, "steppe", "almaty");
    assertEquals(Code.OVER_LIMIT, rejected.getOverallCode());
    assertTrue(rejected.getStatuses(0).getDurationUntilReset().getSeconds() > 0, rejected.toString());
    assertEquals("RateLimit", rejected.getResponseHeadersToAdd(0).getKey());
    assertTrue(rejected.getResponseHeadersToAdd(0).getValue().matches("\"requests\";r=0;t=\\d+"), rejected.toString());
    assertEquals(Code.OK, requestDecision(1, "missing").getOverallCode());
    assertEquals(Code.OVER_LIMIT, requestDecision(1, "another").getOverallCode(), "unknown paths share one node");
    nanos.addAndGet(TimeUnit.SECONDS.toNanos(rejected.getStatuses(0).getDurationUntilReset().getSeconds() + 10));
    assertEquals(Code.OK, requestDecision(1, "steppe", "almaty").getOverallCode());
  }

  @Test
  void restartKeepsTheState() throws Exception {
    start();
    for (int i = 0; i < 20; i++) {
      requestDecision(1, "steppe", "almaty");
    }
    stop();
    start();
    assertEquals(Code.OVER_LIMIT, requestDecision(1, "steppe", "almaty").getOverallCode(), "the ceiling of its parent is still reached");
    double[] remaining = new double[1];
    loop.submit(() -> keeper.quotas().forEachNode(nanos.get(), s -> {
      if (s.path().equals("steppe/almaty")) {
        remaining[0] = s.tokens()[0];
      }
    })).get();
    assertTrue(remaining[0] < 1, "its guarantee is used up: " + remaining[0]);
  }

  /** The published classes read and write the same bytes. */
  @Test
  void messagesMatchThePublishedOnes() throws Exception {
    start();
    var published = io.envoyproxy.envoy.service.ratelimit.v3.RateLimitRequest.newBuilder().setDomain("ashdeck").setHitsAddend(21)
        .addDescriptors(io.envoyproxy.envoy.extensions.common.ratelimit.v3.RateLimitDescriptor.newBuilder()
            .addEntries(Entry.newBuilder().setKey("partner").setValue("steppe"))).build();
    RateLimitRequest parsed = RateLimitRequest.parseFrom(published.toByteArray());
    assertEquals("steppe", RateLimitServer.path(parsed.getDescriptors(0)));
    RateLimitResponse response = requestDecision(parsed);
    var read = io.envoyproxy.envoy.service.ratelimit.v3.RateLimitResponse.parseFrom(response.toByteArray());
    assertEquals(response.getOverallCode().getNumber(), read.getOverallCode().getNumber());
    assertEquals(response.getStatuses(0).getDurationUntilReset(), read.getStatuses(0).getDurationUntilReset());
    assertEquals(response.getResponseHeadersToAddCount(), read.getResponseHeadersToAddCount());
  }

  @Test
  void invalidRequestsAreRejected() throws Exception {
    start();
    for (RateLimitRequest invalid : new RateLimitRequest[] {RateLimitRequest.getDefaultInstance(),
        RateLimitRequest.newBuilder().setDomain("other").addDescriptors(RateLimitDescriptor.getDefaultInstance()).build(),
        RateLimitRequest.newBuilder().setDomain("ashdeck").build()}) {
      assertEquals(Status.Code.INVALID_ARGUMENT, assertThrows(StatusRuntimeException.class, () -> requestDecision(invalid)).getStatus().getCode());
    }
    assertEquals(Code.OK, requestDecision(0, "a/b").getOverallCode(), "not a valid path: unknown");
    assertEquals(Code.OVER_LIMIT, requestDecision(-1, "steppe").getOverallCode(), "a hit count of 4,294,967,295");
  }

  @Test
  void configurationErrorsNameTheSettings() {
    InvalidConfigException e = assertThrows(InvalidConfigException.class, () -> ConfigFile.parse("f", """
        [quota]
        others = "missing"
        [[quota.lane]]
        dimension = "requests"
        total = 100.0
        [[quota.node]]
        path = "a"
        guarantee = [200]
        [[quota.node]]
        path = "b"
        guarantee = [1, 2]
        [quota.service]
        listen = "10.0.0.1:1"
        """, s -> QuotaConfig.read(s.table("quota"))));
    for (String part : new String[] {"quota.others", "quota.node[0].path", "quota.node[1].guarantee", "quota.service.listen"}) {
      assertTrue(e.getMessage().contains(part), part + " in " + e.getMessage());
    }
  }
}
