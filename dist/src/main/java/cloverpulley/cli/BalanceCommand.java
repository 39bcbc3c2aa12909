package cloverpulley.cli;

import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.Status;
import cloverpulley.Reason;
import cloverpulley.agree.AgreeApi;
import cloverpulley.agree.AgreeConfig;
import cloverpulley.agree.Follower;
import cloverpulley.agree.Voter;
import cloverpulley.config.BadFileException;
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
import cloverpulley.fleet.WrittenList;
import cloverpulley.outs.MemberKind;
import cloverpulley.outs.MembershipReconciler;
import cloverpulley.records.Recorder;
import cloverpulley.serve.Balance;
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
    description = "Runs the HTTP balancer from the operators' file: [balance], [fleet], and [agree] where a fleet agrees on who is out.",
    footer = {"", "Prints 'balance listening on HOST:PORT' once it serves. SIGTERM stops it in order, SIGHUP reads the list of servers again",
      "where the file holds one."})
final class BalanceCommand implements Callable<Integer> {

  private static final Logger LOG = LoggerFactory.getLogger(BalanceCommand.class);

  private static final int DISCOVERY_CONNECT_MILLIS = 2000;
  private static final int BACK_MILLIS = 500;

  @Option(names = "--config", paramLabel = "FILE", required = true, description = "the operators' file")
  private Path config;

  /** What the ledger's follower and the leader's roll hear of the engine; on its loop. */
  private static final class Ears implements EngineListener {
    private final AgreeConfig agree;
    private final Map<Long, String> names = new ConcurrentHashMap<>();
    private final Map<String, MembershipReconciler.Registration> listed = new HashMap<>();
    private volatile Follower follower;
    private final Voter voter;

    Ears(AgreeConfig agree, Voter voter) {
      this.agree = agree;
      this.voter = voter;
    }

    @Override
    public void requestAccepted(Exchange x) {}

    @Override
    public void attemptSent(Attempt attempt) {}

    @Override
    public void attemptEnded(Attempt attempt, Status status, long latencyNanos) {
      String name = names.get(attempt.upstream());
      if (name == null || follower == null || status == Status.CANCELLED || status == Status.NOT_SENT) {
        return;
      }
      boolean answered = status == Status.SERVED || status == Status.ERROR || status == Status.FULL;
      follower.recordAttempt(name, answered, status == Status.TIMEOUT);
    }

    @Override
    public void requestEnded(Exchange x, Completion end, Reason reason) {
      if (follower != null && end != Completion.GONE) {
        follower.recordRequest(end == Completion.REJECTED && reason != Reason.QUOTA); // A share of one's own used up says nothing of the fleet.
      }
    }

    @Override
    public void serverListUpdated(ListKind kind, ServerList list, List<NumberedServer> servers) {
      if (kind == ListKind.FULL || kind == ListKind.CACHED) {
        listed.clear();
      }
      for (NumberedServer n : servers) {
        ServerList.Server s = n.server();
        names.put(n.upstream(), s.id());
        if (s.state() == cloverpulley.Balancer.State.GONE) {
          listed.remove(s.id());
        } else {
          listed.put(s.id(), new MembershipReconciler.Registration(MemberKind.UPSTREAM, agree.groupsOf(s.id(), s.zone(), s.cell())));
        }
      }
      if (voter != null) {
        voter.setUpstreams(listed);
      }
    }

    @Override
    public void moduleReplaced(String event) {}
  }

  @Override
  public Integer call() throws BadFileException, IOException, InterruptedException {
    OperatorsConfig operators = OperatorsConfig.read(config);
    Logs.configure(operators.log());
    if (operators.balance() == null) {
      throw new IOException(config + ": balance: expected [balance], got nothing");
    }
    CountDownLatch term = Signals.term();
    AgreeConfig agree = operators.agree();
    Voter voter = agree == null || !agree.isVoter() ? null : vote(agree);
    AgreeApi api = voter == null ? null : new AgreeApi(voter, agree.apiListen());
    Ears ears = agree == null ? null : new Ears(agree, voter);
    Recorder recorder = Recorder.open(operators.records(), "balance", operators.settings());
    HeldList held = new HeldList(operators.fleet().stateFile());
    EngineListener witness = ears == null ? recorder : new CompositeEngineListener(recorder, ears);
    BalanceConfig b = operators.balance();
    FleetSource fleet = operators.fleet();
    Balance.Lists lists = (loop, f, news) -> open(fleet, held, loop, f, news);
    // The ledger is heard before clients are: one that starts must not send to what is out.
    Balance balance = Balance.start(new Balance.Given(agree == null ? "balance" : agree.name(), b.listen(), b.management(), b.folder(), b.sockets(),
        (long) b.memoryMb() << 20, fleet.first(), operators.settings(), TimeUnit.MILLISECONDS.toNanos(b.idleMillis()),
        new SecureRandom().nextLong(), lists, witness, wired -> {
          if (agree == null) {
            return;
          }
          Follower f = new Follower(agree, upstreams(wired), TimeUnit.NANOSECONDS.toMillis(operators.settings().contract().slowStartNanos()),
              b.agreeMillis());
          ears.follower = f;
          try {
            f.firstSync().get(b.agreeMillis(), TimeUnit.MILLISECONDS);
          } catch (TimeoutException e) {
            LOG.warn("the ledger was not heard within {} ms: serving all that the list has", b.agreeMillis());
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          } catch (ExecutionException e) {
            LOG.warn("the ledger: {}", e.getCause().toString());
          }
        }));
    Follower follower = ears == null ? null : ears.follower;
    Signals.onHup(() -> reload(balance));
    System.out.println("balance listening on " + text(balance.address()));
    if (balance.managementAddress() != null) {
      System.out.println("door listening on " + text(balance.managementAddress()));
    }
    if (api != null) {
      System.out.println("agree listening on " + text(api.address()));
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
    held.close();
    recorder.close();
    return 0;
  }

  /** A voter that can't be one serves all the same: what it holds for the fleet is missing, what it does for its clients is not. */
  private static Voter vote(AgreeConfig agree) {
    try {
      return Voter.start(agree);
    } catch (IOException e) {
      LOG.error("this instance does not vote: {}", e.getMessage());
      return null;
    }
  }

  private static Follower.Upstreams upstreams(Balance.Acts balance) {
    return new Follower.Upstreams() {
      @Override
      public CompletableFuture<Void> setOffline(String id, long forMillis) {
        return balance.takeOut(id, TimeUnit.MILLISECONDS.toNanos(forMillis));
      }

      @Override
      public CompletableFuture<Void> setOnline(String id) {
        return balance.callBack(id);
      }
    };
  }

  private static Engine.ListSource open(FleetSource source, HeldList held, EventLoop loop, Fleet fleet, BiConsumer<ListKind, ServerList> news) {
    BiConsumer<ListKind, ServerList> kept = (kind, list) -> {
      news.accept(kind, list);
      if (kind != ListKind.FAILED) {
        held.write(fleet.list());
      }
    };
    if (source.isWritten()) {
      return new WrittenList(fleet, news);
    } else if (source.opener() != null) {
      return source.opener().open(loop, source.first(), fleet::revision, kept);
    }
    Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DISCOVERY_CONNECT_MILLIS);
    return new Discovery(bootstrap, source.discovery(), fleet::revision, kept);
  }

  private void reload(Balance balance) {
    try {
      FleetSource read = OperatorsConfig.read(config).fleet();
      if (read.isWritten()) {
        balance.listed(read.list()).get(BACK_MILLIS, TimeUnit.MILLISECONDS);
        LOG.info("list of servers read again: {}", read.list().members().size());
      }
    } catch (BadFileException | ExecutionException | TimeoutException e) {
      LOG.warn("not taken, all stays as it was: {}", e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String text(InetSocketAddress a) {
    return a.getAddress().getHostAddress() + ":" + a.getPort();
  }
}
