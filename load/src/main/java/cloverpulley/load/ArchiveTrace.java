package cloverpulley.load;

import cloverpulley.incident.Entry;
import cloverpulley.incident.Kind;
import cloverpulley.incident.Query;
import cloverpulley.load.Driver.Outcome;
import cloverpulley.records.Archive;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Makes a trace of the records that {@code [records]} writes: a request for each final answer, at the time at which it came, with the key's
 * hash and the hint that the engine was told of it. Records of several instances are put together by their own clocks.
 */
public final class ArchiveTrace {

  /** Answers held to be put in order, and requests whose answer has not come yet; what is beyond it goes as it stands. */
  private static final int MOST_HELD = 1 << 18;

  /** What came of it; {@code unmatched} are answers of which the engine told nothing, as of those from a cache. */
  public record Count(long requests, long unmatched, long dropped, int spoiltBlocks) {}

  private final PriorityQueue<Trace.Entry> held = new PriorityQueue<>(Comparator.comparingLong(Trace.Entry::atMicros));
  private final Map<String, Entry> taken = new LinkedHashMap<>() {
    private static final long serialVersionUID = 1;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
      return size() > MOST_HELD;
    }
  };
  private final Trace.Writer out;
  private long first = -1;
  private long last;
  private long requests;
  private long unmatched;
  private long dropped;

  private ArchiveTrace(OutputStream to) throws IOException {
    out = new Trace.Writer(to);
  }

  /** Writes the trace of what the folders hold now. */
  public static Count convert(Archive archive, OutputStream to) throws IOException {
    ArchiveTrace t = new ArchiveTrace(to);
    try {
      Archive.Read read = archive.read(Query.of("kind=taken or kind=answered or kind=dropped"), t::take, n -> { });
      while (!t.held.isEmpty()) {
        t.write();
      }
      t.out.close();
      return new Count(t.requests, t.unmatched, t.dropped, read.corruptBlocks());
    } catch (UncheckedIOException e) {
      throw e.getCause();
    }
  }

  private void take(Entry e) {
    if (e.kind() == Kind.TAKEN) {
      if (e.id() != null) {
        taken.put(e.id(), e);
      }
    } else if (e.kind() == Kind.DROPPED) {
      dropped += "answered".equals(e.word()) ? e.value() : 0;
    } else if (!"caller".equals(e.word()) && e.className() != null) {
      Entry request = e.id() == null ? null : taken.remove(e.id());
      unmatched += request == null ? 1 : 0;
      held.add(new Trace.Entry(Math.max(0, e.at() - e.value()), e.className(), e.tenant() == null ? "" : e.tenant(),
          request == null ? 0 : request.key(), request == null ? 0 : request.other(), 0, e.value(), outcome(e)));
      if (held.size() > MOST_HELD) {
        write();
      }
    }
  }

  private static Outcome outcome(Entry e) {
    return switch ((int) e.other()) {
      case Entry.SERVED -> Outcome.SERVED;
      case Entry.REFUSED -> Outcome.REFUSED;
      case Entry.GONE -> Outcome.TIMEOUT;
      default -> Outcome.FAILED;
    };
  }

  private void write() {
    Trace.Entry e = held.poll();
    first = first < 0 ? e.atMicros() : first;
    // Another instance's records may begin before the first one's end: what is too late to be put in order is put where it is in time.
    last = Math.max(last, Math.max(0, e.atMicros() - first));
    try {
      out.add(new Trace.Entry(last, e.className(), e.tenant(), e.keyHash(), e.hintMicros(), e.bytes(), e.latencyMicros(), e.outcome()));
    } catch (IOException x) {
      throw new UncheckedIOException(x);
    }
    requests++;
  }
}
