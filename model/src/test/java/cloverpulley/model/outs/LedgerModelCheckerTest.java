package cloverpulley.model.outs;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LedgerModelCheckerTest {

  @Test
  void everyReachableStateKeepsTheLimits() {
    LedgerModelChecker.SearchSummary summary = LedgerModelChecker.search();
    System.out.println(summary);
    assertTrue(summary.states() > 1000, "the search has to cover a substantial number of states");
  }
}
