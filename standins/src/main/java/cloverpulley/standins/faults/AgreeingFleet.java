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
public final class AgreeingFleet implements AutoCloseable {

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

  private final Plan plan;
  private final Path folder;
  private final List<Instance> all = new ArrayList<>();
  private final Map<String, Relay> relays = new HashMap<>();
  private final List<Integer> raft;
  private final List<Integer> api;

  /**
   * Writes the files and makes the voters' ledgers; nothing is started.
   *
   * @param ashdeck the command that stands for {@code ./ashdeck}
   */
  public AgreeingFleet(Path folder, List<String> ashdeck, Plan plan) throws IOException, InterruptedException {
    this.folder = folder;
    this.plan = plan;
    raft = ports(plan.voters());
    api = ports(plan.voters());
    for (int i = 0; plan.relays() && i < plan.voters(); i++) {
      for (int j = 0; j < plan.voters(); j++) {
        if (i != j) {
          relays.put(i + ">" + j, new Relay(loopback(raft.get(j))));
        }
      }
    }
    for (int i = 0; i < plan.voters() + plan.others(); i++) {
      Path config = config(i);
      Files.writeString(config, text(i));
      List<String> command = new ArrayList<>(ashdeck);
      command.addAll(List.of("balance", "--config", config.toString()));
      all.add(new Instance("b" + i, command, folder.resolve("b" + i + ".log")));
    }
    for (int i = 0; i < plan.voters(); i++) {
      List<String> command = new ArrayList<>(ashdeck);
      command.addAll(List.of("outs", "init", "--config", config(i).toString()));
      int status = new ProcessBuilder(command).inheritIO().redirectOutput(ProcessBuilder.Redirect.DISCARD).start().waitFor();
      if (status != 0) {
        throw new IOException("outs init ended with " + status);
      }
    }
  }

  private static List<Integer> ports(int n) throws IOException {
    List<ServerSocket> held = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      held.add(s);
      ports.add(s.getLocalPort());
    }
    for (ServerSocket s : held) {
      s.close();
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
    if (i < plan.voters()) {
      t.append("raft_listen = \"127.0.0.1:").append(raft.get(i)).append("\"\napi_listen = \"127.0.0.1:").append(api.get(i)).append("\"\n");
    }
    for (int j = 0; j < plan.voters(); j++) {
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
  public void cutOff(int voter, boolean cut) {
    relays.forEach((ends, relay) -> {
      if (ends.startsWith(voter + ">") || ends.endsWith(">" + voter)) {
        relay.pass(cut ? Relay.Passes.NOTHING : Relay.Passes.ALL);
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
