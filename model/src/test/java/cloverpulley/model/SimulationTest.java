package cloverpulley.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.config.ConfigFile;
import cloverpulley.config.InvalidConfigException;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.apache.commons.statistics.distribution.TDistribution;
import org.junit.jupiter.api.Test;

/** Checks the simulation against queueing theory, for determinism and conservation of requests, and the module against the baselines. */
class SimulationTest {

  private static final String CLASSES = """
      [service]
      zone = "a"
      [[class]]
      name = "safe"
      effect = "safe"
      aim_ms = %d
      deadline_ms = %d
      [[class]]
      name = "unsafe"
      effect = "unsafe"
      aim_ms = %d
      deadline_ms = %d
      [model]
      %s
      """;

  private static ModelPlan plan(int aim, int deadline, String model) throws InvalidConfigException {
    return ConfigFile.parse("m", CLASSES.formatted(aim, deadline, aim, deadline, model), ModelPlan::read);
  }

  /** The mean time in system over several seeds, with the half width of its 99.9% confidence interval. */
  private static double[] mean(ModelPlan plan, int seeds) {
    double[] means = new double[seeds];
    double sum = 0;
    for (int i = 0; i < seeds; i++) {
      SimulationResult r = new Simulation(plan, Policy.RANDOM, 100 + i).run();
      means[i] = r.latency.getMean() / 1000;
      sum += means[i];
    }
    double mean = sum / seeds;
    double squares = 0;
    for (double m : means) {
      squares += (m - mean) * (m - mean);
    }
    double t = TDistribution.of(seeds - 1).inverseCumulativeProbability(0.9995);
    return new double[] {mean, t * Math.sqrt(squares / (seeds - 1) / seeds)};
  }

  @Test
  void oneWorkerIsAnMM1Queue() throws Exception {
    // Arrivals at 60 per second, service at 100 per second: 1 / (mu - lambda) = 25 ms.
    double[] m = mean(plan(60_000, 600_000, "servers = 1\nworkers = 1\nwork_ms = 10\nrate = 60\nseconds = 600\nqueue = 100000\nnetwork_ms = 0"),
        12);
    assertEquals(25, m[0], Math.max(m[1], 0.5), "within " + m[1]);
  }

  @Test
  void severalWorkersAreAnMMcQueue() throws Exception {
    // Erlang's C formula: c = 4, a = 3.2; the wait is C / (c mu - lambda).
    double a = 3.2;
    double terms = 0;
    double term = 1;
    for (int k = 0; k < 4; k++) {
      terms += term;
      term *= a / (k + 1);
    }
    double last = term * 4 / (4 - a);
    double wait = last / (terms + last) / (400 - 320) * 1000;
    double[] m = mean(plan(60_000, 600_000, "servers = 1\nworkers = 4\nwork_ms = 10\nrate = 320\nseconds = 300\nqueue = 100000\nnetwork_ms = 0"),
        12);
    assertEquals(10 + wait, m[0], Math.max(m[1], 0.4), "within " + m[1]);
  }

  @Test
  void sameSeedGivesSameRunAndAnotherSeedDoesNot() throws Exception {
    ModelPlan plan = plan(200, 1000, "servers = 20\nbalancers = 3\nrate = 3000\nseconds = 5\n[[model.fault]]\nkind = \"kill\"\nat_s = 2\npart = 0.25");
    for (Policy p : Policy.values()) {
      assertEquals(new Simulation(plan, p, 7).run().hash(), new Simulation(plan, p, 7).run().hash(), p.name());
      assertNotEquals(new Simulation(plan, p, 7).run().hash(), new Simulation(plan, p, 8).run().hash(), p.name());
    }
  }

  /** Under crashes, slow servers, replacements in slow start and drains: no request unanswered, answered twice or sent to a drained server. */
  @Test
  void moduleKeepsTheInvariantsUnderFaults() throws Exception {
    for (int seed = 1; seed <= 12; seed++) {
      ModelPlan plan = plan(200, 1500, """
          servers = 24
          balancers = 3
          rate = 4000
          seconds = 8
          list_ms = 200
          [[model.fault]]
          kind = "kill"
          at_s = 2
          part = 0.25
          [[model.fault]]
          kind = "slow"
          at_s = 3
          part = 0.5
          factor = 2
          [[model.fault]]
          kind = "replace"
          at_s = 4
          part = 0.25
          [[model.fault]]
          kind = "drain"
          at_s = 5
          part = 0.4
          """);
      SimulationResult r = new Simulation(plan, Policy.MODULE, seed).run();
      assertTrue(r.invariantsHold(), "seed " + seed + ": unanswered " + r.unanswered + ", answered twice " + r.duplicateAnswers
          + ", unsafe executed twice " + r.unsafeReexecutions + ", sent after drain " + r.sentAfterDrain);
      assertTrue(r.allRequestsAccountedFor(), "seed " + seed + ": " + r.outcomes + " of " + r.requests);
      assertTrue(r.served > 0.6 * r.requests, "seed " + seed + ": " + r.outcomes);
    }
  }

  @Test
  void moduleBeatsRandomChoiceWhenAQuarterOfTheServersCrash() throws Exception {
    ModelPlan plan = plan(100, 1000, "servers = 20\nrate = 4500\nseconds = 10\n[[model.fault]]\nkind = \"kill\"\nat_s = 3\npart = 0.25");
    double module = new Simulation(plan, Policy.MODULE, 3).run().g();
    double random = new Simulation(plan, Policy.RANDOM, 3).run().g();
    assertTrue(module > random + 0.1, module + " against " + random);
  }

  /** Compares the event queue with a priority queue; simultaneous events have to run in the order in which they were added. */
  @Test
  void eventQueueIsAStablePriorityQueue() {
    SplittableRandom random = new SplittableRandom(20261201);
    EventQueue events = new EventQueue();
    PriorityQueue<long[]> reference = new PriorityQueue<>((x, y) -> x[0] != y[0] ? Long.compare(x[0], y[0]) : Long.compare(x[1], y[1]));
    List<Long> executed = new ArrayList<>();
    long n = 0;
    for (int i = 0; i < 200_000; i++) {
      if (events.size() == 0 || random.nextInt(5) < 3) {
        long at = random.nextInt(50);
        long sequence = n++;
        events.add(at, () -> executed.add(sequence));
        reference.add(new long[] {at, sequence});
      } else {
        assertEquals(reference.peek()[0], events.nextTime());
        events.poll().run();
        assertEquals(reference.poll()[1], executed.get(executed.size() - 1));
      }
    }
    assertTrue(executed.size() > 50_000);
  }

  @Test
  void planThatNeedsTooManyResourcesIsRejectedWithTheFigure() {
    InvalidConfigException e = assertThrows(InvalidConfigException.class,
        () -> plan(1, 1, "servers = 100000\nbalancers = 10000\nrate = 10000000\nseconds = 86400\npolicies = [\"best\"]"));
    for (String part : List.of("model.balancers", "GB", "model.rate", "model.policies")) {
      assertTrue(e.getMessage().contains(part), e.getMessage());
    }
  }
}
