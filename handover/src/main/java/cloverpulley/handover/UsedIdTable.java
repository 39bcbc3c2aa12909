package cloverpulley.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.LongBuffer;

/**
 * The hashes of the last request ids that were used up, in buckets of a few: a new one takes the place of the oldest in its bucket. Of the last 3,000
 * ids one in a thousand is forgotten. Not thread-safe.
 */
final class UsedIdTable {

  /** Where the buckets are kept. A read past the end leaves the buffer as it is. */
  interface Storage {
    void read(ByteBuffer bucket, long position) throws IOException;

    void write(ByteBuffer bucket, long position) throws IOException;
  }

  static final int BUCKETS = 8192;
  private static final int IDS_PER_BUCKET = 4;
  private static final int BUCKET_BYTES = IDS_PER_BUCKET * Long.BYTES;
  static final int BYTES = BUCKETS * BUCKET_BYTES;

  private final Storage storage;

  UsedIdTable(Storage storage) {
    this.storage = storage;
  }

  /** Creates a table in memory. */
  static UsedIdTable inMemory() {
    ByteBuffer all = ByteBuffer.allocate(BYTES);
    return new UsedIdTable(new Storage() {
      @Override
      public void read(ByteBuffer bucket, long position) {
        bucket.put(0, all, (int) position, BUCKET_BYTES);
      }

      @Override
      public void write(ByteBuffer bucket, long position) {
        all.put((int) position, bucket, 0, BUCKET_BYTES);
      }
    });
  }

  /** Whether an id is in the table; {@code hash} is not 0. */
  boolean contains(long hash) throws IOException {
    LongBuffer ids = bucket(hash).asLongBuffer();
    for (int i = 0; i < IDS_PER_BUCKET; i++) {
      if (ids.get(i) == hash) {
        return true;
      }
    }
    return false;
  }

  /** Adds an id that is not in the table. */
  void add(long hash) throws IOException {
    ByteBuffer older = bucket(hash);
    ByteBuffer bucket = ByteBuffer.allocate(BUCKET_BYTES);
    bucket.putLong(hash).put(older.limit(BUCKET_BYTES - Long.BYTES)).flip();
    storage.write(bucket, position(hash));
  }

  private ByteBuffer bucket(long hash) throws IOException {
    ByteBuffer bucket = ByteBuffer.allocate(BUCKET_BYTES);
    storage.read(bucket, position(hash));
    return bucket.rewind();
  }

  private static long position(long hash) {
    return Math.floorMod(hash, BUCKETS) * (long) BUCKET_BYTES;
  }

  /** Adds all ids of another table. */
  void addAll(UsedIdTable other) throws IOException {
    for (int i = 0; i < BUCKETS; i++) {
      LongBuffer ids = other.bucket(i).asLongBuffer();
      for (int n = IDS_PER_BUCKET - 1; n >= 0; n--) {
        if (ids.get(n) != 0 && !contains(ids.get(n))) {
          add(ids.get(n));
        }
      }
    }
  }
}
