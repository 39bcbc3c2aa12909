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
 * The rows of a block: each record as what differs from the one before it, texts and large numbers once a block. A block stands by itself,
 * so that one that is spoilt costs itself alone. A kind of record that is not known (of a newer version) is passed over.
 */
final class Rows {

  /** Longer texts are cut. */
  static final int MOST_TEXT = 512;
  private static final int MOST_TABLE = 1 << 20;
  private static final Kind[] KINDS = Kind.values();

  private static final int REQUEST = 1;
  private static final int ID = 2;
  private static final int CLASS = 4;
  private static final int TENANT = 8;
  private static final int KEY = 16;
  private static final int ATTEMPT = 32;
  private static final int UPSTREAM = 64;
  private static final int NAME = 128;
  private static final int WORD = 256;
  private static final int VALUE = 512;
  private static final int OTHER = 1024;

  private Rows() {}

  /** Writes rows. */
  static final class Writer {

    final VarintBuffer out;
    private final Map<String, Integer> texts = new HashMap<>();
    private final Map<Long, Integer> numbers = new HashMap<>();
    private long at;
    private long request;
    int count;
    long firstSeq;
    long least = Long.MAX_VALUE;
    long most = Long.MIN_VALUE;

    Writer(int capacity) {
      out = new VarintBuffer(capacity);
    }

    void clear() {
      out.clear();
      texts.clear();
      numbers.clear();
      at = 0;
      request = 0;
      count = 0;
      least = Long.MAX_VALUE;
      most = Long.MIN_VALUE;
    }

    void add(Entry e) {
      if (count++ == 0) {
        firstSeq = e.seq();
      }
      least = Math.min(least, e.at());
      most = Math.max(most, e.at());
      int has = (e.request() != 0 ? REQUEST : 0) | (e.id() != null ? ID : 0) | (e.className() != null ? CLASS : 0)
          | (e.tenant() != null ? TENANT : 0) | (e.key() != 0 ? KEY : 0) | (e.attempt() != 0 ? ATTEMPT : 0)
          | (e.upstream() != 0 ? UPSTREAM : 0) | (e.name() != null ? NAME : 0) | (e.word() != null ? WORD : 0)
          | (e.value() != 0 ? VALUE : 0) | (e.other() != 0 ? OTHER : 0);
      out.number(e.kind().ordinal());
      out.number(has);
      out.signed(e.at() - at);
      at = e.at();
      if ((has & REQUEST) != 0) {
        out.signed(e.request() - request);
        request = e.request();
      }
      text(e.id());
      text(e.className());
      text(e.tenant());
      large(e.key());
      if (e.attempt() != 0) {
        out.signed(e.attempt());
      }
      large(e.upstream());
      text(e.name());
      text(e.word());
      if (e.value() != 0) {
        out.signed(e.value());
      }
      if (e.other() != 0) {
        out.signed(e.other());
      }
    }

    private void text(String s) {
      if (s == null) {
        return;
      }
      Integer known = texts.get(s);
      if (known != null) {
        out.number(known);
        return;
      }
      texts.put(s, texts.size() + 1);
      out.number(0);
      out.text(s.length() <= MOST_TEXT ? s : s.substring(0, MOST_TEXT));
    }

    private void large(long n) {
      if (n == 0) {
        return;
      }
      Integer known = numbers.get(n);
      if (known != null) {
        out.number(known);
        return;
      }
      numbers.put(n, numbers.size() + 1);
      out.number(0);
      out.fixed(n);
    }
  }

  /** Reads the rows of a block. */
  static int read(Origin origin, long firstSeq, int count, byte[] raw, int length, Consumer<Entry> to) throws CorruptSegmentException {
    VarintBuffer in = new VarintBuffer(raw, length);
    List<String> texts = new ArrayList<>();
    List<Long> numbers = new ArrayList<>();
    long at = 0;
    long request = 0;
    for (int i = 0; i < count; i++) {
      int kind = in.number(0, 1 << 10);
      int has = in.number(0, 2 * OTHER - 1);
      at += in.signed();
      if ((has & REQUEST) != 0) {
        request += in.signed();
      }
      String id = text(in, has & ID, texts);
      String className = text(in, has & CLASS, texts);
      String tenant = text(in, has & TENANT, texts);
      long key = large(in, has & KEY, numbers);
      int attempt = (has & ATTEMPT) == 0 ? 0 : (int) in.signed();
      long upstream = large(in, has & UPSTREAM, numbers);
      String name = text(in, has & NAME, texts);
      String word = text(in, has & WORD, texts);
      long value = (has & VALUE) == 0 ? 0 : in.signed();
      long other = (has & OTHER) == 0 ? 0 : in.signed();
      if (kind < KINDS.length) {
        to.accept(new Entry(origin, firstSeq + i, at, KINDS[kind], (has & REQUEST) == 0 ? 0 : request, id, className, tenant, key,
            attempt, upstream, name, word, value, other));
      }
    }
    if (in.hasMore()) {
      throw new CorruptSegmentException("more in a block than its records");
    }
    return count;
  }

  private static String text(VarintBuffer in, int has, List<String> known) throws CorruptSegmentException {
    if (has == 0) {
      return null;
    }
    int which = in.number(0, MOST_TABLE);
    if (which > known.size()) {
      throw new CorruptSegmentException("a text that is not there");
    } else if (which > 0) {
      return known.get(which - 1);
    }
    known.add(in.text(4 * MOST_TEXT));
    return known.get(known.size() - 1);
  }

  private static long large(VarintBuffer in, int has, List<Long> known) throws CorruptSegmentException {
    if (has == 0) {
      return 0;
    }
    int which = in.number(0, MOST_TABLE);
    if (which > known.size()) {
      throw new CorruptSegmentException("a number that is not there");
    } else if (which > 0) {
      return known.get(which - 1);
    }
    known.add(in.fixed());
    return known.get(known.size() - 1);
  }
}
