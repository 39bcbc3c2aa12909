package cloverpulley.serve;

/**
 * Counts the memory that one kind of work holds over all connections, against a limit. Nothing waits for the budget: work that does not fit takes
 * less memory, or is rejected. Not thread-safe.
 */
final class BufferBudget {

  private final long maxBytes;
  private long usedBytes;

  BufferBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Takes bytes, even beyond the budget; a negative number gives them back. */
  void acquire(long bytes) {
    usedBytes += bytes;
  }

  /** Gives back bytes that were acquired. */
  void release(long bytes) {
    usedBytes -= bytes;
  }

  /** Whether so many more bytes fit in the budget. */
  boolean fits(long bytes) {
    return usedBytes + bytes <= maxBytes;
  }

  /** Whether the budget is used up. */
  boolean isExhausted() {
    return usedBytes >= maxBytes;
  }
}
