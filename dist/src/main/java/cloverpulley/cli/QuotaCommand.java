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

@Command(name = "quota", mixinStandardHelpOptions = true, description = "Shows quotas and their usage, and simulates a plan.",
    subcommands = {QuotaCommand.Show.class, QuotaCommand.Simulate.class})
final class QuotaCommand implements Callable<Integer> {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new CommandLine.ParameterException(spec.commandLine(), "expected a subcommand");
  }

  private static QuotaConfig read(Path file) throws cloverpulley.config.InvalidConfigException, IOException {
    QuotaConfig quota = OperatorsConfig.read(file).quota();
    if (quota == null) {
      throw new IOException(file + ": quota: expected a table [quota], got nothing");
    }
    return quota;
  }

  @Command(name = "show", mixinStandardHelpOptions = true,
      description = "Shows the nodes with their tokens and credits according to the journal.")
  static final class Show implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the operators' file")
    private Path file;

    @Override
    public Integer call() throws Exception {
      QuotaConfig config = read(file);
      List<Lane> lanes = config.plan().lanes();
      Quotas quotas = new Quotas(config.plan(), config.maxDynamicNodes(), NANOS_PER_SECOND);
      if (config.journal() != null && Files.exists(config.journal())) {
        // Reads a copy: the service may be writing the file, and recovery truncates an incomplete tail.
        Path copy = Files.createTempFile("ashdeck-quota", ".journal");
        Files.copy(config.journal(), copy, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        try (QuotaJournal journal = new QuotaJournal(copy, lanes.toString(), Long.MAX_VALUE, false)) {
          QuotaJournal.Recovery r = journal.open();
          r.snapshots().forEach(t -> quotas.restore(NANOS_PER_SECOND, TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis() - t.unixMillis()),
              List.of(t.snapshot())));
          System.out.println("journal: " + r.snapshots().size() + " nodes, " + r.corruptFrames() + " corrupt frames, " + r.truncatedBytes()
              + " bytes truncated");
        } finally {
          Files.delete(copy);
        }
      }
      System.out.printf("%-32s %-26s %12s %12s %12s%n", "node", "lane", "guarantee", "left of it", "owed");
      quotas.forEachNode(NANOS_PER_SECOND, s -> {
        for (int i = 0; i < lanes.size(); i++) {
          System.out.printf(Locale.ROOT, "%-32s %-26s %12.1f %12.1f %12.1f%n", i > 0 ? "" : s.path().isEmpty() ? "(all)"
              : Sanitizer.printable(s.path()), lanes.get(i), s.guarantee()[i], s.tokens()[i], s.credit()[i]);
        }
      });
      return 0;
    }
  }

  @Command(name = "simulate", mixinStandardHelpOptions = true,
      description = "Simulates demands against the plan on a virtual clock, and shows how much each node gets and borrows.")
  static final class Simulate implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the operators' file")
    private Path file;

    @Option(names = "--demand", paramLabel = "PATH=RATE", required = true,
        description = "requests per second of a node; PATH=RATE@FROM-TO only between these seconds. Repeatable")
    private List<String> demands;

    @Option(names = "--seconds", defaultValue = "60", description = "1 to 3600 (default: 60)")
    private int seconds;

    @Option(names = "--work-ms", defaultValue = "1", description = "work of a request, for lanes that count work (default: 1)")
    private double work;

    @Option(names = "--seed", defaultValue = "1", description = "seed of the random arrivals (default: 1)")
    private long seed;

    private record Demand(String path, double rate, double from, double to) {}

    private static final class Counts {
      long asked;
      long own;
      long borrowed;
    }

    @Override
    public Integer call() throws Exception {
      if (seconds < 1 || seconds > 3600) {
        throw new IllegalArgumentException("--seconds must be 1 to 3600");
      }
      QuotaConfig config = read(file);
      QuotaPlan plan = config.plan();
      List<Demand> parsedDemands = new ArrayList<>();
      double totalRate = 0;
      for (String d : demands) {
        parsedDemands.add(parseDemand(d));
        totalRate += parsedDemands.get(parsedDemands.size() - 1).rate;
      }
      if (totalRate * seconds > 50_000_000) {
        throw new IllegalArgumentException("more than 50,000,000 requests; reduce the seconds or the rates");
      }
      Quotas quotas = new Quotas(plan, config.maxDynamicNodes(), NANOS_PER_SECOND);
      Map<String, Counts> counts = new LinkedHashMap<>();
      parsedDemands.forEach(d -> counts.put(d.path, new Counts()));
      SplittableRandom random = new SplittableRandom(seed);
      double[] cost = plan.lanes().stream().mapToDouble(l -> switch (l.dimension()) {
        case REQUESTS -> 1;
        case WORK -> work;
        default -> 0;
      }).toArray();
      // A single Poisson process generates the arrivals of all nodes; each belongs to a node with a probability proportional to its rate.
      for (double t = 0; t < seconds;) {
        t += -Math.log(1 - random.nextDouble()) / totalRate;
        double position = random.nextDouble() * totalRate;
        for (Demand d : parsedDemands) {
          position -= d.rate;
          if (position < 0) {
            if (t >= d.from && t < d.to) {
              request(quotas, d.path, (long) (t * NANOS_PER_SECOND), cost, counts.get(d.path));
            }
            break;
          }
        }
      }
      System.out.printf("%-32s %10s %10s %10s %10s%n", "node", "asked/s", "given/s", "own/s", "lent/s");
      counts.forEach((path, c) -> System.out.printf(Locale.ROOT, "%-32s %10.1f %10.1f %10.1f %10.1f%n", Sanitizer.printable(path),
          c.asked / (double) seconds, (c.own + c.borrowed) / (double) seconds, c.own / (double) seconds, c.borrowed / (double) seconds));
      return 0;
    }

    private void request(Quotas quotas, String path, long at, double[] cost, Counts count) {
      count.asked++;
      long grant = quotas.tryAcquire(NANOS_PER_SECOND + at, path, cost);
      if (!Quotas.isRejected(grant)) {
        boolean borrowed = false;
        for (int i = 0; i < cost.length; i++) {
          borrowed |= Quotas.lenderDistance(grant, i) > 0;
        }
        count.borrowed += borrowed ? 1 : 0;
        count.own += borrowed ? 0 : 1;
        quotas.release(NANOS_PER_SECOND + at, path, grant);
      }
    }

    private Demand parseDemand(String text) {
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
        throw new IllegalArgumentException("--demand " + text + ": invalid number");
      }
    }
  }
}
