package cloverpulley.records;

import cloverpulley.incident.Entry;
import cloverpulley.incident.Kind;
import cloverpulley.incident.Origin;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Encodes the records of a block: times and request numbers as differences from the previous record, texts and large numbers once a block,
 * then by their position in a table. Blocks are independent of each other, so a corrupt one affects no other. Records of an unknown kind
 * (written by a newer version) are skipped.
 */
final class Rows {

  /** Longer texts are truncated. */
  static final int MAX_TEXT_LENGTH = 512;
  private static final int MAX_TABLE_SIZE = 1 << 20;
  private static final Kind[] KINDS = Kind.values();

  // Bits of the mask of fields that a record has.
  private static final int HAS_REQUEST = 1;
  private static final int HAS_ID = 2;
  private static final int HAS_CLASS = 4;
  private static final int HAS_TENANT = 8;
  private static final int HAS_KEY = 16;
  private static final int HAS_ATTEMPT = 32;
  private static final int HAS_UPSTREAM = 64;
  private static final int HAS_NAME = 128;
  private static final int HAS_WORD = 256;
  private static final int HAS_VALUE = 512;
  private static final int HAS_OTHER = 1024;

  private Rows() {}

  /** Encodes the records of one block; {@link #clear} starts the next. */
  static final class Writer {

    final VarintBuffer buffer;
    private final Map<String, Integer> textIds = new HashMap<>();
    private final Map<Long, Integer> longIds = new HashMap<>();
    private long previousTime;
    private long previousRequest;
    int count;
    long firstSeq;
    long minTime = Long.MAX_VALUE;
    long maxTime = Long.MIN_VALUE;

    Writer(int capacity) {
      buffer = new VarintBuffer(capacity);
    }

    void clear() {
      buffer.clear();
      textIds.clear();
      longIds.clear();
      previousTime = 0;
      previousRequest = 0;
      count = 0;
      minTime = Long.MAX_VALUE;
      maxTime = Long.MIN_VALUE;
    }

    void add(Entry e) {
      if (count++ == 0) {
        firstSeq = e.seq();
      }
      minTime = Math.min(minTime, e.at());
      maxTime = Math.max(maxTime, e.at());
      int fields = (e.request() != 0 ? HAS_REQUEST : 0) | (e.id() != null ? HAS_ID : 0) | (e.className() != null ? HAS_CLASS : 0)
          | (e.tenant() != null ? HAS_TENANT : 0) | (e.key() != 0 ? HAS_KEY : 0) | (e.attempt() != 0 ? HAS_ATTEMPT : 0)
          | (e.upstream() != 0 ? HAS_UPSTREAM : 0) | (e.name() != null ? HAS_NAME : 0) | (e.word() != null ? HAS_WORD : 0)
          | (e.value() != 0 ? HAS_VALUE : 0) | (e.other() != 0 ? HAS_OTHER : 0);
      buffer.writeVarint(e.kind().ordinal());
      buffer.writeVarint(fields);
      buffer.writeSignedVarint(e.at() - previousTime);
      previousTime = e.at();
      if ((fields & HAS_REQUEST) != 0) {
        buffer.writeSignedVarint(e.request() - previousRequest);
        previousRequest = e.request();
      }
      writeText(e.id());
      writeText(e.className());
      writeText(e.tenant());
      writeLong(e.key());
      if (e.attempt() != 0) {
        buffer.writeSignedVarint(e.attempt());
      }
      writeLong(e.upstream());
      writeText(e.name());
      writeText(e.word());
      if (e.value() != 0) {
        buffer.writeSignedVarint(e.value());
      }
      if (e.other() != 0) {
        buffer.writeSignedVarint(e.other());
      }
    }

    /** Writes the text's position in the table, from 1; at its first use in a block, 0 and the text itself. */
    private void writeText(String s) {
      if (s == null) {
        return;
      }
      Integer id = textIds.get(s);
      if (id != null) {
        buffer.writeVarint(id);
        return;
      }
      textIds.put(s, textIds.size() + 1);
      buffer.writeVarint(0);
      buffer.writeString(s.length() <= MAX_TEXT_LENGTH ? s : s.substring(0, MAX_TEXT_LENGTH));
    }

    private void writeLong(long n) {
      if (n == 0) {
        return;
      }
      Integer id = longIds.get(n);
      if (id != null) {
        buffer.writeVarint(id);
        return;
      }
      longIds.put(n, longIds.size() + 1);
      buffer.writeVarint(0);
      buffer.writeFixed64(n);
    }
  }

  /** Decodes the records of a block. */
  static int read(Origin origin, long firstSeq, int count, byte[] raw, int length, Consumer<Entry> consumer) throws CorruptSegmentException {
    VarintBuffer in = new VarintBuffer(raw, length);
    List<String> textTable = new ArrayList<>();
    List<Long> longTable = new ArrayList<>();
    long time = 0;
    long request = 0;
    for (int i = 0; i < count; i++) {
      int kind = in.readVarint(0, 1 << 10);
      int fields = in.readVarint(0, 2 * HAS_OTHER - 1);
      time += in.readSignedVarint();
      if ((fields & HAS_REQUEST) != 0) {
        request += in.readSignedVarint();
      }
      String id = readText(in, fields & HAS_ID, textTable);
      String className = readText(in, fields & HAS_CLASS, textTable);
      String tenant = readText(in, fields & HAS_TENANT, textTable);
      long key = readLong(in, fields & HAS_KEY, longTable);
      int attempt = (fields & HAS_ATTEMPT) == 0 ? 0 : (int) in.readSignedVarint();
      long upstream = readLong(in, fields & HAS_UPSTREAM, longTable);
      String name = readText(in, fields & HAS_NAME, textTable);
      String word = readText(in, fields & HAS_WORD, textTable);
      long value = (fields & HAS_VALUE) == 0 ? 0 : in.readSignedVarint();
      long other = (fields & HAS_OTHER) == 0 ? 0 : in.readSignedVarint();
      if (kind < KINDS.length) {
        consumer.accept(new Entry(origin, firstSeq + i, time, KINDS[kind], (fields & HAS_REQUEST) == 0 ? 0 : request, id, className, tenant, key,
            attempt, upstream, name, word, value, other));
      }
    }
    if (in.hasRemaining()) {
      throw new CorruptSegmentException("block has trailing bytes after its last record");
    }
    return count;
  }

  private static String readText(VarintBuffer in, int present, List<String> table) throws CorruptSegmentException {
    if (present == 0) {
      return null;
    }
    int id = in.readVarint(0, MAX_TABLE_SIZE);
    if (id > table.size()) {
      throw new CorruptSegmentException("reference to a missing text");
    } else if (id > 0) {
      return table.get(id - 1);
    }
    table.add(in.readString(4 * MAX_TEXT_LENGTH));
    return table.get(table.size() - 1);
  }

  private static long readLong(VarintBuffer in, int present, List<Long> table) throws CorruptSegmentException {
    if (present == 0) {
      return 0;
    }
    int id = in.readVarint(0, MAX_TABLE_SIZE);
    if (id > table.size()) {
      throw new CorruptSegmentException("reference to a missing number");
    } else if (id > 0) {
      return table.get(id - 1);
    }
    table.add(in.readFixed64());
    return table.get(table.size() - 1);
  }
}
