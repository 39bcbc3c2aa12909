package cloverpulley.quota.service;

import cloverpulley.quota.LeaseHolder;
import cloverpulley.quota.Leases;
import cloverpulley.quota.QuotaPlan;
import cloverpulley.quota.service.LeaseMessages.LeaseAnswer;
import cloverpulley.quota.service.LeaseMessages.LeaseReport;
import cloverpulley.quota.service.LeaseMessages.Node;
import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import io.grpc.Server;
import io.grpc.ServerServiceDefinition;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.protobuf.ProtoUtils;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.ServerCalls;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * Connects an instance to the coordinators that issue leases, and is a coordinator itself where configured. The decisions are made by
 * {@link Leases} and {@link LeaseHolder}; this class does the I/O. All state is confined to the loop.
 */
public final class LeaseLink implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(LeaseLink.class.getName());

  private static final int MAX_MESSAGE_BYTES = 4 << 20;
  private static final int MAX_NODES = 10_000;
  private static final int MAX_PATH_LENGTH = 1100;
  private static final long STOP_SECONDS = 2;

  static final MethodDescriptor<LeaseReport, LeaseAnswer> REPORT = MethodDescriptor.<LeaseReport, LeaseAnswer>newBuilder()
      .setType(MethodDescriptor.MethodType.UNARY).setFullMethodName("ashdeck.quota.Leases/Report")
      .setRequestMarshaller(ProtoUtils.marshaller(LeaseReport.getDefaultInstance()))
      .setResponseMarshaller(ProtoUtils.marshaller(LeaseAnswer.getDefaultInstance())).build();

  private final QuotaPlan plan;
  private final LeaseConfig config;
  private final QuotaKeeper keeper;
  private final ScheduledExecutorService loop;
  private final LongSupplier nanos;
  private final LeaseHolder holder;
  private final Leases coordinator;
  private final List<ManagedChannel> channels = new ArrayList<>();
  private final Server server;
  private final ScheduledFuture<?> reportTask;
  private final String installation;
  private long demandTakenAt;
  /** Index of the coordinator that responded last; -1 for none. */
  private int activeCoordinator = -1;
  private boolean reportPending;

  /** Starts to report, and to coordinate where configured; called on the loop. */
  LeaseLink(QuotaPlan plan, LeaseConfig config, QuotaKeeper keeper, ScheduledExecutorService loop, LongSupplier nanos) throws IOException {
    this.plan = plan;
    this.config = config;
    this.keeper = keeper;
    this.loop = loop;
    this.nanos = nanos;
    installation = plan.lanes() + " " + plan.nodes().keySet().hashCode();
    long now = nanos.getAsLong();
    // Wall-clock time distinguishes restarts of instances and coordinators; the loop's clock starts anew with each process.
    long epochNanos = System.currentTimeMillis() * 1_000_000;
    holder = new LeaseHolder(plan, config.terms(), config.instance(), now, epochNanos);
    coordinator = config.listen() == null ? null : new Leases(plan, config.terms(), now, epochNanos);
    for (InetSocketAddress a : config.coordinators()) {
      channels.add(NettyChannelBuilder.forAddress(a).usePlaintext().maxInboundMessageSize(MAX_MESSAGE_BYTES).build());
    }
    server = coordinator == null ? null : NettyServerBuilder.forAddress(config.listen()).directExecutor().maxInboundMessageSize(MAX_MESSAGE_BYTES)
        .addService(ServerServiceDefinition.builder("ashdeck.quota.Leases").addMethod(REPORT, ServerCalls.asyncUnaryCall(this::handleReport))
            .build()).build().start();
    demandTakenAt = now;
    keeper.quotas().takeDemand();
    keeper.quotas().scaleGuarantees(now, holder.allowances(now));
    reportTask = loop.scheduleWithFixedDelay(this::sendReport, 0, config.reportMillis(), TimeUnit.MILLISECONDS);
  }

  /** Address of this coordinator; null where it is none. */
  InetSocketAddress address() {
    return server == null ? null : (InetSocketAddress) server.getListenSockets().get(0);
  }

  // ---- Instance ------------------------------------------------------------------------------------------

  private void sendReport() {
    long now = nanos.getAsLong();
    if (!reportPending) {
      reportPending = true;
      LeaseReport report = toMessage(holder.nextReport(now, demand(now)));
      sendTo(report, 0, now);
    }
    keeper.quotas().scaleGuarantees(now, holder.allowances(now)); // Also without a response: a lease that is not renewed falls.
  }

  /** Returns the units requested since the last report, scaled to each lane's window. */
  private Map<String, double[]> demand(long now) {
    double elapsed = Math.max(1, now - demandTakenAt);
    demandTakenAt = now;
    Map<String, double[]> demand = keeper.quotas().takeDemand();
    demand.values().forEach(a -> {
      for (int i = 0; i < a.length; i++) {
        long window = plan.lanes().get(i).windowNanos();
        a[i] *= window == 0 ? 1 : window / elapsed;
      }
    });
    return demand;
  }

  /** Sends a report to the coordinators in order until one responds. */
  private void sendTo(LeaseReport report, int index, long sentAt) {
    if (index >= channels.size()) {
      reportPending = false;
      if (activeCoordinator >= 0) {
        LOG.warning("no quota coordinator responds; the last lease expires and falls back to an even share");
        activeCoordinator = -1;
      }
      return;
    }
    long timeoutMillis = Math.max(20, config.reportMillis() / 2);
    ClientCalls.asyncUnaryCall(channels.get(index).newCall(REPORT, CallOptions.DEFAULT.withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)),
        report, new StreamObserver<>() {
          private LeaseAnswer response;

          @Override
          public void onNext(LeaseAnswer value) {
            response = value;
          }

          @Override
          public void onError(Throwable t) {
            runOnLoop(() -> sendTo(report, index + 1, sentAt));
          }

          @Override
          public void onCompleted() {
            runOnLoop(() -> {
              reportPending = false;
              if (activeCoordinator != index) {
                LOG.info("quota leases are issued by " + config.coordinators().get(index));
                activeCoordinator = index;
              }
              holder.accept(sentAt, new Leases.Lease(response.getNumber(), response.getValidNanos(), toMap(response.getFiguresList())));
              keeper.quotas().scaleGuarantees(nanos.getAsLong(), holder.allowances(nanos.getAsLong()));
            });
          }
        });
  }

  private void runOnLoop(Runnable task) {
    try {
      loop.execute(task);
    } catch (RejectedExecutionException e) {
      LOG.fine("lease response received after shutdown");
    }
  }

  // ---- Coordinator ---------------------------------------------------------------------------------------

  private void handleReport(LeaseReport report, StreamObserver<LeaseAnswer> observer) {
    if (!report.getInstallation().equals(installation) || report.getAskedCount() > MAX_NODES || report.getUsesCount() > MAX_NODES
        || report.getInstance().isEmpty() || report.getInstance().length() > 64) {
      observer.onError(new StatusRuntimeException(Status.INVALID_ARGUMENT.withDescription("a report of another installation's quotas")));
      return;
    }
    try {
      loop.execute(() -> {
        try {
          Leases.Lease lease = coordinator.handleReport(nanos.getAsLong(), new Leases.Report(report.getInstance(),
              report.getSeq(), report.getHolds(), toMap(report.getAskedList()), toMap(report.getUsesList())));
          if (lease == null) {
            observer.onError(new StatusRuntimeException(Status.ABORTED.withDescription("an older report")));
            return;
          }
          LeaseAnswer.Builder a = LeaseAnswer.newBuilder().setNumber(lease.number()).setValidNanos(lease.validNanos());
          lease.allowances().forEach((path, f) -> a.addFigures(toMessage(path, f)));
          observer.onNext(a.build());
          observer.onCompleted();
        } catch (IllegalArgumentException e) {
          observer.onError(new StatusRuntimeException(Status.RESOURCE_EXHAUSTED.withDescription(e.getMessage())));
        }
      });
    } catch (RejectedExecutionException e) {
      observer.onError(new StatusRuntimeException(Status.UNAVAILABLE));
    }
  }

  private LeaseReport toMessage(Leases.Report r) {
    LeaseReport.Builder b = LeaseReport.newBuilder().setInstallation(installation).setInstance(r.instance()).setSeq(r.seq())
        .setHolds(r.heldLease());
    r.demand().forEach((path, values) -> b.addAsked(toMessage(path, values)));
    r.allowances().forEach((path, values) -> b.addUses(toMessage(path, values)));
    return b.build();
  }

  private static Node toMessage(String path, double[] values) {
    Node.Builder n = Node.newBuilder().setPath(path);
    for (double value : values) {
      n.addFigures(value);
    }
    return n.build();
  }

  /** Converts nodes to a map; nodes that are not in the plan are dropped so that they take no memory. */
  private Map<String, double[]> toMap(List<Node> nodes) {
    Map<String, double[]> result = new HashMap<>();
    for (Node n : nodes) {
      if (n.getPath().length() <= MAX_PATH_LENGTH && plan.nodes().containsKey(n.getPath()) && n.getFiguresCount() == plan.lanes().size()) {
        double[] values = new double[n.getFiguresCount()];
        for (int i = 0; i < values.length; i++) {
          values[i] = n.getFigures(i);
        }
        result.put(n.getPath(), values);
      }
    }
    return result;
  }

  @Override
  public void close() {
    reportTask.cancel(false);
    channels.forEach(ManagedChannel::shutdownNow);
    if (server != null) {
      server.shutdownNow();
      try {
        server.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
