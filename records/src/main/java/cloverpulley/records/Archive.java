package cloverpulley.records;

import cloverpulley.incident.Entry;
import cloverpulley.incident.Origin;
import cloverpulley.incident.Query;
import cloverpulley.incident.Query.Constraints;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

/** The records in a set of folders: segments of any instances and incarnations, complete, truncated, corrupt or still being written. */
public final class Archive {

  private static final int MAX_SEGMENTS = 100_000;
  private static final Constraints ALL = new Constraints(Long.MIN_VALUE, Long.MAX_VALUE, Map.of());

  /**
   * A file of the archive.
   *
   * @param origin null if the file could not be opened as a segment
   * @param complete whether its writer finished it
   * @param problem why the file could not be read; null if it could
   */
  public record Segment(Path file, long bytes, Origin origin, String frontend, boolean complete, String problem) {}

  /**
   * Statistics of one read.
   *
   * @param records records that were read
   * @param matching records that were passed to the consumer
   * @param blocks blocks that were read
   * @param lostBytes bytes skipped with corrupt blocks
   * @param truncatedBytes bytes at the ends of segments after the last valid block
   * @param unread segments that could not be read
   */
  public record Read(long records, long matching, int blocks, int corruptBlocks, long lostBytes, long truncatedBytes, List<Segment> unread) {}

  private final List<Segment> segments = new ArrayList<>();

  /**
   * Opens the segments in the given folders, and the given files.
   *
   * @throws IOException if a folder cannot be listed or there are more than 100,000 segments
   */
  public Archive(List<Path> paths) throws IOException {
    List<Path> files = new ArrayList<>();
    for (Path path : paths) {
      if (Files.isDirectory(path)) {
        try (Stream<Path> all = Files.walk(path, 4)) {
          all.filter(SegmentWriter::isSegment).limit(MAX_SEGMENTS + 1L).forEach(files::add);
        }
      } else {
        files.add(path);
      }
    }
    if (files.size() > MAX_SEGMENTS) {
      throw new IOException("more than " + MAX_SEGMENTS + " segments");
    }
    files.sort((a, b) -> a.getFileName().compareTo(b.getFileName()));
    for (Path file : files) {
      long bytes = Files.exists(file) ? Files.size(file) : 0;
      try (SegmentReader r = new SegmentReader(file)) {
        segments.add(new Segment(file, bytes, r.origin(), r.frontend(), r.isComplete(), null));
      } catch (IOException e) {
        segments.add(new Segment(file, bytes, null, null, false, String.valueOf(e.getMessage())));
      }
    }
  }

  public List<Segment> segments() {
    return segments;
  }

  public long bytes() {
    return segments.stream().mapToLong(Segment::bytes).sum();
  }

  /** Reads all records: one incarnation of an instance after the other, each in the order of its records. */
  public Read readAll(Consumer<Entry> consumer, LongConsumer bytesDone) throws IOException {
    return read(ALL, e -> true, origin -> 0, true, consumer, bytesDone);
  }

  /** Reads the records that match a query, using the indexes that exist. */
  public Read read(Query query, Consumer<Entry> consumer, LongConsumer bytesDone) throws IOException {
    return read(query.constraints(), query::test, origin -> 0, true, consumer, bytesDone);
  }

  /** Reads the records that match a query without using any index. */
  public Read scan(Query query, Consumer<Entry> consumer) throws IOException {
    return read(ALL, query::test, origin -> 0, false, consumer, n -> { });
  }

  /** Reads the records between two times of a reference clock; {@code clockOffset} is what to add to the times of an origin. */
  public Read readBetween(long from, long to, ToLongFunction<Origin> clockOffset, Consumer<Entry> consumer, LongConsumer bytesDone)
      throws IOException {
    return read(new Constraints(from, to, Map.of()), e -> {
      long at = e.at() + clockOffset.applyAsLong(e.origin());
      return at >= from && at <= to;
    }, clockOffset, true, consumer, bytesDone);
  }

  private interface Filter {
    boolean matches(Entry e);
  }

  private Read read(Constraints constraints, Filter filter, ToLongFunction<Origin> clockOffset, boolean useIndex,
      Consumer<Entry> consumer, LongConsumer bytesDone) throws IOException {
    long[] counts = new long[2];
    int blocks = 0;
    int corruptBlocks = 0;
    long lostBytes = 0;
    long truncatedBytes = 0;
    long bytesRead = 0;
    List<Segment> unread = new ArrayList<>();
    for (Segment s : segments) {
      if (s.origin() == null) {
        unread.add(s);
      } else {
        try (SegmentReader r = new SegmentReader(s.file())) {
          blocks += r.read(constraints, clockOffset.applyAsLong(s.origin()), useIndex, e -> {
            counts[0]++;
            if (filter.matches(e)) {
              counts[1]++;
              consumer.accept(e);
            }
          });
          corruptBlocks += r.damage().corruptBlocks();
          lostBytes += r.damage().lostBytes();
          truncatedBytes += r.damage().truncatedBytes();
        } catch (java.nio.file.NoSuchFileException e) {
          // The writer may delete the oldest segment during the read; it records that in a newer segment.
          unread.add(new Segment(s.file(), s.bytes(), s.origin(), s.frontend(), s.complete(), "deleted during the read"));
        }
      }
      bytesRead += s.bytes();
      bytesDone.accept(bytesRead);
    }
    return new Read(counts[0], counts[1], blocks, corruptBlocks, lostBytes, truncatedBytes, unread);
  }

  /** The incarnations that have records, by instance. */
  public Map<String, List<Origin>> incarnations() {
    Map<String, List<Origin>> incarnations = new TreeMap<>();
    for (Segment s : segments) {
      if (s.origin() != null) {
        List<Origin> origins = incarnations.computeIfAbsent(s.origin().instance(), i -> new ArrayList<>());
        if (!origins.contains(s.origin())) {
          origins.add(s.origin());
        }
      }
    }
    return incarnations;
  }
}
