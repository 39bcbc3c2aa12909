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
 * Writes the segments of one incarnation. A segment that reaches its maximum size is finished and the next one started, and the oldest segments of
 * the instance are deleted if all together would exceed their limit. I/O errors are passed to the caller, which then calls {@link #abandon};
 * the next record starts a new segment. Used by one thread only.
 */
final class Store implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(Store.class.getName());

  private final RecordsConfig config;
  private final Origin origin;
  private final String frontend;
  private final SegmentWriter.Opener opener;
  private SegmentWriter current;
  private long segmentNumber;
  private long seq;

  Store(RecordsConfig config, Origin origin, String frontend, SegmentWriter.Opener opener) {
    this.config = config;
    this.origin = origin;
    this.frontend = frontend;
    this.opener = opener;
  }

  /** Writes a record with the next sequence number. */
  void add(Entry e) throws IOException {
    if (current == null) {
      openSegment(e.at());
    }
    write(e);
    if (current.size() >= config.segmentBytes()) {
      finishSegment();
      openSegment(e.at());
    }
  }

  private void write(Entry e) throws IOException {
    current.add(new Entry(origin, ++seq, e.at(), e.kind(), e.request(), e.id(), e.className(), e.tenant(), e.key(), e.attempt(),
        e.upstream(), e.name(), e.word(), e.value(), e.other()));
  }

  /** The last sequence number that was assigned. */
  long lastSeq() {
    return seq;
  }

  private void openSegment(long now) throws IOException {
    Files.createDirectories(config.folder());
    current = new SegmentWriter(opener, config.folder().resolve(SegmentWriter.fileName(origin, segmentNumber++)), origin, frontend);
    enforceSizeLimit(now);
  }

  /** Deletes the oldest segments of this instance, of all incarnations. The deletions are the first records of the new segment. */
  private void enforceSizeLimit(long now) throws IOException {
    List<Path> segments = new ArrayList<>();
    String ownName = SegmentWriter.fileName(origin, 0);
    String prefix = ownName.substring(0, ownName.length() - SegmentWriter.SUFFIX.length() - 26);
    try (Stream<Path> all = Files.list(config.folder())) {
      all.filter(SegmentWriter::isSegment).filter(file -> file.getFileName().toString().startsWith(prefix)
          && file.getFileName().toString().length() == ownName.length()).sorted().forEach(segments::add);
    }
    long totalBytes = 0;
    for (Path file : segments) {
      totalBytes += Files.size(file);
    }
    // The current segment may still grow to its maximum size.
    for (int i = 0; i < segments.size() - 1 && totalBytes + config.segmentBytes() > config.maxBytes(); i++) {
      totalBytes -= Files.size(segments.get(i));
      long records = -1;
      long maxTime = 0;
      try (SegmentReader r = new SegmentReader(segments.get(i))) {
        records = r.records();
        maxTime = r.maxTime();
      } catch (IOException e) {
        LOG.fine(() -> "deleting an old segment that can't be read: " + e);
      }
      Files.delete(segments.get(i));
      write(Entry.of(origin, 0, now, Kind.REMOVED)
          .withDetails(segments.get(i).getFileName().toString(), records, Math.max(0, maxTime)));
    }
  }

  /** Writes the buffered records to the file. */
  void flush() throws IOException {
    if (current != null) {
      current.flush();
      if (config.sync() == RecordsConfig.Sync.FLUSH) {
        current.force();
      }
    }
  }

  private void finishSegment() throws IOException {
    SegmentWriter finished = current;
    current = null;
    try (finished) {
      finished.finish();
    }
  }

  /** Closes the current segment after an I/O error. Its complete blocks stay readable; sequence numbers of records not yet written are missing. */
  void abandon() {
    if (current == null) {
      return;
    }
    SegmentWriter failed = current;
    current = null;
    try {
      failed.close();
    } catch (IOException e) {
      LOG.fine(() -> "closing a segment after a write error failed: " + e);
    }
  }

  @Override
  public void close() throws IOException {
    if (current != null) {
      finishSegment();
    }
  }
}
