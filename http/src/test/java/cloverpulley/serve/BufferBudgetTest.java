package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Responses that wait for memory. */
class BufferBudgetTest {

  private static final int KIB = 1024;

  @Test
  void asManyGoOnAsThereIsRoomForInTheirOrder() {
    BufferBudget budget = new BufferBudget(100 * KIB);
    List<Integer> resumed = new ArrayList<>();
    budget.acquire(120 * KIB);
    for (int i = 0; i < 5; i++) {
      int number = i;
      budget.whenAvailable(() -> resumed.add(number));
    }
    Runnable gone = () -> resumed.add(-1);
    budget.whenAvailable(gone);
    budget.cancel(gone);
    budget.release(20 * KIB);
    assertEquals(List.of(), resumed, "still used up");
    budget.release(20 * KIB);
    assertEquals(List.of(0, 1), resumed);
    budget.acquire(-80 * KIB);
    assertEquals(List.of(0, 1, 2, 3, 4), resumed);
  }
}
