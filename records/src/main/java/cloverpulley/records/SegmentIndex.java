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
 * What lies in which block of a segment: of each block its place, its time and a filter of the requests' names; of each kind, word, class,
 * tenant, server the blocks that hold it, as a bitmap (Chambi et al., "Better bitmap performance with Roaring bitmaps"). Few distinct
 * values pay as bitmaps; names of requests are nearly all distinct, and pay as a Bloom filter a block. Both are bounded.
 */
final class SegmentIndex {

  /** Distinct values of a field that are indexed; past that the field is not, and its blocks are all read. */
  private static final int MOST_VALUES = 5000;
  private static final double WRONGLY_FOUND = 0.01;
  private static final int MOST_BLOCKS = 1 << 20;
  private static final int MOST_FILTER = 4 << 20;

  /** One block. */
  record Block(long offset, long least, long most, int count, long firstSeq) {}

  private final List<Block> blocks = new ArrayList<>();
  private final List<BloomFilter<CharSequence>> names = new ArrayList<>();
  private final Map<IndexedField, Map<String, RoaringBitmap>> values = new HashMap<>();
  private final Set<IndexedField> tooMany = new HashSet<>();
  private final Set<String> namesNow = new HashSet<>();

  // ---- Building ------------------------------------------------------------------------------------------

  /** A record of the block that is being written. */
  void add(Entry e) {
    int block = blocks.size();
    put(IndexedField.KIND, e.kind().name().toLowerCase(Locale.ROOT), block);
    put(IndexedField.WORD, e.word(), block);
    put(IndexedField.CLASS, e.className(), block);
    put(IndexedField.TENANT, e.tenant(), block);
    put(IndexedField.SERVER, e.name(), block);
    if (e.upstream() != 0) {
      put(IndexedField.UPSTREAM, Long.toHexString(e.upstream()), block);
    }
    if (e.id() != null) {
      namesNow.add(e.id());
    }
  }

  private void put(IndexedField term, String value, int block) {
    if (value == null || tooMany.contains(term)) {
      return;
    }
    Map<String, RoaringBitmap> of = values.computeIfAbsent(term, t -> new HashMap<>());
    of.computeIfAbsent(value, v -> new RoaringBitmap()).add(block);
    if (of.size() > MOST_VALUES) {
      values.remove(term);
      tooMany.add(term);
    }
  }

  /** The block is written. */
  void close(Block block) {
    BloomFilter<CharSequence> filter = BloomFilter.create(Funnels.stringFunnel(StandardCharsets.UTF_8), Math.max(1, namesNow.size()),
        WRONGLY_FOUND);
    namesNow.forEach(filter::put);
    namesNow.clear();
    names.add(filter);
    blocks.add(block);
  }

  List<Block> blocks() {
    return blocks;
  }

  long records() {
    return blocks.stream().mapToLong(Block::count).sum();
  }

  long least() {
    return blocks.stream().mapToLong(Block::least).min().orElse(Long.MAX_VALUE);
  }

  long most() {
    return blocks.stream().mapToLong(Block::most).max().orElse(Long.MIN_VALUE);
  }

  // ---- Asking --------------------------------------------------------------------------------------------

  /** The blocks that may hold what fits; {@code shift} is added to the records' times before they are compared. */
  RoaringBitmap fitting(Constraints needs, long shift) {
    RoaringBitmap fit = new RoaringBitmap();
    for (int i = 0; i < blocks.size(); i++) {
      Block b = blocks.get(i);
      if (b.most + shift >= needs.from() && b.least + shift <= needs.to()) {
        fit.add(i);
      }
    }
    needs.equalities().forEach((term, value) -> {
      if (term == IndexedField.REQUEST) {
        if (value.indexOf('#') < 0) { // Numbers of requests without a name are not in the filters.
          for (int i : fit.toArray()) {
            if (!names.get(i).mightContain(value)) {
              fit.remove(i);
            }
          }
        }
      } else if (!tooMany.contains(term)) {
        fit.and(values.getOrDefault(term, Map.of()).getOrDefault(value, new RoaringBitmap()));
      }
    });
    return fit;
  }

  // ---- As octets -----------------------------------------------------------------------------------------

  byte[] write() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeInt(blocks.size());
    for (int i = 0; i < blocks.size(); i++) {
      Block b = blocks.get(i);
      out.writeLong(b.offset);
      out.writeLong(b.least);
      out.writeLong(b.most);
      out.writeInt(b.count);
      out.writeLong(b.firstSeq);
      ByteArrayOutputStream filter = new ByteArrayOutputStream();
      names.get(i).writeTo(filter);
      out.writeInt(filter.size());
      filter.writeTo(out);
    }
    out.writeByte(tooMany.size());
    for (IndexedField t : tooMany) {
      out.writeUTF(t.name());
    }
    out.writeByte(values.size());
    for (Map.Entry<IndexedField, Map<String, RoaringBitmap>> e : new TreeMap<>(values).entrySet()) {
      out.writeUTF(e.getKey().name());
      out.writeInt(e.getValue().size());
      for (Map.Entry<String, RoaringBitmap> v : new TreeMap<>(e.getValue()).entrySet()) {
        out.writeUTF(v.getKey().length() <= Rows.MOST_TEXT ? v.getKey() : v.getKey().substring(0, Rows.MOST_TEXT));
        v.getValue().runOptimize();
        out.writeInt(v.getValue().serializedSizeInBytes());
        v.getValue().serialize(out);
      }
    }
    out.flush();
    return bytes.toByteArray();
  }

  /** Reads what {@link #write} wrote; anything else is an exception, and never a wrong answer: the checksum has been seen to fit. */
  static SegmentIndex read(byte[] octets) throws IOException {
    SegmentIndex index = new SegmentIndex();
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(octets))) {
      int blocks = bounded(in.readInt(), MOST_BLOCKS);
      for (int i = 0; i < blocks; i++) {
        index.blocks.add(new Block(in.readLong(), in.readLong(), in.readLong(), in.readInt(), in.readLong()));
        byte[] filter = new byte[bounded(in.readInt(), Math.min(MOST_FILTER, octets.length))];
        in.readFully(filter);
        index.names.add(BloomFilter.readFrom(new ByteArrayInputStream(filter), Funnels.stringFunnel(StandardCharsets.UTF_8)));
      }
      for (int i = in.readUnsignedByte(); i > 0; i--) {
        index.tooMany.add(IndexedField.valueOf(in.readUTF()));
      }
      for (int i = in.readUnsignedByte(); i > 0; i--) {
        IndexedField term = IndexedField.valueOf(in.readUTF());
        int count = bounded(in.readInt(), MOST_VALUES);
        Map<String, RoaringBitmap> of = new HashMap<>();
        for (int j = 0; j < count; j++) {
          String value = in.readUTF();
          byte[] bitmap = new byte[bounded(in.readInt(), octets.length)];
          in.readFully(bitmap);
          RoaringBitmap read = new RoaringBitmap();
          read.deserialize(new DataInputStream(new ByteArrayInputStream(bitmap)));
          of.put(value, read);
        }
        index.values.put(term, of);
      }
      return index;
    } catch (RuntimeException e) {
      throw new CorruptSegmentException("an index that can't be read: " + e);
    }
  }

  private static int bounded(int n, int most) throws CorruptSegmentException {
    if (n < 0 || n > most) {
      throw new CorruptSegmentException("an index with a count out of its bounds");
    }
    return n;
  }
}
