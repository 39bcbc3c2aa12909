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

/** The records in some folders: segments of any instances and lives, whole, torn, spoilt or still being written. */
public final class Archive {

  private static final int MOST_SEGMENTS = 100_000;
  private static final Constraints ALL = new Constraints(Long.MIN_VALUE, Long.MAX_VALUE, Map.of());

  /** One file that could be opened, or why it could not ({@code origin} is null then). */
  public record Segment(Path file, long octets, Origin origin, String front, boolean whole, String problem) {}

  /** What came of a reading. */
  public record Read(long records, long fitting, int blocks, int spoiltBlocks, long lostOctets, long tornOctets, List<Segment> unread) {}

  private final List<Segment> segments = new ArrayList<>();

  /**
   * Looks into folders, and takes files as they are.
   *
   * @throws IOException where a folder can't be listed or there are more than 100,000 segments
   */
  public Archive(List<Path> places) throws IOException {
    List<Path> files = new ArrayList<>();
    for (Path place : places) {
      if (Files.isDirectory(place)) {
        try (Stream<Path> all = Files.walk(place, 4)) {
          all.filter(SegmentWriter::isSegment).limit(MOST_SEGMENTS + 1L).forEach(files::add);
        }
      } else {
        files.add(place);
      }
    }
    if (files.size() > MOST_SEGMENTS) {
      throw new IOException("more than " + MOST_SEGMENTS + " segments");
    }
    files.sort((a, b) -> a.getFileName().compareTo(b.getFileName()));
    for (Path file : files) {
      long octets = Files.exists(file) ? Files.size(file) : 0;
      try (SegmentReader r = new SegmentReader(file)) {
        segments.add(new Segment(file, octets, r.origin(), r.frontend(), r.isComplete(), null));
      } catch (IOException e) {
        segments.add(new Segment(file, octets, null, null, false, String.valueOf(e.getMessage())));
      }
    }
  }

  public List<Segment> segments() {
    return segments;
  }

  public long octets() {
    return segments.stream().mapToLong(Segment::octets).sum();
  }

  /** Everything, an instance's life after the other, each in its own order. */
  public Read all(Consumer<Entry> to, LongConsumer octetsDone) throws IOException {
    return read(ALL, e -> true, o -> 0, true, to, octetsDone);
  }

  /** What fits a question, by the index where there is one. */
  public Read read(Query query, Consumer<Entry> to, LongConsumer octetsDone) throws IOException {
    return read(query.constraints(), query::test, o -> 0, true, to, octetsDone);
  }

  /** The same without looking into any index: what a plain reader would do. */
  public Read scan(Query query, Consumer<Entry> to) throws IOException {
    return read(ALL, query::test, o -> 0, false, to, n -> { });
  }

  /** What lies between two times of a reference clock; {@code shift} says what is to be added to an origin's own times. */
  public Read between(long from, long to, ToLongFunction<Origin> shift, Consumer<Entry> give, LongConsumer octetsDone)
      throws IOException {
    return read(new Constraints(from, to, Map.of()), e -> {
      long at = e.at() + shift.applyAsLong(e.origin());
      return at >= from && at <= to;
    }, shift, true, give, octetsDone);
  }

  private interface Test {
    boolean fits(Entry e);
  }

  private Read read(Constraints needs, Test test, ToLongFunction<Origin> shift, boolean useIndex, Consumer<Entry> to, LongConsumer octetsDone)
      throws IOException {
    long[] counts = new long[2];
    int blocks = 0;
    int spoilt = 0;
    long lost = 0;
    long torn = 0;
    long done = 0;
    List<Segment> unread = new ArrayList<>();
    for (Segment s : segments) {
      if (s.origin() == null) {
        unread.add(s);
      } else {
        try (SegmentReader r = new SegmentReader(s.file())) {
          blocks += r.read(needs, shift.applyAsLong(s.origin()), useIndex, e -> {
            counts[0]++;
            if (test.fits(e)) {
              counts[1]++;
              to.accept(e);
            }
          });
          spoilt += r.damage().corruptBlocks();
          lost += r.damage().lostBytes();
          torn += r.damage().truncatedBytes();
        } catch (java.nio.file.NoSuchFileException e) {
          // The oldest may go while the others are read: its going is recorded in a younger one.
          unread.add(new Segment(s.file(), s.octets(), s.origin(), s.front(), s.whole(), "has gone meanwhile"));
        }
      }
      done += s.octets();
      octetsDone.accept(done);
    }
    return new Read(counts[0], counts[1], blocks, spoilt, lost, torn, unread);
  }

  /** The lives that have records, by instance. */
  public Map<String, List<Origin>> lives() {
    Map<String, List<Origin>> lives = new TreeMap<>();
    for (Segment s : segments) {
      if (s.origin() != null) {
        List<Origin> of = lives.computeIfAbsent(s.origin().instance(), i -> new ArrayList<>());
        if (!of.contains(s.origin())) {
          of.add(s.origin());
        }
      }
    }
    return lives;
  }
}
