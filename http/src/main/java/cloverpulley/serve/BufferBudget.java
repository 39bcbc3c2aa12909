package cloverpulley.serve;

import java.util.ArrayDeque;

/**
 * Counts the memory that one kind of work holds over all connections, against a limit. Acquiring never fails or blocks: the work looks at the budget
 * and takes less memory, pauses or is rejected. Not thread-safe.
 */
final class BufferBudget {

  /** Part of the budget from which on work that can go on without it takes no more. */
  private static final double NEARLY_EXHAUSTED_RATIO = 0.75;

  /** What one that has waited may take before it looks at the budget again. */
  private static final long RESUME_BYTES = 16 * 1024;

  private final long maxBytes;
  private long usedBytes;
  private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

  BufferBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Takes bytes, even beyond the budget; a negative number gives them back. */
  void acquire(long bytes) {
    usedBytes += bytes;
    if (bytes < 0) {
      notifyWaiting();
    }
  }

  /** Gives back bytes that were acquired. */
  void release(long bytes) {
    acquire(-bytes);
  }

  /** Whether so many more bytes fit in the budget. */
  boolean fits(long bytes) {
    return usedBytes + bytes <= maxBytes;
  }

  /** Whether the budget is used up. */
  boolean isExhausted() {
    return usedBytes >= maxBytes;
  }

  /** Whether little of the budget is left, which is kept for work that can't go on without it. */
  boolean isNearlyExhausted() {
    return usedBytes >= NEARLY_EXHAUSTED_RATIO * maxBytes;
  }

  /** Runs {@code resume} once bytes have been given back and the budget is not used up: as many as there is room for, in the order of the calls. */
  void whenAvailable(Runnable resume) {
    waiting.add(resume);
  }

  /** Takes back a {@link #whenAvailable} that has not run. */
  void cancel(Runnable resume) {
    waiting.remove(resume);
  }

  private void notifyWaiting() {
    for (long room = maxBytes - usedBytes; room > 0 && !waiting.isEmpty(); room -= RESUME_BYTES) {
      waiting.poll().run();
    }
  }
}
