package cloverpulley.quota.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.config.ConfigFile;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.quota.Quotas;
import cloverpulley.quota.service.LeaseMessages.LeaseReport;
import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCalls;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Three instances with event loops of their own over loopback sockets: demand moves, coordinators fail, and the guarantee is never exceeded. */
@Timeout(90)
class LeaseLinkTest {

  private static final double TOTAL = 3000;

  private static final class Instance {
    final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
    QuotaKeeper keeper;

    double guarantee() {
      try {
        double[] g = new double[1];
        loop.submit(() -> keeper.quotas().forEachNode(System.nanoTime(), s -> g[0] = s.path().equals("a") ? s.guarantee()[0] : g[0])).get();
        return g[0];
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    }

    void request(int n) throws Exception {
      loop.submit(() -> {
        for (int i = 0; i < n; i++) {
          long grant = keeper.tryAcquire("a", 1, 0, 0, false);
          assertTrue(Quotas.isRejected(grant) || grant >= 0);
        }
      }).get();
    }
  }

  private final List<Instance> instances = new ArrayList<>();

  @AfterEach
  void end() throws Exception {
    for (Instance i : instances) {
      stop(i);
    }
  }

  private static void stop(Instance i) throws Exception {
    if (!i.loop.isShutdown()) {
      i.loop.submit(i.keeper::close).get();
      i.loop.shutdownNow();
      i.loop.awaitTermination(5, TimeUnit.SECONDS);
    }
  }

  private static int freePort() throws Exception {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    }
  }

  private static QuotaConfig config(String instance, int first, int second, int listen) throws InvalidConfigException {
    return ConfigFile.parse("f", """
        [quota]
        [[quota.lane]]
        dimension = "requests"
        window_ms = 1000
        total = 3000.0
        [[quota.node]]
        path = "a"
        share = 1.0
        [quota.leases]
        instance = "%s"
        instances = 3
        coordinators = ["127.0.0.1:%d", "127.0.0.1:%d"]
        valid_ms = 300
        fall_ms = 300
        report_ms = 50
        %s
        """.formatted(instance, first, second, listen == 0 ? "" : "listen = \"127.0.0.1:" + listen + "\""),
        s -> QuotaConfig.read(s.table("quota")));
  }

  private void start(QuotaConfig c) throws Exception {
    Instance i = new Instance();
    i.keeper = i.loop.submit(() -> new QuotaKeeper(c, i.loop, System::nanoTime)).get();
    instances.add(i);
  }

  private void await(String what, BooleanSupplier condition, int requester) throws Exception {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < until, "timed out: " + what);
      instances.get(requester).request(300);
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  @Test
  void leasesFollowDemandAndADeadCoordinatorIsReplaced() throws Exception {
    int a = freePort();
    int b = freePort();
    start(config("i0", a, b, a));
    start(config("i1", a, b, b));
    start(config("i2", a, b, 0));
    await("the requesting instance has most", () -> instances.get(2).guarantee() > 0.6 * TOTAL, 2);
    assertTrue(instances.stream().mapToDouble(Instance::guarantee).sum() <= TOTAL * 1.001);
    await("another instance requests", () -> instances.get(1).guarantee() > 0.6 * TOTAL, 1);
    // The first coordinator fails: the second has a majority of the instances and divides their shares.
    stop(instances.get(0));
    await("the second coordinator issues leases", () -> instances.get(2).guarantee() > TOTAL / 3 * 1.2, 2);
    assertTrue(instances.get(1).guarantee() + instances.get(2).guarantee() <= TOTAL * 2 / 3 * 1.001, "the share of the dead instance is reserved");
    // The second fails too: the last instance falls back to its even share by itself.
    stop(instances.get(1));
    await("its even share", () -> Math.abs(instances.get(2).guarantee() - TOTAL / 3) < 1, 2);
  }

  @Test
  void invalidReportsAreRejected() throws Exception {
    int a = freePort();
    start(config("i0", a, a, a));
    ManagedChannel channel = NettyChannelBuilder.forAddress("127.0.0.1", a).usePlaintext().build();
    try {
      for (LeaseReport invalid : new LeaseReport[] {LeaseReport.getDefaultInstance(),
          LeaseReport.newBuilder().setInstallation("other").setInstance("x").build()}) {
        StatusRuntimeException e = assertThrows(StatusRuntimeException.class, () -> ClientCalls.blockingUnaryCall(channel, LeaseLink.REPORT,
            CallOptions.DEFAULT.withDeadlineAfter(10, TimeUnit.SECONDS), invalid));
        assertEquals(Status.Code.INVALID_ARGUMENT, e.getStatus().getCode());
      }
    } finally {
      channel.shutdownNow();
    }
  }

  @Test
  void configurationErrorsNameTheSettings() {
    InvalidConfigException e = assertThrows(InvalidConfigException.class, () -> ConfigFile.parse("f", """
        [quota]
        [[quota.lane]]
        dimension = "requests"
        [quota.leases]
        instance = "a b"
        coordinators = ["10.0.0.1:5"]
        report_ms = 9000
        reclaim_ms = 5
        """, s -> QuotaConfig.read(s.table("quota"))));
    for (String part : new String[] {"leases.instance:", "leases.instances", "leases.coordinators", "leases.report_ms", "leases.reclaim_ms"}) {
      assertTrue(e.getMessage().contains(part.replace(":", "")), part + " in " + e.getMessage());
    }
  }
}
