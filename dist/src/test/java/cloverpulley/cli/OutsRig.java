package cloverpulley.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.agree.AgreeClient;
import cloverpulley.agree.AgreeConfig.VoterAddress;
import cloverpulley.outs.Command;
import cloverpulley.outs.Reply;
import cloverpulley.outs.LedgerState;
import cloverpulley.outs.ResultCode;
import cloverpulley.standins.StandInUpstream;
import cloverpulley.standins.StandInUpstream.Answer;
import cloverpulley.standins.faults.BalancerCluster;
import cloverpulley.standins.faults.BalancerCluster.Plan;
import cloverpulley.standins.faults.BalancerCluster.Upstream;
import cloverpulley.standins.faults.ContinuousClients;
import cloverpulley.standins.faults.Instance;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** Five balancer processes of the built jar, three of them voters connected by relays, six upstreams in two dedup groups, clients at each. */
abstract class OutsRig {

  static final int VOTERS = 3;
  static final int BALANCERS = 5;
  static final long DRAIN_GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);

  @TempDir
  Path folder;

  final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  final ExecutorService executor = Executors.newCachedThreadPool(task -> {
    Thread t = new Thread(task);
    t.setDaemon(true);
    return t;
  });
  final Map<String, StandInUpstream> upstreams = new ConcurrentHashMap<>();
  final Map<String, Long> outSince = new ConcurrentHashMap<>();
  final ContinuousClients asking = new ContinuousClients(5);
  BalancerCluster fleet;
  AgreeClient client;

  @BeforeEach
  void startFleet() throws Exception {
    List<Upstream> upstreamSpecs = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      StandInUpstream u = new StandInUpstream(group, r -> Answer.ok());
      upstreams.put("s" + i, u);
      upstreamSpecs.add(new Upstream("s" + i, u.address(), i / 3));
    }
    String groups = "[[agree.group]]\nname = \"upstreams\"\npart = 0.34\nback = 2\n[[agree.group]]\nname = \"cell:0\"\nmost = 1\n"
        + "[[agree.group]]\nname = \"cell:1\"\nmost = 1\n[[agree.group]]\nname = \"balancers\"\nmost = 1\n";
    fleet = new BalancerCluster(folder, List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1", "-Xmx48m", "-jar", System.getProperty("jar")), new Plan(VOTERS, BALANCERS - VOTERS, upstreamSpecs,
        groups, 300, 50, 1500, true));
    for (Instance i : fleet.instances()) {
      i.start();
    }
    List<VoterAddress> voters = new ArrayList<>();
    for (int i = 0; i < VOTERS; i++) {
      voters.add(new VoterAddress("b" + i, null, fleet.api(i)));
    }
    client = new AgreeClient(voters);
    for (Instance i : fleet.instances()) {
      asking.addClient(i);
    }
    await("all are enrolled", () -> fullState().members().size() == 6 + BALANCERS && fullState().rules().version() == 1
        && fullState().members().values().stream().noneMatch(LedgerState.Member::unwell));
  }

  @AfterEach
  void stopFleet() throws Exception {
    asking.close();
    if (fleet != null) {
      for (Instance i : fleet.instances()) {
        if (i.isAlive()) {
          i.resume();
        }
      }
      fleet.close();
    }
    upstreams.values().forEach(StandInUpstream::close);
    executor.shutdownNow();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  LedgerState fullState() throws IOException {
    return client.fullState();
  }

  static void await(String description, Callable<Boolean> condition) throws Exception {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
    Exception last = null;
    while (System.nanoTime() < until) {
      try {
        if (condition.call()) {
          return;
        }
      } catch (IOException e) {
        last = e;
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    throw new AssertionError("timed out: " + description, last);
  }

  Reply requestPermit(AgreeClient via, String name, String member, long waitMillis) throws IOException {
    Reply r = via.command(new Command.Ask(name, member, "it", "test", waitMillis, false), 20_000);
    if (r.isSuccess()) {
      outSince.putIfAbsent(member, System.nanoTime());
    }
    return r;
  }

  void markReturned(String member) throws IOException {
    assertEquals(ResultCode.DONE, client.command(new Command.Return(member, "it", fullState().outs().get(member).epoch()), 20_000).word());
  }

  AgreeClient clientOf(int voter) {
    return new AgreeClient(List.of(new VoterAddress("b" + voter, null, fleet.api(voter))));
  }

  int awaitLeader() throws Exception {
    await("there is a leader", () -> !client.leader().isEmpty() && fullState() != null && client.leader().startsWith("b"));
    return Integer.parseInt(client.leader().substring(1));
  }

  /** Checks that the member received no requests later than two seconds after the permit was granted. */
  void assertNoRequestsAfterGrace(String member) {
    long from = outSince.get(member) + DRAIN_GRACE_NANOS;
    assertEquals(0, upstreams.get(member).seen().stream().filter(s -> s.atNanos() > from).count(), member + " received requests after it was out");
  }

  void assertNoRequestLost() {
    assertEquals(0, asking.lost(), "responses other than 200 and rejections");
    assertTrue(asking.answered() > 100, "clients were active");
  }
}
