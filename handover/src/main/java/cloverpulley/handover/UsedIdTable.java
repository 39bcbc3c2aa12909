package cloverpulley.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.LongBuffer;

/**
 * The hashes of the last request ids that were used up, in buckets of a few: a new one takes the place of the oldest in its bucket. Of the last 3,000
 * ids one in a thousand is forgotten. Not thread-safe.
 */
final class UsedIdTable {

  /** Where the buckets are kept; one or several successive ones are read or written at a time. A read past the end leaves the buffer as it is. */
  interface Storage {
    void read(ByteBuffer buckets, long position) throws IOException;

    void write(ByteBuffer buckets, long position) throws IOException;
  }

  static final int BUCKETS = 8192;
  private static final int IDS_PER_BUCKET = 4;
  private static final int BUCKET_BYTES = IDS_PER_BUCKET * Long.BYTES;
  static final int BYTES = BUCKETS * BUCKET_BYTES;
  /** Tables are copied in parts: another process may write to a bucket between the read and the write of a part. */
  private static final int COPIED_BYTES = 64 * BUCKET_BYTES;

  private final Storage storage;

  UsedIdTable(Storage storage) {
    this.storage = storage;
  }

  /** Creates a table in memory. */
  static UsedIdTable inMemory() {
    ByteBuffer all = ByteBuffer.allocate(BYTES);
    return new UsedIdTable(new Storage() {
      @Override
      public void read(ByteBuffer buckets, long position) {
        buckets.put(0, all, (int) position, buckets.remaining());
      }

      @Override
      public void write(ByteBuffer buckets, long position) {
        all.put((int) position, buckets, 0, buckets.remaining());
      }
    });
  }

  /** Whether an id is in the table; {@code hash} is not 0. */
  boolean contains(long hash) throws IOException {
    return contains(read(position(hash), BUCKET_BYTES).asLongBuffer(), 0, hash);
  }

  /** Adds an id that is not in the table. */
  void add(long hash) throws IOException {
    ByteBuffer bucket = read(position(hash), BUCKET_BYTES);
    insert(bucket.asLongBuffer(), 0, hash);
    storage.write(bucket, position(hash));
  }

  /** Adds all ids of another table. */
  void addAll(UsedIdTable other) throws IOException {
    for (int position = 0; position < BYTES; position += COPIED_BYTES) {
      ByteBuffer buckets = read(position, COPIED_BYTES);
      if (merge(buckets.asLongBuffer(), other.read(position, COPIED_BYTES).asLongBuffer())) {
        storage.write(buckets, position);
      }
    }
  }

  /** Inserts the ids of the same buckets of another table, oldest first; returns whether there were any to insert. */
  private static boolean merge(LongBuffer buckets, LongBuffer others) {
    boolean changed = false;
    for (int bucket = 0; bucket < buckets.limit(); bucket += IDS_PER_BUCKET) {
      for (int i = bucket + IDS_PER_BUCKET - 1; i >= bucket; i--) {
        if (others.get(i) != 0 && !contains(buckets, bucket, others.get(i))) {
          insert(buckets, bucket, others.get(i));
          changed = true;
        }
      }
    }
    return changed;
  }

  private static boolean contains(LongBuffer ids, int bucket, long hash) {
    for (int i = bucket; i < bucket + IDS_PER_BUCKET; i++) {
      if (ids.get(i) == hash) {
        return true;
      }
    }
    return false;
  }

  /** Inserts an id before the others of its bucket, of which the last is dropped. */
  private static void insert(LongBuffer ids, int bucket, long hash) {
    for (int i = bucket + IDS_PER_BUCKET - 1; i > bucket; i--) {
      ids.put(i, ids.get(i - 1));
    }
    ids.put(bucket, hash);
  }

  private ByteBuffer read(long position, int bytes) throws IOException {
    ByteBuffer buckets = ByteBuffer.allocate(bytes);
    storage.read(buckets, position);
    return buckets.rewind();
  }

  private static long position(long hash) {
    return Math.floorMod(hash, BUCKETS) * (long) BUCKET_BYTES;
  }
}
