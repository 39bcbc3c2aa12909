package cloverpulley.records;

import cloverpulley.incident.Entry;
import cloverpulley.incident.Kind;
import cloverpulley.incident.Origin;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Logger;
import java.util.stream.Stream;

/**
 * One life's segments in a folder: the open one, which is ended at its size, and those before it, of which the oldest go where all are
 * more than the bound. What can't be written is told to whoever gave it; after a fault a new segment is begun. One thread.
 */
final class Store implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(Store.class.getName());

  private final RecordsConfig config;
  private final Origin origin;
  private final String front;
  private final SegmentWriter.Opener opener;
  private SegmentWriter open;
  private long number;
  private long seq;

  Store(RecordsConfig config, Origin origin, String front, SegmentWriter.Opener opener) {
    this.config = config;
    this.origin = origin;
    this.front = front;
    this.opener = opener;
  }

  /** Writes a record under the next number. */
  void add(Entry e) throws IOException {
    if (open == null) {
      begin(e.at());
    }
    write(e);
    if (open.size() >= config.segmentBytes()) {
      end();
      begin(e.at());
    }
  }

  private void write(Entry e) throws IOException {
    open.add(new Entry(origin, ++seq, e.at(), e.kind(), e.request(), e.id(), e.className(), e.tenant(), e.key(), e.attempt(),
        e.upstream(), e.name(), e.word(), e.value(), e.other()));
  }

  /** How many records have a number. */
  long numbered() {
    return seq;
  }

  private void begin(long now) throws IOException {
    Files.createDirectories(config.folder());
    open = new SegmentWriter(opener, config.folder().resolve(SegmentWriter.name(origin, number++)), origin, front);
    makeRoom(now);
  }

  /** The oldest segments of this instance's lives go; that they went is recorded before anything else is. */
  private void makeRoom(long now) throws IOException {
    List<Path> own = new ArrayList<>();
    String mine = SegmentWriter.name(origin, 0);
    String prefix = mine.substring(0, mine.length() - SegmentWriter.SUFFIX.length() - 26);
    try (Stream<Path> all = Files.list(config.folder())) {
      all.filter(SegmentWriter::isSegment).filter(f -> f.getFileName().toString().startsWith(prefix)
          && f.getFileName().toString().length() == mine.length()).sorted().forEach(own::add);
    }
    long octets = 0;
    for (Path f : own) {
      octets += Files.size(f);
    }
    // The open one may grow to its size yet.
    for (int i = 0; i < own.size() - 1 && octets + config.segmentBytes() > config.mostBytes(); i++) {
      octets -= Files.size(own.get(i));
      long records = -1;
      long until = 0;
      try (SegmentReader r = new SegmentReader(own.get(i))) {
        records = r.records();
        until = r.most();
      } catch (IOException e) {
        LOG.fine(() -> "an old segment that can't be read goes: " + e);
      }
      Files.delete(own.get(i));
      write(Entry.of(origin, 0, now, Kind.REMOVED)
          .withDetails(own.get(i).getFileName().toString(), records, Math.max(0, until)));
    }
  }

  /** Puts what waits into the file. */
  void flush() throws IOException {
    if (open != null) {
      open.flush();
      if (config.sync() == RecordsConfig.Sync.FLUSH) {
        open.force();
      }
    }
  }

  private void end() throws IOException {
    SegmentWriter ending = open;
    open = null;
    try (ending) {
      ending.finish();
    }
  }

  /** After a fault: whatever of the open segment is in the file stays there; the numbers of what was not in it yet are missing. */
  void abandon() {
    if (open == null) {
      return;
    }
    SegmentWriter broken = open;
    open = null;
    try {
      broken.close();
    } catch (IOException e) {
      LOG.fine(() -> "a broken segment can't be closed: " + e);
    }
  }

  @Override
  public void close() throws IOException {
    if (open != null) {
      end();
    }
  }
}
