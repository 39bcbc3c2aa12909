package cloverpulley.model.outs;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SmallWorldTest {

  @Test
  void everyStateOfASmallWorldKeepsTheLimits() {
    SmallWorld.Searched searched = SmallWorld.search();
    System.out.println(searched);
    assertTrue(searched.states() > 1000, "it is a world");
  }
}
