package cloverpulley.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

/** Copies of the table of used ids, as when a file takes the place of a lost one. */
class UsedIdTableTest {

  private static final int MAX_CALLS = 1000;

  /** A table that counts reads and writes of its storage: each is a call of the system if that is a file. */
  private static final class CountingStorage implements UsedIdTable.Storage {
    private final ByteBuffer all = ByteBuffer.allocate(UsedIdTable.BYTES);
    int calls;

    @Override
    public void read(ByteBuffer buckets, long position) {
      calls++;
      buckets.put(0, all, (int) position, buckets.remaining());
    }

    @Override
    public void write(ByteBuffer buckets, long position) {
      calls++;
      all.put((int) position, buckets, 0, buckets.remaining());
    }
  }

  @Test
  void aFullTableIsCopiedInFewCallsThatHoldTheLoopForShort() throws IOException {
    UsedIdTable source = UsedIdTable.inMemory();
    for (long id = 1; id <= 4L * UsedIdTable.BUCKETS; id++) {
      source.add(id);
    }
    CountingStorage storage = new CountingStorage();
    UsedIdTable copy = new UsedIdTable(storage);
    copy.addAll(source);
    assertTrue(storage.calls <= MAX_CALLS, storage.calls + " calls");
    for (long id = 1; id <= 4L * UsedIdTable.BUCKETS; id++) {
      assertTrue(copy.contains(id), "id " + id);
    }
  }

  @Test
  void theNewestIdsOfBothTablesAreKept() throws IOException {
    long sameBucket = UsedIdTable.BUCKETS;
    UsedIdTable source = UsedIdTable.inMemory();
    source.add(1);
    source.add(1 + sameBucket);
    UsedIdTable copy = UsedIdTable.inMemory();
    copy.add(1 + sameBucket);
    copy.add(1 + 2 * sameBucket);
    copy.add(1 + 3 * sameBucket);
    copy.addAll(source);
    for (int i = 0; i < 4; i++) {
      assertTrue(copy.contains(1 + i * sameBucket), "id " + i);
    }
    copy.add(1 + 4 * sameBucket);
    assertEquals(false, copy.contains(1 + sameBucket), "the oldest is dropped");
  }
}
