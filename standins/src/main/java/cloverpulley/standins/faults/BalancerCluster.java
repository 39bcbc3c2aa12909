package cloverpulley.standins.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Balancer processes that share a disruption ledger. The first ones are voters, each pair of which is connected by one relay per direction. The
 * upstreams are listed in the configuration files.
 */
public final class BalancerCluster implements AutoCloseable {

  /** An upstream of the configuration files. */
  public record Upstream(String id, String address, int cell) {}

  /**
   * The configuration of a cluster apart from addresses.
   *
   * @param groups the group limits, as TOML
   * @param warmMillis duration of the slow start of an upstream
   * @param relays whether voters are connected through relays rather than directly
   */
  public record Plan(int voters, int others, List<Upstream> upstreams, String groups, long warmMillis, int pollMillis, int silentMillis,
      boolean relays) {}

  private static final int FIRST_PORT = 12_000;
  private static final int PORTS = 20_000;
  private static final java.security.SecureRandom RANDOM = new java.security.SecureRandom();

  private final Plan plan;
  private final Path folder;
  private final List<Instance> instances = new ArrayList<>();
  private final Map<String, Relay> relays = new HashMap<>();
  private final List<String> ashdeck;
  private final List<Integer> voterIndexes = new ArrayList<>();
  private final List<Integer> raftPorts;
  private final List<Integer> apiPorts;

  /**
   * Writes the configuration files and initializes the voters' ledgers without starting any process.
   *
   * @param ashdeck the command that stands for {@code ./ashdeck}
   */
  public BalancerCluster(Path folder, List<String> ashdeck, Plan plan) throws IOException, InterruptedException {
    this.folder = folder;
    this.plan = plan;
    this.ashdeck = List.copyOf(ashdeck);
    raftPorts = ports(plan.voters() + plan.others());
    apiPorts = ports(plan.voters() + plan.others());
    for (int i = 0; i < plan.voters(); i++) {
      voterIndexes.add(i);
    }
    createRelays();
    for (int i = 0; i < plan.voters() + plan.others(); i++) {
      Files.writeString(config(i), configText(i));
      instances.add(new Instance("b" + i, command(i), folder.resolve("b" + i + ".log")));
    }
    for (int i : voterIndexes) {
      init(i, false);
    }
  }

  private void createRelays() throws IOException {
    for (int i : voterIndexes) {
      for (int j : voterIndexes) {
        if (plan.relays() && i != j && relayBetween(i, j) == null) {
          relays.put(i + ">" + j, new Relay(loopback(raftPorts.get(j))));
        }
      }
    }
  }

  private void init(int i, boolean join) throws IOException, InterruptedException {
    List<String> command = new ArrayList<>(ashdeck);
    command.addAll(List.of("outs", "init", "--config", config(i).toString()));
    if (join) {
      command.add("--join");
    }
    int status = new ProcessBuilder(command).inheritIO().redirectOutput(ProcessBuilder.Redirect.DISCARD).start().waitFor();
    if (status != 0) {
      throw new IOException("outs init exited with status " + status);
    }
  }

  /** Replaces a voter in all configuration files, effective at each instance's next start, and initializes the new voter's ledger. */
  public void replaceVoter(int from, int to) throws IOException, InterruptedException {
    voterIndexes.set(voterIndexes.indexOf(from), to);
    createRelays();
    for (int i = 0; i < instances.size(); i++) {
      Files.writeString(config(i), configText(i));
    }
    init(to, true);
  }

  /** Returns a second process of an instance, as in an upgrade. The caller has to close it. */
  public Instance secondProcess(int i) {
    return new Instance("b" + i, command(i), folder.resolve("b" + i + "-second.log"));
  }

  /** Simulates a full disk: from its next start on, an instance can write at most this many 512-byte blocks per file; 0 removes the limit. */
  public void limitFileSize(int i, int blocks) {
    List<String> limited = new ArrayList<>(blocks == 0 ? List.of()
        : List.of("/bin/sh", "-c", "ulimit -f " + blocks + "; exec \"$0\" \"$@\""));
    limited.addAll(command(i));
    instances.set(i, new Instance("b" + i, limited, folder.resolve("b" + i + ".log")));
  }

  private List<String> command(int i) {
    List<String> command = new ArrayList<>(ashdeck);
    command.addAll(List.of("balance", "--config", config(i).toString()));
    return command;
  }

  /** Returns free ports below the ephemeral range: a client connection could take an ephemeral port before the listener binds it. */
  private static List<Integer> ports(int n) throws IOException {
    List<Integer> ports = new ArrayList<>();
    for (int attempts = 0; ports.size() < n; attempts++) {
      int port = FIRST_PORT + RANDOM.nextInt(PORTS);
      try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        if (!ports.contains(port)) {
          ports.add(s.getLocalPort());
        }
      } catch (IOException e) {
        if (attempts > 100 * n) {
          throw e;
        }
      }
    }
    return ports;
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** Returns the configuration file of an instance. */
  public Path config(int i) {
    return folder.resolve("b" + i + ".toml");
  }

  private String configText(int i) {
    StringBuilder t = new StringBuilder("[service]\nzone = \"a\"\nwarm_within_ms = " + plan.warmMillis() + "\n\n"
        + "[[class]]\nname = \"lookup\"\neffect = \"safe\"\naim_ms = 400\ndeadline_ms = 2000\n\n"
        + "[log]\nlevel = \"info\"\nformat = \"text\"\n\n[balance]\nlisten = \"127.0.0.1:0\"\nmemory_mb = 64\nsockets = 512\n\n");
    for (Upstream u : plan.upstreams()) {
      t.append("[[fleet.server]]\nid = \"").append(u.id()).append("\"\naddress = \"").append(u.address()).append("\"\nzone = \"a\"\ncell = ")
          .append(u.cell()).append("\n\n");
    }
    t.append("[agree]\nfleet = \"test\"\nname = \"b").append(i).append("\"\nfolder = \"").append(folder).append("\"\npoll_ms = ")
        .append(plan.pollMillis()).append("\nsilent_ms = ").append(plan.silentMillis()).append("\nwords = 2\n");
    if (voterIndexes.contains(i)) {
      t.append("raft_listen = \"127.0.0.1:").append(raftPorts.get(i)).append("\"\napi_listen = \"127.0.0.1:").append(apiPorts.get(i)).append("\"\n");
    }
    for (int j : voterIndexes) {
      Relay relay = relays.get(i + ">" + j);
      t.append("[[agree.voter]]\nname = \"b").append(j).append("\"\nraft = \"127.0.0.1:")
          .append(relay == null ? raftPorts.get(j) : relay.address().getPort()).append("\"\napi = \"127.0.0.1:").append(apiPorts.get(j))
          .append("\"\n");
    }
    return t.append(plan.groups()).toString();
  }

  /** Returns the instances, voters first. */
  public List<Instance> instances() {
    return instances;
  }

  /** Returns the relay that carries connections from the first voter to the second. */
  public Relay relayBetween(int from, int to) {
    return relays.get(from + ">" + to);
  }

  /** Cuts the relays between a voter and all other voters, or restores them. */
  public void isolate(int voter, boolean isolated) {
    relays.forEach((ends, relay) -> {
      if (ends.startsWith(voter + ">") || ends.endsWith(">" + voter)) {
        relay.allow(isolated ? Relay.Direction.NONE : Relay.Direction.BOTH);
      }
    });
  }

  /** Returns the API address of a voter. */
  public InetSocketAddress api(int voter) {
    return loopback(apiPorts.get(voter));
  }

  @Override
  public void close() throws IOException {
    instances.forEach(Instance::close);
    for (Relay r : relays.values()) {
      r.close();
    }
  }
}
