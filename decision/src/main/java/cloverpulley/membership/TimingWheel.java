package cloverpulley.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Things that come due, in a hierarchy of wheels (Varghese and Lauck, "Hashed and Hierarchical Timing Wheels", 1987): putting one in
 * costs the same however many there are, and so does finding those that are due. A thing comes due within a tick after its time,
 * never before.
 */
public final class TimingWheel<T> {

  private static final int BITS = 8;
  private static final int SLOTS = 1 << BITS;
  private static final int LEVELS = 4;

  private record Entry<T>(long tick, T thing) {}

  private final long tickMillis;
  private final List<List<ArrayList<Entry<T>>>> levels = new ArrayList<>();
  private long tick;
  private int size;

  /**
   * Makes one.
   *
   * @param tickMillis how exact it is; times further off than 2^32 of them come due early and are put in again
   */
  public TimingWheel(long startMillis, long tickMillis) {
    this.tickMillis = tickMillis;
    tick = startMillis / tickMillis;
    for (int i = 0; i < LEVELS; i++) {
      List<ArrayList<Entry<T>>> slots = new ArrayList<>(SLOTS);
      for (int k = 0; k < SLOTS; k++) {
        slots.add(null);
      }
      levels.add(slots);
    }
  }

  /** How many are in it. */
  public int size() {
    return size;
  }

  /** Puts one in; for a time that has passed it comes due at the next tick. */
  public void schedule(long atMillis, T thing) {
    size++;
    place(new Entry<>(Math.max(tick + 1, (atMillis + tickMillis - 1) / tickMillis), thing));
  }

  private void place(Entry<T> e) {
    // The level is that of the highest digit in which its tick differs from the present one.
    long differs = e.tick ^ tick;
    int level = 0;
    while (level < LEVELS - 1 && differs >>> BITS * (level + 1) != 0) {
      level++;
    }
    int slot = (int) (e.tick >>> BITS * level) & SLOTS - 1;
    List<ArrayList<Entry<T>>> slots = levels.get(level);
    ArrayList<Entry<T>> there = slots.get(slot);
    if (there == null) {
      there = new ArrayList<>(4);
      slots.set(slot, there);
    }
    there.add(e);
  }

  /** Turns it to a time and hands out what has come due, in the order of its ticks. */
  public void advance(long nowMillis, Consumer<T> due) {
    long until = nowMillis / tickMillis;
    while (tick < until) {
      if (size == 0) {
        tick = until;
        return;
      }
      tick++;
      // Where a lower wheel has gone round, what waits in the one above is dealt out.
      for (int level = 1; level < LEVELS && (tick & (1L << BITS * level) - 1) == 0; level++) {
        List<Entry<T>> down = take(level, (int) (tick >>> BITS * level) & SLOTS - 1);
        for (Entry<T> e : down) {
          place(e);
        }
      }
      for (Entry<T> e : take(0, (int) tick & SLOTS - 1)) {
        if (e.tick > tick) {
          place(e); // Further off than the wheels reach.
        } else {
          size--;
          due.accept(e.thing);
        }
      }
    }
  }

  private List<Entry<T>> take(int level, int slot) {
    ArrayList<Entry<T>> there = levels.get(level).get(slot);
    if (there == null) {
      return List.of();
    }
    levels.get(level).set(slot, null);
    return there;
  }
}
