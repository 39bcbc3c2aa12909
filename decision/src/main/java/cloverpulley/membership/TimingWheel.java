package cloverpulley.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A hierarchical timing wheel (Varghese and Lauck, "Hashed and Hierarchical Timing Wheels", 1987): scheduling a timer and finding
 * those that are due cost the same however many there are. A timer fires within one tick after its time, never before.
 */
public final class TimingWheel<T> {

  private static final int BITS = 8;
  private static final int SLOTS = 1 << BITS;
  private static final int LEVELS = 4;

  private record Entry<T>(long tick, T value) {}

  private final long tickMillis;
  private final List<List<ArrayList<Entry<T>>>> levels = new ArrayList<>();
  private long tick;
  private int size;

  /**
   * Creates an empty wheel.
   *
   * @param tickMillis the resolution; timers more than 2^32 ticks ahead are re-inserted when the top wheel reaches their slot
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

  /** The number of timers that have not fired. */
  public int size() {
    return size;
  }

  /** Schedules a timer; one whose time has passed fires at the next tick. */
  public void schedule(long atMillis, T value) {
    size++;
    insert(new Entry<>(Math.max(tick + 1, (atMillis + tickMillis - 1) / tickMillis), value));
  }

  private void insert(Entry<T> e) {
    // The level is that of the highest base-256 digit in which its tick differs from the current one.
    long difference = e.tick ^ tick;
    int level = 0;
    while (level < LEVELS - 1 && difference >>> BITS * (level + 1) != 0) {
      level++;
    }
    int slot = (int) (e.tick >>> BITS * level) & SLOTS - 1;
    List<ArrayList<Entry<T>>> slots = levels.get(level);
    ArrayList<Entry<T>> entries = slots.get(slot);
    if (entries == null) {
      entries = new ArrayList<>(4);
      slots.set(slot, entries);
    }
    entries.add(e);
  }

  /** Advances to a time and passes the timers that are due to {@code due}, in order of their ticks. */
  public void advance(long nowMillis, Consumer<T> due) {
    long until = nowMillis / tickMillis;
    while (tick < until) {
      if (size == 0) {
        tick = until;
        return;
      }
      tick++;
      // A lower wheel has wrapped around: the current slot of the wheel above is redistributed to it.
      for (int level = 1; level < LEVELS && (tick & (1L << BITS * level) - 1) == 0; level++) {
        List<Entry<T>> cascaded = removeSlot(level, (int) (tick >>> BITS * level) & SLOTS - 1);
        for (Entry<T> e : cascaded) {
          insert(e);
        }
      }
      for (Entry<T> e : removeSlot(0, (int) tick & SLOTS - 1)) {
        if (e.tick > tick) {
          insert(e); // Beyond the range of the wheels.
        } else {
          size--;
          due.accept(e.value);
        }
      }
    }
  }

  private List<Entry<T>> removeSlot(int level, int slot) {
    ArrayList<Entry<T>> entries = levels.get(level).get(slot);
    if (entries == null) {
      return List.of();
    }
    levels.get(level).set(slot, null);
    return entries;
  }
}
