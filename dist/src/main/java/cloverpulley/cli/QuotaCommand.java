package cloverpulley.cli;

import cloverpulley.incident.tool.Sanitizer;
import cloverpulley.quota.Lane;
import cloverpulley.quota.QuotaPlan;
import cloverpulley.quota.Quotas;
import cloverpulley.quota.service.QuotaConfig;
import cloverpulley.quota.service.QuotaJournal;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(name = "quota", mixinStandardHelpOptions = true, description = "Says who may have how much, and what a plan would do.",
    subcommands = {QuotaCommand.Show.class, QuotaCommand.Simulate.class})
final class QuotaCommand implements Callable<Integer> {

  private static final long SECOND = 1_000_000_000L;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new CommandLine.ParameterException(spec.commandLine(), "expected a subcommand");
  }

  private static QuotaConfig read(Path file) throws cloverpulley.config.BadFileException, IOException {
    QuotaConfig quota = OperatorsConfig.read(file).quota();
    if (quota == null) {
      throw new IOException(file + ": quota: expected a table [quota], got nothing");
    }
    return quota;
  }

  @Command(name = "show", mixinStandardHelpOptions = true,
      description = "Shows the nodes, and what the journal says that each has used and is owed.")
  static final class Show implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the operators' file")
    private Path file;

    @Override
    public Integer call() throws Exception {
      QuotaConfig config = read(file);
      List<Lane> lanes = config.plan().lanes();
      Quotas q = new Quotas(config.plan(), config.maxDynamicNodes(), SECOND);
      if (config.journal() != null && Files.exists(config.journal())) {
        // A copy is read: the service may be writing the file, and reading cuts a torn tail off.
        Path copy = Files.createTempFile("ashdeck-quota", ".journal");
        Files.copy(config.journal(), copy, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        try (QuotaJournal journal = new QuotaJournal(copy, lanes.toString(), Long.MAX_VALUE, false)) {
          QuotaJournal.Recovery r = journal.open();
          r.snapshots().forEach(t -> q.restore(SECOND, TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis() - t.unixMillis()),
              List.of(t.snapshot())));
          System.out.println("journal: " + r.snapshots().size() + " nodes, " + r.corruptFrames() + " spoilt frames, " + r.truncatedBytes()
              + " octets torn off");
        } finally {
          Files.delete(copy);
        }
      }
      System.out.printf("%-32s %-26s %12s %12s %12s%n", "node", "lane", "guarantee", "left of it", "owed");
      q.forEachNode(SECOND, s -> {
        for (int i = 0; i < lanes.size(); i++) {
          System.out.printf(Locale.ROOT, "%-32s %-26s %12.1f %12.1f %12.1f%n", i > 0 ? "" : s.path().isEmpty() ? "(all)"
              : Sanitizer.printable(s.path()), lanes.get(i), s.guarantee()[i], s.tokens()[i], s.credit()[i]);
        }
      });
      return 0;
    }
  }

  @Command(name = "simulate", mixinStandardHelpOptions = true,
      description = "Plays demands against the plan on a virtual clock, and says who gets what and from whom.")
  static final class Simulate implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the operators' file")
    private Path file;

    @Option(names = "--demand", paramLabel = "PATH=RATE", required = true,
        description = "a node's requests a second; PATH=RATE@FROM-TO within those seconds alone. May be given often")
    private List<String> demands;

    @Option(names = "--seconds", defaultValue = "60", description = "1 to 3600 (default: 60)")
    private int seconds;

    @Option(names = "--work-ms", defaultValue = "1", description = "work of a request, where a lane counts it (default: 1)")
    private double work;

    @Option(names = "--seed", defaultValue = "1", description = "of the arrivals, which come by chance")
    private long seed;

    private record Demand(String path, double rate, double from, double to) {}

    private static final class Count {
      long asked;
      long own;
      long lent;
    }

    @Override
    public Integer call() throws Exception {
      if (seconds < 1 || seconds > 3600) {
        throw new IllegalArgumentException("--seconds has to be 1 to 3600");
      }
      QuotaConfig config = read(file);
      QuotaPlan plan = config.plan();
      List<Demand> all = new ArrayList<>();
      double sum = 0;
      for (String d : demands) {
        all.add(demand(d));
        sum += all.get(all.size() - 1).rate;
      }
      if (sum * seconds > 50_000_000) {
        throw new IllegalArgumentException("more than 50,000,000 requests; fewer seconds, or lower rates");
      }
      Quotas q = new Quotas(plan, config.maxDynamicNodes(), SECOND);
      Map<String, Count> counts = new LinkedHashMap<>();
      all.forEach(d -> counts.put(d.path, new Count()));
      SplittableRandom random = new SplittableRandom(seed);
      double[] cost = plan.lanes().stream().mapToDouble(l -> switch (l.dimension()) {
        case REQUESTS -> 1;
        case WORK -> work;
        default -> 0;
      }).toArray();
      // All arrivals as one stream by chance, each of a node by its part of the rates of the moment.
      for (double t = 0; t < seconds;) {
        t += -Math.log(1 - random.nextDouble()) / sum;
        double pick = random.nextDouble() * sum;
        for (Demand d : all) {
          pick -= d.rate;
          if (pick < 0) {
            if (t >= d.from && t < d.to) {
              ask(q, d.path, (long) (t * SECOND), cost, counts.get(d.path));
            }
            break;
          }
        }
      }
      System.out.printf("%-32s %10s %10s %10s %10s%n", "node", "asked/s", "given/s", "own/s", "lent/s");
      counts.forEach((path, c) -> System.out.printf(Locale.ROOT, "%-32s %10.1f %10.1f %10.1f %10.1f%n", Sanitizer.printable(path),
          c.asked / (double) seconds, (c.own + c.lent) / (double) seconds, c.own / (double) seconds, c.lent / (double) seconds));
      return 0;
    }

    private void ask(Quotas q, String path, long at, double[] cost, Count count) {
      count.asked++;
      long grant = q.tryAcquire(SECOND + at, path, cost);
      if (!Quotas.isRejected(grant)) {
        boolean lent = false;
        for (int i = 0; i < cost.length; i++) {
          lent |= Quotas.lenderDistance(grant, i) > 0;
        }
        count.lent += lent ? 1 : 0;
        count.own += lent ? 0 : 1;
        q.release(SECOND + at, path, grant);
      }
    }

    private Demand demand(String text) {
      java.util.regex.Matcher m = java.util.regex.Pattern.compile("([^=]+)=([0-9.]{1,12})(?:@([0-9.]{1,8})-([0-9.]{1,8}))?").matcher(text);
      if (!m.matches()) {
        throw new IllegalArgumentException("--demand " + text + ": expected PATH=RATE or PATH=RATE@FROM-TO");
      }
      try {
        double rate = Double.parseDouble(m.group(2));
        if (!(rate > 0 && rate <= 1e6)) {
          throw new IllegalArgumentException("--demand " + text + ": expected a rate above 0 and up to 1000000");
        }
        return new Demand(m.group(1), rate, m.group(3) == null ? 0 : Double.parseDouble(m.group(3)),
            m.group(4) == null ? seconds : Double.parseDouble(m.group(4)));
      } catch (NumberFormatException e) {
        throw new IllegalArgumentException("--demand " + text + ": a figure can't be read");
      }
    }
  }
}
