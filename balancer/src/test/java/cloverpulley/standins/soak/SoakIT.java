package cloverpulley.standins.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.standins.soak.Soak.Plan;
import cloverpulley.standins.soak.Soak.Result;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs the soak test with seeds that once found a fault; {@code bench/run soak} runs many more by hand. */
@Timeout(value = 5, unit = TimeUnit.MINUTES)
class SoakIT {

  @ParameterizedTest
  @CsvSource({"1, 1, 0, 0", "2, 1, 0, 0", "7, 1, 0, 0", "102, 2, 0, 0", "301, 1, 120, 500"})
  void rulesAndLimitsHoldThroughSignalsUpgradesAndFailingSystemCalls(long seed, int nodes, int clients, int crowd) throws Exception {
    Result result = Soak.run(new Plan(Path.of(System.getProperty("soak.root", "")).toAbsolutePath(), seed, 15, nodes, 192, clients, crowd));
    assertTrue(result.isClean(), () -> result.breaches() + "\n" + String.join("\n", result.examples()));
    assertTrue(result.served() > 0, "nothing was served");
  }
}
