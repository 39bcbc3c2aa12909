package cloverpulley.records;

import cloverpulley.incident.Entry;
import cloverpulley.incident.Query.Constraints;
import cloverpulley.incident.Query.IndexedField;
import com.google.common.hash.BloomFilter;
import com.google.common.hash.Funnels;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.roaringbitmap.RoaringBitmap;

/**
 * The index of a segment. It has the offset, time range and a Bloom filter of the request IDs of each block, and for each value of a kind,
 * word, class, tenant, server or upstream a bitmap of the blocks that contain it (Chambi et al., "Better bitmap performance with Roaring
 * bitmaps"). Bitmaps suit fields with few distinct values; request IDs are nearly all distinct, so a Bloom filter for each block takes less
 * space. The size of both is bounded.
 */
final class SegmentIndex {

  /** Maximum number of distinct values of an indexed field; a field with more is not indexed, and queries for it read all blocks. */
  private static final int MAX_VALUES = 5000;
  private static final double FALSE_POSITIVE_RATE = 0.01;
  private static final int MAX_BLOCKS = 1 << 20;
  private static final int MAX_FILTER_BYTES = 4 << 20;

  /** Position and contents of a data block. Times are in microseconds of Unix time. */
  record Block(long offset, long minTime, long maxTime, int count, long firstSeq) {}

  private final List<Block> blocks = new ArrayList<>();
  private final List<BloomFilter<CharSequence>> requestFilters = new ArrayList<>();
  private final Map<IndexedField, Map<String, RoaringBitmap>> values = new HashMap<>();
  private final Set<IndexedField> unindexedFields = new HashSet<>();
  private final Set<String> currentIds = new HashSet<>();

  // ---- Building ------------------------------------------------------------------------------------------

  /** Adds a record of the block that is currently being written. */
  void add(Entry e) {
    int block = blocks.size();
    addValue(IndexedField.KIND, e.kind().name().toLowerCase(Locale.ROOT), block);
    addValue(IndexedField.WORD, e.word(), block);
    addValue(IndexedField.CLASS, e.className(), block);
    addValue(IndexedField.TENANT, e.tenant(), block);
    addValue(IndexedField.SERVER, e.name(), block);
    if (e.upstream() != 0) {
      addValue(IndexedField.UPSTREAM, Long.toHexString(e.upstream()), block);
    }
    if (e.id() != null) {
      currentIds.add(e.id());
    }
  }

  private void addValue(IndexedField field, String value, int block) {
    if (value == null || unindexedFields.contains(field)) {
      return;
    }
    Map<String, RoaringBitmap> bitmaps = values.computeIfAbsent(field, f -> new HashMap<>());
    bitmaps.computeIfAbsent(value, v -> new RoaringBitmap()).add(block);
    if (bitmaps.size() > MAX_VALUES) {
      values.remove(field);
      unindexedFields.add(field);
    }
  }

  /** Completes the current block, after it has been written. */
  void closeBlock(Block block) {
    BloomFilter<CharSequence> filter = BloomFilter.create(Funnels.stringFunnel(StandardCharsets.UTF_8), Math.max(1, currentIds.size()),
        FALSE_POSITIVE_RATE);
    currentIds.forEach(filter::put);
    currentIds.clear();
    requestFilters.add(filter);
    blocks.add(block);
  }

  List<Block> blocks() {
    return blocks;
  }

  long records() {
    return blocks.stream().mapToLong(Block::count).sum();
  }

  long minTime() {
    return blocks.stream().mapToLong(Block::minTime).min().orElse(Long.MAX_VALUE);
  }

  long maxTime() {
    return blocks.stream().mapToLong(Block::maxTime).max().orElse(Long.MIN_VALUE);
  }

  // ---- Lookup --------------------------------------------------------------------------------------------

  /** The blocks that may contain matching records; {@code clockOffset} is added to the records' times before they are compared. */
  RoaringBitmap matchingBlocks(Constraints constraints, long clockOffset) {
    RoaringBitmap matching = new RoaringBitmap();
    for (int i = 0; i < blocks.size(); i++) {
      Block b = blocks.get(i);
      if (b.maxTime + clockOffset >= constraints.from() && b.minTime + clockOffset <= constraints.to()) {
        matching.add(i);
      }
    }
    constraints.equalities().forEach((field, value) -> {
      if (field == IndexedField.REQUEST) {
        if (value.indexOf('#') < 0) { // A value with # identifies a request without an ID: those are not in the filters.
          for (int i : matching.toArray()) {
            if (!requestFilters.get(i).mightContain(value)) {
              matching.remove(i);
            }
          }
        }
      } else if (!unindexedFields.contains(field)) {
        matching.and(values.getOrDefault(field, Map.of()).getOrDefault(value, new RoaringBitmap()));
      }
    });
    return matching;
  }

  // ---- Serialization -------------------------------------------------------------------------------------

  byte[] write() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeInt(blocks.size());
    for (int i = 0; i < blocks.size(); i++) {
      Block b = blocks.get(i);
      out.writeLong(b.offset);
      out.writeLong(b.minTime);
      out.writeLong(b.maxTime);
      out.writeInt(b.count);
      out.writeLong(b.firstSeq);
      ByteArrayOutputStream filter = new ByteArrayOutputStream();
      requestFilters.get(i).writeTo(filter);
      out.writeInt(filter.size());
      filter.writeTo(out);
    }
    out.writeByte(unindexedFields.size());
    for (IndexedField field : unindexedFields) {
      out.writeUTF(field.name());
    }
    out.writeByte(values.size());
    for (Map.Entry<IndexedField, Map<String, RoaringBitmap>> e : new TreeMap<>(values).entrySet()) {
      out.writeUTF(e.getKey().name());
      out.writeInt(e.getValue().size());
      for (Map.Entry<String, RoaringBitmap> v : new TreeMap<>(e.getValue()).entrySet()) {
        out.writeUTF(v.getKey().length() <= Rows.MAX_TEXT_LENGTH ? v.getKey() : v.getKey().substring(0, Rows.MAX_TEXT_LENGTH));
        v.getValue().runOptimize();
        out.writeInt(v.getValue().serializedSizeInBytes());
        v.getValue().serialize(out);
      }
    }
    out.flush();
    return bytes.toByteArray();
  }

  /** Parses what {@link #write} returned and throws on anything else. The caller has already verified the checksum. */
  static SegmentIndex read(byte[] bytes) throws IOException {
    SegmentIndex index = new SegmentIndex();
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
      int blocks = checkBounds(in.readInt(), MAX_BLOCKS);
      for (int i = 0; i < blocks; i++) {
        index.blocks.add(new Block(in.readLong(), in.readLong(), in.readLong(), in.readInt(), in.readLong()));
        byte[] filter = new byte[checkBounds(in.readInt(), Math.min(MAX_FILTER_BYTES, bytes.length))];
        in.readFully(filter);
        index.requestFilters.add(BloomFilter.readFrom(new ByteArrayInputStream(filter), Funnels.stringFunnel(StandardCharsets.UTF_8)));
      }
      for (int i = in.readUnsignedByte(); i > 0; i--) {
        index.unindexedFields.add(IndexedField.valueOf(in.readUTF()));
      }
      for (int i = in.readUnsignedByte(); i > 0; i--) {
        IndexedField field = IndexedField.valueOf(in.readUTF());
        int count = checkBounds(in.readInt(), MAX_VALUES);
        Map<String, RoaringBitmap> bitmaps = new HashMap<>();
        for (int j = 0; j < count; j++) {
          String value = in.readUTF();
          byte[] bitmap = new byte[checkBounds(in.readInt(), bytes.length)];
          in.readFully(bitmap);
          RoaringBitmap decoded = new RoaringBitmap();
          decoded.deserialize(new DataInputStream(new ByteArrayInputStream(bitmap)));
          bitmaps.put(value, decoded);
        }
        index.values.put(field, bitmaps);
      }
      return index;
    } catch (RuntimeException e) {
      throw new CorruptSegmentException("unreadable index: " + e);
    }
  }

  private static int checkBounds(int n, int max) throws CorruptSegmentException {
    if (n < 0 || n > max) {
      throw new CorruptSegmentException("count in the index out of range");
    }
    return n;
  }
}
