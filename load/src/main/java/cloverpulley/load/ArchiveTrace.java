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
 * Converts the records that {@code [records]} writes to a trace. Each final answer becomes a request at the time at which the request
 * arrived, with the key hash and the work hint that the engine recorded for it. Records of several instances are merged by their own clocks.
 */
public final class ArchiveTrace {

  /** Limit on answers buffered for sorting, and on requests that await their answer. Beyond it the oldest is written or dropped. */
  private static final int MAX_BUFFERED = 1 << 18;

  /**
   * Counters of a conversion.
   *
   * @param unmatched answers for which the engine recorded no request, such as those served from a cache
   */
  public record Summary(long requests, long unmatched, long dropped, int corruptBlocks) {}

  private final PriorityQueue<Trace.Entry> buffer = new PriorityQueue<>(Comparator.comparingLong(Trace.Entry::atMicros));
  private final Map<String, Entry> acceptedById = new LinkedHashMap<>() {
    private static final long serialVersionUID = 1;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
      return size() > MAX_BUFFERED;
    }
  };
  private final Trace.Writer out;
  private long firstMicros = -1;
  private long lastMicros;
  private long requests;
  private long unmatched;
  private long dropped;

  private ArchiveTrace(OutputStream to) throws IOException {
    out = new Trace.Writer(to);
  }

  /** Writes a trace of all records that are in the archive now. */
  public static Summary convert(Archive archive, OutputStream to) throws IOException {
    ArchiveTrace t = new ArchiveTrace(to);
    try {
      Archive.Read read = archive.read(Query.of("kind=taken or kind=answered or kind=dropped"), t::accept, n -> { });
      while (!t.buffer.isEmpty()) {
        t.write();
      }
      t.out.close();
      return new Summary(t.requests, t.unmatched, t.dropped, read.corruptBlocks());
    } catch (UncheckedIOException e) {
      throw e.getCause();
    }
  }

  private void accept(Entry e) {
    if (e.kind() == Kind.TAKEN) {
      if (e.id() != null) {
        acceptedById.put(e.id(), e);
      }
    } else if (e.kind() == Kind.DROPPED) {
      dropped += "answered".equals(e.word()) ? e.value() : 0;
    } else if (!"caller".equals(e.word()) && e.className() != null) {
      Entry request = e.id() == null ? null : acceptedById.remove(e.id());
      unmatched += request == null ? 1 : 0;
      buffer.add(new Trace.Entry(Math.max(0, e.at() - e.value()), e.className(), e.tenant() == null ? "" : e.tenant(),
          request == null ? 0 : request.key(), request == null ? 0 : request.other(), 0, e.value(), outcome(e)));
      if (buffer.size() > MAX_BUFFERED) {
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
    Trace.Entry e = buffer.poll();
    firstMicros = firstMicros < 0 ? e.atMicros() : firstMicros;
    // Records of another instance may begin before the last entry written. Times in a trace never decrease, so an entry that comes too
    // late to be sorted gets the time of the last one.
    lastMicros = Math.max(lastMicros, Math.max(0, e.atMicros() - firstMicros));
    try {
      out.add(new Trace.Entry(lastMicros, e.className(), e.tenant(), e.keyHash(), e.hintMicros(), e.bytes(), e.latencyMicros(), e.outcome()));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    requests++;
  }
}
