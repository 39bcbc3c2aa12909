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
 * Balancers that agree on who is out, as processes: the first few vote, each pair of voters is joined by a relay each way, and upstreams
 * are written in their files.
 */
public final class BalancerCluster implements AutoCloseable {

  /** An upstream as lists name it. */
  public record Upstream(String id, String address, int cell) {}

  /**
   * What the files say beside addresses.
   *
   * @param groups the limits, as TOML
   * @param warmMillis how long an upstream takes until it is warm
   * @param relays whether voters are joined by relays; without, directly
   */
  public record Plan(int voters, int others, List<Upstream> upstreams, String groups, long warmMillis, int pollMillis, int silentMillis,
      boolean relays) {}

  private static final int FIRST_PORT = 12_000;
  private static final int PORTS = 20_000;
  private static final java.security.SecureRandom RANDOM = new java.security.SecureRandom();

  private final Plan plan;
  private final Path folder;
  private final List<Instance> all = new ArrayList<>();
  private final Map<String, Relay> relays = new HashMap<>();
  private final List<String> ashdeck;
  private final List<Integer> voting = new ArrayList<>();
  private final List<Integer> raft;
  private final List<Integer> api;

  /**
   * Writes the files and makes the voters' ledgers; nothing is started.
   *
   * @param ashdeck the command that stands for {@code ./ashdeck}
   */
  public BalancerCluster(Path folder, List<String> ashdeck, Plan plan) throws IOException, InterruptedException {
    this.folder = folder;
    this.plan = plan;
    this.ashdeck = List.copyOf(ashdeck);
    raft = ports(plan.voters() + plan.others());
    api = ports(plan.voters() + plan.others());
    for (int i = 0; i < plan.voters(); i++) {
      voting.add(i);
    }
    join();
    for (int i = 0; i < plan.voters() + plan.others(); i++) {
      Files.writeString(config(i), text(i));
      all.add(new Instance("b" + i, command(i), folder.resolve("b" + i + ".log")));
    }
    for (int i : voting) {
      init(i, false);
    }
  }

  private void join() throws IOException {
    for (int i : voting) {
      for (int j : voting) {
        if (plan.relays() && i != j && link(i, j) == null) {
          relays.put(i + ">" + j, new Relay(loopback(raft.get(j))));
        }
      }
    }
  }

  private void init(int i, boolean joins) throws IOException, InterruptedException {
    List<String> command = new ArrayList<>(ashdeck);
    command.addAll(List.of("outs", "init", "--config", config(i).toString()));
    if (joins) {
      command.add("--join");
    }
    int status = new ProcessBuilder(command).inheritIO().redirectOutput(ProcessBuilder.Redirect.DISCARD).start().waitFor();
    if (status != 0) {
      throw new IOException("outs init ended with " + status);
    }
  }

  /** From their next start on all have another voter in the place of this one, whose ledger is made. */
  public void replaceVoter(int from, int to) throws IOException, InterruptedException {
    voting.set(voting.indexOf(from), to);
    join();
    for (int i = 0; i < all.size(); i++) {
      Files.writeString(config(i), text(i));
    }
    init(to, true);
  }

  /** One more process of an instance, as in an upgrade; whoever asks for it ends it. */
  public Instance secondProcess(int i) {
    return new Instance("b" + i, command(i), folder.resolve("b" + i + "-second.log"));
  }

  /** From its next start on an instance can write no file past so many blocks of 512 octets, as on a disk that is full. */
  public void limitFileSize(int i, int blocks) {
    List<String> limited = new ArrayList<>(blocks == 0 ? List.of()
        : List.of("/bin/sh", "-c", "ulimit -f " + blocks + "; exec \"$0\" \"$@\""));
    limited.addAll(command(i));
    all.set(i, new Instance("b" + i, limited, folder.resolve("b" + i + ".log")));
  }

  private List<String> command(int i) {
    List<String> command = new ArrayList<>(ashdeck);
    command.addAll(List.of("balance", "--config", config(i).toString()));
    return command;
  }

  /** Free ones below those that the system gives to connections: one of those might be taken by a client before its listener is there. */
  private static List<Integer> ports(int n) throws IOException {
    List<Integer> ports = new ArrayList<>();
    for (int tries = 0; ports.size() < n; tries++) {
      int port = FIRST_PORT + RANDOM.nextInt(PORTS);
      try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        if (!ports.contains(port)) {
          ports.add(s.getLocalPort());
        }
      } catch (IOException e) {
        if (tries > 100 * n) {
          throw e;
        }
      }
    }
    return ports;
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** The file of an instance. */
  public Path config(int i) {
    return folder.resolve("b" + i + ".toml");
  }

  private String text(int i) {
    StringBuilder t = new StringBuilder("[service]\nzone = \"a\"\nwarm_within_ms = " + plan.warmMillis() + "\n\n"
        + "[[class]]\nname = \"lookup\"\neffect = \"safe\"\naim_ms = 400\ndeadline_ms = 2000\n\n"
        + "[log]\nlevel = \"info\"\nformat = \"text\"\n\n[balance]\nlisten = \"127.0.0.1:0\"\nmemory_mb = 64\nsockets = 512\n\n");
    for (Upstream u : plan.upstreams()) {
      t.append("[[fleet.server]]\nid = \"").append(u.id()).append("\"\naddress = \"").append(u.address()).append("\"\nzone = \"a\"\ncell = ")
          .append(u.cell()).append("\n\n");
    }
    t.append("[agree]\nfleet = \"test\"\nname = \"b").append(i).append("\"\nfolder = \"").append(folder).append("\"\npoll_ms = ")
        .append(plan.pollMillis()).append("\nsilent_ms = ").append(plan.silentMillis()).append("\nwords = 2\n");
    if (voting.contains(i)) {
      t.append("raft_listen = \"127.0.0.1:").append(raft.get(i)).append("\"\napi_listen = \"127.0.0.1:").append(api.get(i)).append("\"\n");
    }
    for (int j : voting) {
      Relay relay = relays.get(i + ">" + j);
      t.append("[[agree.voter]]\nname = \"b").append(j).append("\"\nraft = \"127.0.0.1:")
          .append(relay == null ? raft.get(j) : relay.address().getPort()).append("\"\napi = \"127.0.0.1:").append(api.get(j)).append("\"\n");
    }
    return t.append(plan.groups()).toString();
  }

  /** The instances, voters first. */
  public List<Instance> instances() {
    return all;
  }

  /** What joins two voters, from the first to the second. */
  public Relay link(int from, int to) {
    return relays.get(from + ">" + to);
  }

  /** One voter hears and is heard by no other any more, or again. */
  public void isolate(int voter, boolean cut) {
    relays.forEach((ends, relay) -> {
      if (ends.startsWith(voter + ">") || ends.endsWith(">" + voter)) {
        relay.allow(cut ? Relay.Direction.NONE : Relay.Direction.BOTH);
      }
    });
  }

  /** Where a voter is asked. */
  public InetSocketAddress api(int voter) {
    return loopback(api.get(voter));
  }

  @Override
  public void close() throws IOException {
    all.forEach(Instance::close);
    for (Relay r : relays.values()) {
      r.close();
    }
  }
}
