package cloverpulley.cli;

import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Status;
import cloverpulley.Reason;
import cloverpulley.agree.AgreeApi;
import cloverpulley.agree.AgreeConfig;
import cloverpulley.agree.Follower;
import cloverpulley.agree.Voter;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.discovery.Discovery;
import cloverpulley.engine.Attempt;
import cloverpulley.engine.CompositeEngineListener;
import cloverpulley.engine.Engine;
import cloverpulley.engine.EngineListener;
import cloverpulley.engine.Exchange;
import cloverpulley.engine.Fleet;
import cloverpulley.engine.ServerList;
import cloverpulley.fleet.FleetSource;
import cloverpulley.fleet.HeldList;
import cloverpulley.fleet.StaticListSource;
import cloverpulley.outs.MemberKind;
import cloverpulley.outs.MembershipReconciler;
import cloverpulley.records.Recorder;
import cloverpulley.serve.EmbeddedBalancer;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(name = "balance", mixinStandardHelpOptions = true,
    description = "Runs the HTTP balancer with [balance] and [fleet] of the operators' file, and [agree] if the fleet shares a disruption ledger.",
    footer = {"", "Prints 'balance listening on HOST:PORT' once it serves. SIGTERM shuts it down gracefully, SIGHUP reloads the server list",
      "if the file contains one."})
final class BalanceCommand implements Callable<Integer> {

  private static final Logger LOG = LoggerFactory.getLogger(BalanceCommand.class);

  private static final int DISCOVERY_CONNECT_MILLIS = 2000;
  private static final int RELOAD_TIMEOUT_MILLIS = 500;

  @Option(names = "--config", paramLabel = "FILE", required = true, description = "the operators' file")
  private Path config;

  /** Reports attempts and requests to the ledger's follower, and the listed servers to the voter. Called on the engine's event loop. */
  private static final class AgreementListener implements EngineListener {
    private final AgreeConfig agree;
    private final Map<Long, String> serverIds = new ConcurrentHashMap<>();
    private final Map<String, MembershipReconciler.Registration> registrations = new HashMap<>();
    private volatile Follower follower;
    private final Voter voter;

    AgreementListener(AgreeConfig agree, Voter voter) {
      this.agree = agree;
      this.voter = voter;
    }

    @Override
    public void requestAccepted(Exchange x) {}

    @Override
    public void attemptSent(Attempt attempt) {}

    @Override
    public void attemptEnded(Attempt attempt, Status status, long latencyNanos) {
      String name = serverIds.get(attempt.upstream());
      if (name == null || follower == null || status == Status.CANCELLED || status == Status.NOT_SENT) {
        return;
      }
      boolean answered = status == Status.SERVED || status == Status.ERROR || status == Status.FULL;
      follower.recordAttempt(name, answered, status == Status.TIMEOUT);
    }

    @Override
    public void requestEnded(Exchange x, Completion end, Reason reason) {
      if (follower != null && end != Completion.GONE) {
        // A rejection because of the client's own quota says nothing about the fleet's health.
        follower.recordRequest(end == Completion.REJECTED && reason != Reason.QUOTA);
      }
    }

    @Override
    public void serverListUpdated(ListKind kind, ServerList list, List<NumberedServer> servers) {
      if (kind == ListKind.FULL || kind == ListKind.CACHED) {
        registrations.clear();
      }
      for (NumberedServer n : servers) {
        ServerList.Server s = n.server();
        serverIds.put(n.upstream(), s.id());
        if (s.state() == cloverpulley.Balancer.State.GONE) {
          registrations.remove(s.id());
        } else {
          registrations.put(s.id(), new MembershipReconciler.Registration(MemberKind.UPSTREAM, agree.groupsOf(s.id(), s.zone(), s.cell())));
        }
      }
      if (voter != null) {
        voter.setUpstreams(registrations);
      }
    }

    @Override
    public void moduleReplaced(String event) {}
  }

  @Override
  public Integer call() throws InvalidConfigException, IOException, InterruptedException {
    OperatorsConfig operators = OperatorsConfig.read(config);
    Logs.configure(operators.log());
    if (operators.balance() == null) {
      throw new IOException(config + ": balance: expected a table [balance], got nothing");
    }
    CountDownLatch term = Signals.term();
    AgreeConfig agree = operators.agree();
    Voter voter = agree == null || !agree.isVoter() ? null : startVoter(agree);
    AgreeApi api = voter == null ? null : new AgreeApi(voter, agree.apiListen());
    AgreementListener agreementListener = agree == null ? null : new AgreementListener(agree, voter);
    Recorder recorder = Recorder.open(operators.records(), "balance", operators.settings());
    HeldList cachedList = new HeldList(operators.fleet().stateFile());
    EngineListener listener = agreementListener == null ? recorder : new CompositeEngineListener(recorder, agreementListener);
    BalanceConfig b = operators.balance();
    FleetSource fleet = operators.fleet();
    EmbeddedBalancer.ListSourceFactory lists = (loop, f, onUpdate) -> openListSource(fleet, cachedList, loop, f, onUpdate);
    // The ledger is synced before clients are accepted: a starting instance must not send to upstreams that are out.
    EmbeddedBalancer balance = EmbeddedBalancer.start(new EmbeddedBalancer.Options(agree == null ? "balance" : agree.name(), b.listen(),
        b.management(), b.folder(), b.sockets(), (long) b.memoryMb() << 20, fleet.initialList(), operators.settings(),
        TimeUnit.MILLISECONDS.toNanos(b.idleMillis()), new SecureRandom().nextLong(), lists, listener, offlineControl -> {
          if (agree == null) {
            return;
          }
          Follower f = new Follower(agree, upstreams(offlineControl),
              TimeUnit.NANOSECONDS.toMillis(operators.settings().contract().slowStartNanos()), b.agreeMillis());
          agreementListener.follower = f;
          try {
            f.firstSync().get(b.agreeMillis(), TimeUnit.MILLISECONDS);
          } catch (TimeoutException e) {
            LOG.warn("no ledger received within {} ms: serving with all listed servers", b.agreeMillis());
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          } catch (ExecutionException e) {
            LOG.warn("ledger sync failed: {}", e.getCause().toString());
          }
        }));
    Follower follower = agreementListener == null ? null : agreementListener.follower;
    Signals.onHup(() -> reload(balance));
    System.out.println("balance listening on " + hostPort(balance.address()));
    if (balance.managementAddress() != null) {
      System.out.println("door listening on " + hostPort(balance.managementAddress()));
    }
    if (api != null) {
      System.out.println("agree listening on " + hostPort(api.address()));
    }
    System.out.flush();
    term.await();
    balance.stop();
    if (follower != null) {
      follower.close();
    }
    if (api != null) {
      api.close();
      voter.close();
    }
    cachedList.close();
    recorder.close();
    return 0;
  }

  /** Starts the voter; null if it can't start. The balancer serves its clients nevertheless, and the fleet lacks this vote. */
  private static Voter startVoter(AgreeConfig agree) {
    try {
      return Voter.start(agree);
    } catch (IOException e) {
      LOG.error("this instance does not vote: {}", e.getMessage());
      return null;
    }
  }

  private static Follower.Upstreams upstreams(EmbeddedBalancer.OfflineControl balance) {
    return new Follower.Upstreams() {
      @Override
      public CompletableFuture<Void> setOffline(String id, long forMillis) {
        return balance.setOffline(id, TimeUnit.MILLISECONDS.toNanos(forMillis));
      }

      @Override
      public CompletableFuture<Void> setOnline(String id) {
        return balance.setOnline(id);
      }
    };
  }

  private static Engine.ListSource openListSource(FleetSource source, HeldList cachedList, EventLoop loop, Fleet fleet,
      BiConsumer<ListKind, ServerList> onUpdate) {
    BiConsumer<ListKind, ServerList> cachingCallback = (kind, list) -> {
      onUpdate.accept(kind, list);
      if (kind != ListKind.FAILED) {
        cachedList.write(fleet.list());
      }
    };
    if (source.isStatic()) {
      return new StaticListSource(fleet, onUpdate);
    } else if (source.sourceFactory() != null) {
      return source.sourceFactory().open(loop, source.initialList(), fleet::revision, cachingCallback);
    }
    Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DISCOVERY_CONNECT_MILLIS);
    return new Discovery(bootstrap, source.discovery(), fleet::revision, cachingCallback);
  }

  private void reload(EmbeddedBalancer balance) {
    try {
      FleetSource read = OperatorsConfig.read(config).fleet();
      if (read.isStatic()) {
        balance.updateServerList(read.list()).get(RELOAD_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        LOG.info("server list reloaded: {}", read.list().members().size());
      }
    } catch (InvalidConfigException | ExecutionException | TimeoutException e) {
      LOG.warn("reload rejected, the previous configuration stays in effect: {}", e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String hostPort(InetSocketAddress a) {
    return a.getAddress().getHostAddress() + ":" + a.getPort();
  }
}
