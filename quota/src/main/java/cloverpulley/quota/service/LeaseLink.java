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
 * An instance's talk with whoever divides the quotas, and its own answers where it is one of those. What is decided is {@link Leases}'s and
 * {@link LeaseHolder}'s; here are the sockets. All state lives on the loop.
 */
public final class LeaseLink implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(LeaseLink.class.getName());

  private static final int MOST_MESSAGE = 4 << 20;
  private static final int MOST_NODES = 10_000;
  private static final int MOST_PATH = 1100;
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
  private final Leases leases;
  private final List<ManagedChannel> channels = new ArrayList<>();
  private final Server server;
  private final ScheduledFuture<?> reports;
  private final String installation;
  private long askedAt;
  /** Which coordinator answered last; -1 for none. */
  private int answered = -1;
  private boolean waiting;

  /** Starts to report, and to answer where the configuration says so; called on the loop. */
  LeaseLink(QuotaPlan plan, LeaseConfig config, QuotaKeeper keeper, ScheduledExecutorService loop, LongSupplier nanos) throws IOException {
    this.plan = plan;
    this.config = config;
    this.keeper = keeper;
    this.loop = loop;
    this.nanos = nanos;
    installation = plan.lanes() + " " + plan.nodes().keySet().hashCode();
    long now = nanos.getAsLong();
    // A wall clock tells lives and coordinators apart; the loop's own begins anew with each.
    long since = System.currentTimeMillis() * 1_000_000;
    holder = new LeaseHolder(plan, config.terms(), config.instance(), now, since);
    leases = config.listen() == null ? null : new Leases(plan, config.terms(), now, since);
    for (InetSocketAddress a : config.coordinators()) {
      channels.add(NettyChannelBuilder.forAddress(a).usePlaintext().maxInboundMessageSize(MOST_MESSAGE).build());
    }
    server = leases == null ? null : NettyServerBuilder.forAddress(config.listen()).directExecutor().maxInboundMessageSize(MOST_MESSAGE)
        .addService(ServerServiceDefinition.builder("ashdeck.quota.Leases").addMethod(REPORT, ServerCalls.asyncUnaryCall(this::answer))
            .build()).build().start();
    askedAt = now;
    keeper.quotas().takeDemand();
    keeper.quotas().scaleGuarantees(now, holder.allowances(now));
    reports = loop.scheduleWithFixedDelay(this::report, 0, config.reportMillis(), TimeUnit.MILLISECONDS);
  }

  /** Where it answers; null where it does not. */
  InetSocketAddress address() {
    return server == null ? null : (InetSocketAddress) server.getListenSockets().get(0);
  }

  // ---- As an instance ------------------------------------------------------------------------------------

  private void report() {
    long now = nanos.getAsLong();
    if (!waiting) {
      waiting = true;
      LeaseReport report = message(holder.nextReport(now, demand(now)));
      ask(report, 0, now);
    }
    keeper.quotas().scaleGuarantees(now, holder.allowances(now)); // Also without an answer: a lease that is not renewed falls.
  }

  /** What was asked for since the last report, in terms of each lane's window. */
  private Map<String, double[]> demand(long now) {
    double passed = Math.max(1, now - askedAt);
    askedAt = now;
    Map<String, double[]> asked = keeper.quotas().takeDemand();
    asked.values().forEach(a -> {
      for (int i = 0; i < a.length; i++) {
        long window = plan.lanes().get(i).windowNanos();
        a[i] *= window == 0 ? 1 : window / passed;
      }
    });
    return asked;
  }

  /** The first that answers, in order; whoever comes after is asked only where those before do not. */
  private void ask(LeaseReport report, int which, long sentAt) {
    if (which >= channels.size()) {
      waiting = false;
      if (answered >= 0) {
        LOG.warning("no coordinator of quotas answers; the last lease goes on and falls to an even part");
        answered = -1;
      }
      return;
    }
    long patience = Math.max(20, config.reportMillis() / 2);
    ClientCalls.asyncUnaryCall(channels.get(which).newCall(REPORT, CallOptions.DEFAULT.withDeadlineAfter(patience, TimeUnit.MILLISECONDS)),
        report, new StreamObserver<>() {
          private LeaseAnswer answer;

          @Override
          public void onNext(LeaseAnswer value) {
            answer = value;
          }

          @Override
          public void onError(Throwable t) {
            onLoop(() -> ask(report, which + 1, sentAt));
          }

          @Override
          public void onCompleted() {
            onLoop(() -> {
              waiting = false;
              if (answered != which) {
                LOG.info("quotas are divided by " + config.coordinators().get(which));
                answered = which;
              }
              holder.accept(sentAt, new Leases.Lease(answer.getNumber(), answer.getValidNanos(), nodes(answer.getFiguresList())));
              keeper.quotas().scaleGuarantees(nanos.getAsLong(), holder.allowances(nanos.getAsLong()));
            });
          }
        });
  }

  private void onLoop(Runnable task) {
    try {
      loop.execute(task);
    } catch (RejectedExecutionException e) {
      LOG.fine("an answer that came after the end");
    }
  }

  // ---- As a coordinator ----------------------------------------------------------------------------------

  private void answer(LeaseReport report, StreamObserver<LeaseAnswer> to) {
    if (!report.getInstallation().equals(installation) || report.getAskedCount() > MOST_NODES || report.getUsesCount() > MOST_NODES
        || report.getInstance().isEmpty() || report.getInstance().length() > 64) {
      to.onError(new StatusRuntimeException(Status.INVALID_ARGUMENT.withDescription("a report of another installation's quotas")));
      return;
    }
    try {
      loop.execute(() -> {
        try {
          Leases.Lease lease = leases.handleReport(nanos.getAsLong(), new Leases.Report(report.getInstance(),
              report.getSeq(), report.getHolds(), nodes(report.getAskedList()), nodes(report.getUsesList())));
          if (lease == null) {
            to.onError(new StatusRuntimeException(Status.ABORTED.withDescription("an older report")));
            return;
          }
          LeaseAnswer.Builder a = LeaseAnswer.newBuilder().setNumber(lease.number()).setValidNanos(lease.validNanos());
          lease.allowances().forEach((path, f) -> a.addFigures(node(path, f)));
          to.onNext(a.build());
          to.onCompleted();
        } catch (IllegalArgumentException e) {
          to.onError(new StatusRuntimeException(Status.RESOURCE_EXHAUSTED.withDescription(e.getMessage())));
        }
      });
    } catch (RejectedExecutionException e) {
      to.onError(new StatusRuntimeException(Status.UNAVAILABLE));
    }
  }

  private LeaseReport message(Leases.Report r) {
    LeaseReport.Builder b = LeaseReport.newBuilder().setInstallation(installation).setInstance(r.instance()).setSeq(r.seq())
        .setHolds(r.heldLease());
    r.demand().forEach((path, f) -> b.addAsked(node(path, f)));
    r.allowances().forEach((path, f) -> b.addUses(node(path, f)));
    return b.build();
  }

  private static Node node(String path, double[] figures) {
    Node.Builder n = Node.newBuilder().setPath(path);
    for (double f : figures) {
      n.addFigures(f);
    }
    return n.build();
  }

  /** Nodes of the plan alone: what else is named would be kept for nothing. */
  private Map<String, double[]> nodes(List<Node> of) {
    Map<String, double[]> all = new HashMap<>();
    for (Node n : of) {
      if (n.getPath().length() <= MOST_PATH && plan.nodes().containsKey(n.getPath()) && n.getFiguresCount() == plan.lanes().size()) {
        double[] f = new double[n.getFiguresCount()];
        for (int i = 0; i < f.length; i++) {
          f[i] = n.getFigures(i);
        }
        all.put(n.getPath(), f);
      }
    }
    return all;
  }

  @Override
  public void close() {
    reports.cancel(false);
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
