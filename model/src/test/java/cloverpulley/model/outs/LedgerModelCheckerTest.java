package cloverpulley.model.outs;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LedgerModelCheckerTest {

  @Test
  void everyStateOfASmallWorldKeepsTheLimits() {
    LedgerModelChecker.SearchSummary searched = LedgerModelChecker.search();
    System.out.println(searched);
    assertTrue(searched.states() > 1000, "it is a world");
  }
}
