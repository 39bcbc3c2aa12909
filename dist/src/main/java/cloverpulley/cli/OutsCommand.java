package cloverpulley.cli;

import cloverpulley.agree.AgreeClient;
import cloverpulley.agree.AgreeConfig;
import cloverpulley.config.BadFileException;
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
    description = "Asks the ledger that the fleet agrees on: who is out, and who may be.",
    footer = {"", "Exit status: 0 yes; 1 no, with the reason in one line; 2 for a wrong command line."},
    subcommands = {OutsCommand.Init.class, OutsCommand.AskFor.class, OutsCommand.LeftNow.class, OutsCommand.ReturnNow.class, OutsCommand.StrikeOut.class, OutsCommand.ReplaceVoter.class,
      OutsCommand.Show.class, OutsCommand.Why.class, OutsCommand.HaltAll.class, OutsCommand.ResumeAll.class, OutsCommand.BackAll.class,
      OutsCommand.History.class})
final class OutsCommand implements Runnable {

  private static final long TRY_MILLIS = 5000;
  private static final long LOOK_MILLIS = 50;

  @Override
  public void run() {
    picocli.CommandLine.usage(this, System.out);
  }

  /** What all of them need. */
  static final class Common {
    @Option(names = "--config", paramLabel = "FILE", required = true, description = "the operators' file, with [agree]")
    private Path config;

    @Option(names = "--by", paramLabel = "WHO", description = "who asks (default: ${DEFAULT-VALUE})", defaultValue = "${sys:user.name}")
    private String by;

    AgreeConfig agree() throws BadFileException, IOException {
      AgreeConfig agree = OperatorsConfig.read(config).agree();
      if (agree == null) {
        throw new IOException(config + ": agree: expected [agree], got nothing");
      }
      return agree;
    }

    AgreeClient client() throws BadFileException, IOException {
      return new AgreeClient(agree().voters());
    }
  }

  /** One line, and the status that goes with it. */
  static int say(String what, Reply r) {
    String line = what + ": " + r.word().text() + (r.binding().isEmpty() ? "" : " " + r.binding())
        + (r.holders().isEmpty() ? "" : ", held by " + String.join(" ", r.holders())) + (r.epoch() > 0 ? ", epoch " + r.epoch() : "")
        + ", index " + r.index();
    System.out.println(line);
    return r.isSuccess() ? 0 : 1;
  }

  @picocli.CommandLine.Command(name = "init", mixinStandardHelpOptions = true,
      description = "Makes the file of a voter that has never been one. Never for a voter that lost its file: it could vote twice.")
  static final class Init implements Callable<Integer> {
    @Mixin
    private Common common;

    @Option(names = "--join", description = "it takes another's place: the others have their files already")
    private boolean joins;

    @Override
    public Integer call() throws BadFileException, IOException {
      System.out.println("made " + common.agree().init(joins));
      return 0;
    }
  }

  @picocli.CommandLine.Command(name = "ask", mixinStandardHelpOptions = true, description = "Asks that a balancer or upstream may be out.")
  static final class AskFor implements Callable<Integer> {
    @Mixin
    private Common common;

    @Parameters(paramLabel = "ID", description = "its name")
    private String id;

    @Option(names = "--why", paramLabel = "TEXT", required = true, description = "why, for who looks later")
    private String why;

    @Option(names = "--wait", paramLabel = "SECONDS", description = "how long to wait for its turn (default: 0, now or not)")
    private long waitSeconds;

    @Option(names = "--acted", description = "wait until all instances have acted on it (5 s at most), and name those that have not")
    private boolean acted;

    @Option(names = "--force", description = "whatever limits and halts say; recorded as forced")
    private boolean force;

    @Option(names = "--ask", paramLabel = "NAME", description = "the ask's own name: the same one again is the same ask")
    private String name;

    @Override
    public Integer call() throws BadFileException, IOException, InterruptedException {
      AgreeClient client = common.client();
      String ask = name == null ? UUID.randomUUID().toString() : name;
      Command.Ask command = new Command.Ask(ask, id, common.by, why, TimeUnit.SECONDS.toMillis(waitSeconds), force);
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(waitSeconds);
      Reply r = client.command(command, TRY_MILLIS);
      while (r.word() == ResultCode.WAITING && System.nanoTime() < until) {
        TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS * 4);
        r = client.command(command, TRY_MILLIS); // The same ask: it is told where it stands.
      }
      int status = say(id, r);
      return status == 0 && acted ? acted(client, r.epoch()) : status;
    }

    private int acted(AgreeClient client, long epoch) throws IOException, InterruptedException {
      long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TRY_MILLIS);
      List<String> missing = client.laggingInstances(epoch);
      while (!missing.isEmpty() && System.nanoTime() < until) {
        TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
        missing = client.laggingInstances(epoch);
      }
      System.out.println(missing.isEmpty() ? id + ": acted on by all" : id + ": not acted on by " + String.join(" ", missing));
      return missing.isEmpty() ? 0 : 1;
    }
  }

  /** A command with a member's name and nothing else. */
  abstract static class OnMember implements Callable<Integer> {
    @Mixin
    Common common;

    @Parameters(paramLabel = "ID", description = "its name")
    String id;
  }

  @picocli.CommandLine.Command(name = "left", mixinStandardHelpOptions = true, description = "Says that one with a permit is out now.")
  static final class LeftNow extends OnMember {
    @Override
    public Integer call() throws BadFileException, IOException {
      AgreeClient client = common.client();
      LedgerState.Permit out = client.fullState().outs().get(id);
      return say(id, client.command(new Command.Left(id, out == null ? 0 : out.epoch()), TRY_MILLIS));
    }
  }

  @picocli.CommandLine.Command(name = "return", mixinStandardHelpOptions = true,
      description = "Says that one is back: modules send to it again, as to a cold one; it counts as out until it is seen warm.")
  static final class ReturnNow extends OnMember {
    @Override
    public Integer call() throws BadFileException, IOException {
      AgreeClient client = common.client();
      LedgerState.Permit out = client.fullState().outs().get(id);
      return say(id, client.command(new Command.Return(id, common.by, out == null ? 0 : out.epoch()), TRY_MILLIS));
    }
  }

  @picocli.CommandLine.Command(name = "strike", mixinStandardHelpOptions = true,
      description = "Says that a member is no more and won't come back: a balancer that is gone for good would hold its place for ever.")
  static final class StrikeOut extends OnMember {
    @Override
    public Integer call() throws BadFileException, IOException {
      return say(id, common.client().command(new Command.Strike(id), TRY_MILLIS));
    }
  }

  @picocli.CommandLine.Command(name = "replace", mixinStandardHelpOptions = true,
      description = "Puts a new voter in the place of one that is lost. Both names are as the voters' files have them; asked again it goes on.")
  static final class ReplaceVoter implements Callable<Integer> {
    @Mixin
    private Common common;

    @Parameters(index = "0", paramLabel = "OLD", description = "the voter that goes")
    private String from;

    @Parameters(index = "1", paramLabel = "NEW", description = "the voter that comes")
    private String to;

    @Override
    public Integer call() throws BadFileException, IOException {
      VoterReplacement.Next end = common.client().replace(from, to, TRY_MILLIS,
          n -> System.out.println(n.voter() + ": " + n.step().name().toLowerCase(java.util.Locale.ROOT)));
      boolean done = end.step() == VoterReplacement.Step.DONE;
      System.out.println(done ? to + ": votes in the place of " + from + "; `outs strike " + from + "` once that is gone for good" : from + ": no, " + end.why());
      return done ? 0 : 1;
    }
  }

  @picocli.CommandLine.Command(name = "show", mixinStandardHelpOptions = true, description = "Who is out, what is halted, and how full each group is.")
  static final class Show implements Callable<Integer> {
    @Mixin
    private Common common;

    @Override
    public Integer call() throws BadFileException, IOException {
      AgreeClient client = common.client();
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

  @picocli.CommandLine.Command(name = "why", mixinStandardHelpOptions = true, description = "Why one is out, or could not be now. Changes nothing.")
  static final class Why extends OnMember {
    @Override
    public Integer call() throws BadFileException, IOException {
      LedgerState s = common.client().fullState();
      LedgerState.Member m = s.members().get(id);
      if (m == null) {
        System.out.println(id + ": " + ResultCode.UNKNOWN_MEMBER.text());
        return 1;
      }
      LedgerState.Permit out = s.outs().get(id);
      if (out != null) {
        System.out.println(id + ": " + out.phase().name().toLowerCase(java.util.Locale.ROOT) + " by " + out.by() + ": " + out.why()
            + (out.phase() == Phase.RETURNING ? "; counts as out until it is seen warm" : ""));
        return 0;
      }
      DisruptionLedger copy = new DisruptionLedger();
      copy.restore(s);
      Reply r = copy.apply(s.index() + 1, s.nowMillis(), new Command.Ask("why " + UUID.randomUUID(), id, "why", "", 0, false));
      System.out.println(id + ": in service" + (m.unwell() ? ", unwell" : "") + "; an ask would be " + (r.isSuccess() ? "granted" : r.word().text()
          + " " + r.binding() + (r.holders().isEmpty() ? "" : ", held by " + String.join(" ", r.holders()))));
      return 0;
    }
  }

  @picocli.CommandLine.Command(name = "halt", mixinStandardHelpOptions = true, description = "Nobody new goes out until it is lifted by its name.")
  static final class HaltAll implements Callable<Integer> {
    @Mixin
    private Common common;

    @Option(names = "--why", paramLabel = "TEXT", required = true, description = "why")
    private String why;

    @Option(names = "--name", paramLabel = "NAME", description = "the halt's name (default: ${DEFAULT-VALUE})", defaultValue = "by-hand")
    private String name;

    @Override
    public Integer call() throws BadFileException, IOException {
      return say("halt " + name, common.client().command(new Command.Halt(name, common.by, why), TRY_MILLIS));
    }
  }

  @picocli.CommandLine.Command(name = "resume", mixinStandardHelpOptions = true, description = "Lifts one halt.")
  static final class ResumeAll implements Callable<Integer> {
    @Mixin
    private Common common;

    @Parameters(paramLabel = "NAME", description = "the halt's name, as `show` has it")
    private String name;

    @Override
    public Integer call() throws BadFileException, IOException {
      return say("halt " + name, common.client().command(new Command.Resume(name, common.by), TRY_MILLIS));
    }
  }

  @picocli.CommandLine.Command(name = "back", mixinStandardHelpOptions = true,
      description = "Brings back all that is out, a few at a time. It goes on by itself, whoever asked.")
  static final class BackAll implements Callable<Integer> {
    @Mixin
    private Common common;

    @Option(names = "--all", description = "of every group")
    private boolean all;

    @Parameters(paramLabel = "GROUP", arity = "0..1", description = "of this group")
    private String group;

    @Override
    public Integer call() throws BadFileException, IOException {
      if (all == (group != null)) {
        throw new picocli.CommandLine.ParameterException(new picocli.CommandLine(this), "expected --all or one GROUP");
      }
      return say("back " + (all ? "all" : group), common.client().command(new Command.Back(all ? "" : group, common.by), TRY_MILLIS));
    }
  }

  @picocli.CommandLine.Command(name = "history", mixinStandardHelpOptions = true, description = "What changed last.")
  static final class History implements Callable<Integer> {
    @Mixin
    private Common common;

    @Override
    public Integer call() throws BadFileException, IOException {
      for (LedgerState.HistoryEntry c : common.client().fullState().history()) {
        System.out.println(c.index() + " " + Instant.ofEpochMilli(c.atMillis()) + " " + c.what() + " " + c.member()
            + (c.by().isEmpty() ? "" : " by " + c.by()) + (c.why().isEmpty() ? "" : ": " + c.why()));
      }
      return 0;
    }
  }

  /** Groups of the file's own servers that can never grant. */
  static List<String> neverGrant(OperatorsConfig read) {
    Map<String, Integer> sizes = new TreeMap<>();
    if (read.fleet().isWritten()) {
      read.fleet().list().members().forEach(s -> read.agree().groupsOf(s.id(), s.zone(), s.cell()).forEach(g -> sizes.merge(g, 1, Integer::sum)));
    }
    sizes.put(AgreeConfig.VOTERS, read.agree().voters().size());
    Map<String, Limit> limits = new TreeMap<>(read.agree().rules().groups());
    return new ArrayList<>(DisruptionLedger.neverGrant(limits, sizes));
  }
}
