package cloverpulley.cli;

import cloverpulley.agree.AgreeClient;
import cloverpulley.agree.AgreeConfig;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.outs.Command;
import cloverpulley.outs.DisruptionLedger;
import cloverpulley.outs.Limit;
import cloverpulley.outs.Phase;
import cloverpulley.outs.VoterReplacement;
import cloverpulley.outs.Reply;
import cloverpulley.outs.LedgerState;
import cloverpulley.outs.ResultCode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@picocli.CommandLine.Command(name = "outs", mixinStandardHelpOptions = true,
    description = "Queries and changes the fleet's disruption ledger: which members are out, and which may be.",
    footer = {"", "Exit status: 0 on success; 1 if rejected, with the reason in one line; 2 for an invalid command line."},
    subcommands = {OutsCommand.Init.class, OutsCommand.RequestPermit.class, OutsCommand.MarkOut.class, OutsCommand.MarkReturned.class,
      OutsCommand.RemoveMember.class, OutsCommand.ReplaceVoter.class, OutsCommand.Show.class, OutsCommand.Why.class,
      OutsCommand.AddHalt.class, OutsCommand.LiftHalt.class, OutsCommand.ReturnAll.class, OutsCommand.History.class})
final class OutsCommand implements Runnable {

  private static final long COMMAND_TIMEOUT_MILLIS = 5000;
  private static final long POLL_MILLIS = 50;

  @Override
  public void run() {
    picocli.CommandLine.usage(this, System.out);
  }

  /** Options of all subcommands. */
  static final class LedgerOptions {
    @Option(names = "--config", paramLabel = "FILE", required = true, description = "the operators' file, with [agree]")
    private Path config;

    @Option(names = "--by", paramLabel = "WHO", description = "the requester (default: ${DEFAULT-VALUE})", defaultValue = "${sys:user.name}")
    private String by;

    AgreeConfig agree() throws InvalidConfigException, IOException {
      AgreeConfig agree = OperatorsConfig.read(config).agree();
      if (agree == null) {
        throw new IOException(config + ": agree: expected a table [agree], got nothing");
      }
      return agree;
    }

    AgreeClient client() throws InvalidConfigException, IOException {
      return new AgreeClient(agree().voters());
    }
  }

  /** Prints a reply in one line and returns the exit status. */
  static int printReply(String subject, Reply r) {
    String line = subject + ": " + r.word().text() + (r.binding().isEmpty() ? "" : " " + r.binding())
        + (r.holders().isEmpty() ? "" : ", held by " + String.join(" ", r.holders())) + (r.epoch() > 0 ? ", epoch " + r.epoch() : "")
        + ", index " + r.index();
    System.out.println(line);
    return r.isSuccess() ? 0 : 1;
  }

  @picocli.CommandLine.Command(name = "init", mixinStandardHelpOptions = true,
      description = "Creates the journal of a new voter. Never use it for a voter that lost its journal: it could vote twice.")
  static final class Init implements Callable<Integer> {
    @Mixin
    private LedgerOptions options;

    @Option(names = "--join", description = "for a voter that replaces another in an existing set of voters")
    private boolean join;

    @Override
    public Integer call() throws InvalidConfigException, IOException {
      System.out.println("created " + options.agree().init(join));
      return 0;
    }
  }

  @picocli.CommandLine.Command(name = "ask", mixinStandardHelpOptions = true, description = "Requests a permit for a balancer or upstream to be out.")
  static final class RequestPermit implements Callable<Integer> {
    @Mixin
    private LedgerOptions options;

    @Parameters(paramLabel = "ID", description = "its name")
    private String id;

    @Option(names = "--why", paramLabel = "TEXT", required = true, description = "the reason, for the history")
    private String why;

    @Option(names = "--wait", paramLabel = "SECONDS", description = "how long to wait in the queue (default: 0, no waiting)")
    private long waitSeconds;

    @Option(names = "--acted", description = "waits until all instances have acted on it (5 s at most), and names those that have not")
    private boolean acted;

    @Option(names = "--force", description = "overrides limits and halts; recorded as forced")
    private boolean force;

    @Option(names = "--ask", paramLabel = "NAME", description = "a unique name of the request: repeating it with the same name is idempotent")
    private String name;

    @Override
    public Integer call() throws InvalidConfigException, IOException, InterruptedException {
      AgreeClient client = options.client();
      String requestId = name == null ? UUID.randomUUID().toString() : name;
      Command.Ask command = new Command.Ask(requestId, id, options.by, why, TimeUnit.SECONDS.toMillis(waitSeconds), force);
      long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(waitSeconds);
      Reply r = client.command(command, COMMAND_TIMEOUT_MILLIS);
      while (r.word() == ResultCode.WAITING && System.nanoTime() < deadlineNanos) {
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS * 4);
        r = client.command(command, COMMAND_TIMEOUT_MILLIS); // The same request name: returns its present state.
      }
      int exitStatus = printReply(id, r);
      return exitStatus == 0 && acted ? acted(client, r.epoch()) : exitStatus;
    }

    private int acted(AgreeClient client, long epoch) throws IOException, InterruptedException {
      long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(COMMAND_TIMEOUT_MILLIS);
      List<String> lagging = client.laggingInstances(epoch);
      while (!lagging.isEmpty() && System.nanoTime() < deadlineNanos) {
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        lagging = client.laggingInstances(epoch);
      }
      System.out.println(lagging.isEmpty() ? id + ": acted on by all" : id + ": not acted on by " + String.join(" ", lagging));
      return lagging.isEmpty() ? 0 : 1;
    }
  }

  /** A command whose only parameter is a member's name. */
  abstract static class MemberCommand implements Callable<Integer> {
    @Mixin
    LedgerOptions options;

    @Parameters(paramLabel = "ID", description = "its name")
    String id;
  }

  @picocli.CommandLine.Command(name = "left", mixinStandardHelpOptions = true, description = "Reports that a member with a permit is out now.")
  static final class MarkOut extends MemberCommand {
    @Override
    public Integer call() throws InvalidConfigException, IOException {
      AgreeClient client = options.client();
      LedgerState.Permit out = client.fullState().outs().get(id);
      return printReply(id, client.command(new Command.Left(id, out == null ? 0 : out.epoch()), COMMAND_TIMEOUT_MILLIS));
    }
  }

  @picocli.CommandLine.Command(name = "return", mixinStandardHelpOptions = true,
      description = "Reports that a member is back. Instances send to it again in slow start; it counts as out until it is observed to be warm.")
  static final class MarkReturned extends MemberCommand {
    @Override
    public Integer call() throws InvalidConfigException, IOException {
      AgreeClient client = options.client();
      LedgerState.Permit out = client.fullState().outs().get(id);
      return printReply(id, client.command(new Command.Return(id, options.by, out == null ? 0 : out.epoch()), COMMAND_TIMEOUT_MILLIS));
    }
  }

  @picocli.CommandLine.Command(name = "strike", mixinStandardHelpOptions = true,
      description = "Removes a member that won't come back: otherwise a decommissioned balancer would count as out forever.")
  static final class RemoveMember extends MemberCommand {
    @Override
    public Integer call() throws InvalidConfigException, IOException {
      return printReply(id, options.client().command(new Command.Strike(id), COMMAND_TIMEOUT_MILLIS));
    }
  }

  @picocli.CommandLine.Command(name = "replace", mixinStandardHelpOptions = true,
      description = "Replaces a lost voter by a new one. Both names are those in the voters' files. If interrupted, repeat it to resume.")
  static final class ReplaceVoter implements Callable<Integer> {
    @Mixin
    private LedgerOptions options;

    @Parameters(index = "0", paramLabel = "OLD", description = "the voter to remove")
    private String from;

    @Parameters(index = "1", paramLabel = "NEW", description = "the voter to add")
    private String to;

    @Override
    public Integer call() throws InvalidConfigException, IOException {
      VoterReplacement.Next last = options.client().replace(from, to, COMMAND_TIMEOUT_MILLIS,
          n -> System.out.println(n.voter() + ": " + n.step().name().toLowerCase(java.util.Locale.ROOT)));
      boolean done = last.step() == VoterReplacement.Step.DONE;
      System.out.println(done ? to + ": replaces " + from + " as a voter; run `outs strike " + from + "` once it is decommissioned"
          : from + ": not replaced, " + last.why());
      return done ? 0 : 1;
    }
  }

  @picocli.CommandLine.Command(name = "show", mixinStandardHelpOptions = true,
      description = "Shows which members are out, the halts, and the disruption budget of each group.")
  static final class Show implements Callable<Integer> {
    @Mixin
    private LedgerOptions options;

    @Override
    public Integer call() throws InvalidConfigException, IOException {
      AgreeClient client = options.client();
      LedgerState s = client.fullState();
      System.out.println("index " + s.index() + ", leader " + (client.leader().isEmpty() ? "nobody" : client.leader()) + ", "
          + s.members().size() + " members");
      s.halts().forEach((name, h) -> System.out.println("halt " + name + " by " + h.by() + " since " + Instant.ofEpochMilli(h.sinceMillis())
          + ": " + h.why()));
      s.outs().forEach((name, o) -> System.out.println("out " + name + " " + o.phase().name().toLowerCase(java.util.Locale.ROOT)
          + (o.forced() ? " forced" : "") + " by " + o.by() + " since " + Instant.ofEpochMilli(o.sinceMillis()) + ": " + o.why()));
      s.members().forEach((name, m) -> {
        if (m.unwell()) {
          System.out.println("unwell " + name + " " + m.words().entrySet().stream()
              .map(e -> e.getKey() + "=" + e.getValue().health().name().toLowerCase(java.util.Locale.ROOT)).toList());
        }
      });
      s.queue().forEach(w -> System.out.println("waits " + w.member() + " by " + w.by() + " until " + Instant.ofEpochMilli(w.untilMillis())));
      groups(s).forEach((name, g) -> System.out.println("group " + name + " " + g[1] + " out of " + g[0]
          + (s.rules().groups().containsKey(name) ? ", " + s.rules().groups().get(name).maxOut(g[0]) + " may be" : ", no limit")));
      return 0;
    }

    private static Map<String, int[]> groups(LedgerState s) {
      Map<String, int[]> groups = new TreeMap<>();
      s.members().forEach((name, m) -> m.groups().forEach(g -> {
        int[] sizes = groups.computeIfAbsent(g, k -> new int[2]);
        sizes[0]++;
        sizes[1] += m.unwell() || s.outs().containsKey(name) ? 1 : 0;
      }));
      return groups;
    }
  }

  @picocli.CommandLine.Command(name = "why", mixinStandardHelpOptions = true,
      description = "Shows why a member is out or, if it is not, whether a permit would be granted now. Read-only.")
  static final class Why extends MemberCommand {
    @Override
    public Integer call() throws InvalidConfigException, IOException {
      LedgerState s = options.client().fullState();
      LedgerState.Member m = s.members().get(id);
      if (m == null) {
        System.out.println(id + ": " + ResultCode.UNKNOWN_MEMBER.text());
        return 1;
      }
      LedgerState.Permit out = s.outs().get(id);
      if (out != null) {
        System.out.println(id + ": " + out.phase().name().toLowerCase(java.util.Locale.ROOT) + " by " + out.by() + ": " + out.why()
            + (out.phase() == Phase.RETURNING ? "; counts as out until it is observed to be warm" : ""));
        return 0;
      }
      DisruptionLedger copy = new DisruptionLedger();
      copy.restore(s);
      Reply r = copy.apply(s.index() + 1, s.nowMillis(), new Command.Ask("why " + UUID.randomUUID(), id, "why", "", 0, false));
      System.out.println(id + ": in service" + (m.unwell() ? ", unwell" : "") + "; a request would be " + (r.isSuccess() ? "granted"
          : r.word().text() + " " + r.binding() + (r.holders().isEmpty() ? "" : ", held by " + String.join(" ", r.holders()))));
      return 0;
    }
  }

  @picocli.CommandLine.Command(name = "halt", mixinStandardHelpOptions = true,
      description = "Adds a halt: no further permits are granted until it is lifted by its name.")
  static final class AddHalt implements Callable<Integer> {
    @Mixin
    private LedgerOptions options;

    @Option(names = "--why", paramLabel = "TEXT", required = true, description = "the reason")
    private String why;

    @Option(names = "--name", paramLabel = "NAME", description = "the halt's name (default: ${DEFAULT-VALUE})", defaultValue = "by-hand")
    private String name;

    @Override
    public Integer call() throws InvalidConfigException, IOException {
      return printReply("halt " + name, options.client().command(new Command.Halt(name, options.by, why), COMMAND_TIMEOUT_MILLIS));
    }
  }

  @picocli.CommandLine.Command(name = "resume", mixinStandardHelpOptions = true, description = "Lifts a halt.")
  static final class LiftHalt implements Callable<Integer> {
    @Mixin
    private LedgerOptions options;

    @Parameters(paramLabel = "NAME", description = "the halt's name, as printed by `show`")
    private String name;

    @Override
    public Integer call() throws InvalidConfigException, IOException {
      return printReply("halt " + name, options.client().command(new Command.Resume(name, options.by), COMMAND_TIMEOUT_MILLIS));
    }
  }

  @picocli.CommandLine.Command(name = "back", mixinStandardHelpOptions = true,
      description = "Returns all members that are out, a few at a time. The fleet continues by itself after this command has exited.")
  static final class ReturnAll implements Callable<Integer> {
    @Mixin
    private LedgerOptions options;

    @Option(names = "--all", description = "returns the members of all groups")
    private boolean all;

    @Parameters(paramLabel = "GROUP", arity = "0..1", description = "returns the members of this group")
    private String group;

    @Override
    public Integer call() throws InvalidConfigException, IOException {
      if (all == (group != null)) {
        throw new picocli.CommandLine.ParameterException(new picocli.CommandLine(this), "expected --all or one GROUP");
      }
      return printReply("back " + (all ? "all" : group),
          options.client().command(new Command.Back(all ? "" : group, options.by), COMMAND_TIMEOUT_MILLIS));
    }
  }

  @picocli.CommandLine.Command(name = "history", mixinStandardHelpOptions = true, description = "Shows the latest changes.")
  static final class History implements Callable<Integer> {
    @Mixin
    private LedgerOptions options;

    @Override
    public Integer call() throws InvalidConfigException, IOException {
      for (LedgerState.HistoryEntry c : options.client().fullState().history()) {
        System.out.println(c.index() + " " + Instant.ofEpochMilli(c.atMillis()) + " " + c.what() + " " + c.member()
            + (c.by().isEmpty() ? "" : " by " + c.by()) + (c.why().isEmpty() ? "" : ": " + c.why()));
      }
      return 0;
    }
  }

  /** Returns the groups of the file's servers whose limits can never grant a permit. */
  static List<String> neverGrant(OperatorsConfig read) {
    Map<String, Integer> sizes = new TreeMap<>();
    if (read.fleet().isStatic()) {
      read.fleet().list().members().forEach(s -> read.agree().groupsOf(s.id(), s.zone(), s.cell()).forEach(g -> sizes.merge(g, 1, Integer::sum)));
    }
    sizes.put(AgreeConfig.VOTERS, read.agree().voters().size());
    Map<String, Limit> limits = new TreeMap<>(read.agree().rules().groups());
    return new ArrayList<>(DisruptionLedger.neverGrant(limits, sizes));
  }
}
