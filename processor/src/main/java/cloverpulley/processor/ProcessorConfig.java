package cloverpulley.processor;

import cloverpulley.config.Section;
import cloverpulley.repeats.AttemptTracker;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * What the processor is told in {@code [processor]} of the operators' file.
 *
 * @param messageTimeoutNanos the callers' {@code message_timeout}: no verdict comes later than that
 * @param ioThreads threads that read and write; decisions have one of their own
 * @param askForResponses whether callers are asked by {@code mode_override} to send the response phase
 * @param lameMillis how long new connections are still taken after SIGTERM, for a successor to come up
 * @param drainMillis how long after that what is open may go on
 * @param warmUpCalls calls made of itself before it listens
 * @param recordsFile where a line for each call is written; null for nowhere
 */
public record ProcessorConfig(InetSocketAddress listen, long messageTimeoutNanos, int ioThreads, boolean askForResponses,
    boolean reflection, boolean reusePort, long lameMillis, long drainMillis, int warmUpCalls, Names names, Limits limits,
    AttemptTracker.Config repeats, boolean countRequired, Tls tls,
    Path recordsFile, long recordsMostBytes) {

  /** The same for a processor beside this one, at a port of its own on loopback and without certificates. */
  ProcessorConfig aside() {
    return new ProcessorConfig(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), messageTimeoutNanos, 1,
        askForResponses, false, false, 0, 0, 0, names, limits, repeats, countRequired, null, null, 0);
  }

  /** What a caller sends under which name; header names are lower case, as HTTP/2 has them. */
  public record Names(String destination, List<String> strip, String metadata, List<String> id, String attemptCount,
      String className, String defaultClass, String tenant, String key, String keyCookie, String hint, String expires,
      String retry, String idempotency, String quota) {}

  /** Bounds on what callers can make the processor keep. Times in milliseconds, sizes in bytes. */
  public record Limits(int streams, int streamsPerConnection, int messageBytes, int headerBytes, int headers,
      long firstMessageMillis, long streamIdleMillis, long connectionIdleMillis, long connectionAgeMillis) {}

  /** Files in PEM form; {@code clientCa} null where callers need no certificate. */
  public record Tls(Path certificate, Path key, Path clientCa) {}

  /** Records are kept for the longest deadline and dedup window together unless told, and for no less than this. */
  private static final long LEAST_KEPT_MS = 10_000;
  private static final long DAY_MS = 86_400_000;

  /**
   * Reads the section.
   *
   * @param longestNanos the longest deadline and dedup window of the classes together: as long as a repeat may matter
   */
  public static ProcessorConfig read(Section s, long longestNanos) {
    InetSocketAddress listen = s.address("listen", "127.0.0.1:9002");
    long timeout = s.integer("message_timeout_ms", 10, 60_000, 200);
    Section l = s.table("limits");
    Limits limits = new Limits((int) l.integer("streams", 1, 1_000_000, 20_000),
        (int) l.integer("streams_per_connection", 1, 1_000_000, 10_000),
        (int) l.integer("message_bytes", 1024, 64 << 20, 1 << 20), (int) l.integer("header_bytes", 256, 16 << 20, 64 << 10),
        (int) l.integer("headers", 1, 100_000, 256), l.integer("first_message_ms", 1, DAY_MS, 5000),
        l.integer("stream_idle_ms", 1, DAY_MS, 60_000), l.integer("connection_idle_ms", 1, DAY_MS, 300_000),
        l.integer("connection_age_ms", 1000, 30 * DAY_MS, DAY_MS));
    Section r = s.table("repeats");
    long keep = r.integer("keep_ms", 1, DAY_MS, Math.max(LEAST_KEPT_MS, TimeUnit.NANOSECONDS.toMillis(longestNanos)));
    if (TimeUnit.MILLISECONDS.toNanos(keep) < longestNanos) {
      r.reportError("keep_ms", "expected no less than the longest deadline and dedup window together, "
          + TimeUnit.NANOSECONDS.toMillis(longestNanos) + ", got " + keep);
    }
    AttemptTracker.Config repeats =
        new AttemptTracker.Config((int) r.integer("most", 1, 10_000_000, 100_000), TimeUnit.MILLISECONDS.toNanos(keep));
    return new ProcessorConfig(listen, TimeUnit.MILLISECONDS.toNanos(timeout), (int) s.integer("io_threads", 1, 64, 1),
        s.bool("ask_for_responses", true), s.bool("reflection", false), s.bool("reuse_port", true),
        s.integer("lame_ms", 0, DAY_MS, 500), s.integer("drain_ms", 0, DAY_MS, 10_000),
        (int) s.integer("warm_up_calls", 0, 100_000, 500), names(s.table("headers")), limits, repeats,
        r.bool("count_required", false), tls(s, listen),
        records(s), s.integer("records_most_mb", 1, 100_000, 256) << 20);
  }

  private static Path records(Section s) {
    String file = s.string("records_file", "");
    return file.isEmpty() ? null : Path.of(file);
  }

  private static Names names(Section h) {
    List<String> ids = new ArrayList<>();
    h.strings("id", List.of("x-request-id", "x-trace-id")).forEach(id -> ids.add(name(h, "id", id)));
    List<String> strip = new ArrayList<>();
    h.strings("strip", List.of("x-gateway-destination-endpoint", "x-envoy-original-dst-host"))
        .forEach(n -> strip.add(name(h, "strip", n)));
    String destination = name(h, "destination", h.string("destination", "x-gateway-destination-endpoint"));
    strip.remove(destination); // It is overwritten, or removed where the caller gets no destination.
    return new Names(destination, List.copyOf(strip), h.string("metadata", "envoy.lb"), List.copyOf(ids),
        header(h, "attempt_count", "x-envoy-attempt-count"), header(h, "class", "x-qos"), h.string("default_class", ""),
        header(h, "tenant", "x-customer"), header(h, "key", "cookie"), h.string("key_cookie", "sid"),
        header(h, "hint_us", "x-size-hint"), header(h, "expires_ms", "x-expires-in-ms"),
        header(h, "retry", "x-second-try"), header(h, "idempotency_key", "idempotency-key"),
        header(h, "quota", "x-quota-path"));
  }

  private static String header(Section h, String key, String absent) {
    return name(h, key, h.string(key, absent));
  }

  private static String name(Section h, String key, String name) {
    String lower = name.toLowerCase(Locale.ROOT);
    if (!lower.matches("[a-z0-9!#$%&'*+.^_`|~-]{1,128}")) {
      h.reportError(key, "expected the name of a header, got \"" + name + "\"");
      return "x-unreadable";
    }
    return lower;
  }

  private static Tls tls(Section s, InetSocketAddress listen) {
    if (!s.has("tls")) {
      if (!listen.getAddress().isLoopbackAddress()) {
        s.reportError("listen", "expected [processor.tls] beside an address that is not loopback");
      }
      return null;
    }
    Section t = s.table("tls");
    return new Tls(file(t, "certificate", true), file(t, "key", true), file(t, "client_ca", false));
  }

  private static Path file(Section t, String key, boolean needed) {
    if (!needed && !t.has(key)) {
      t.string(key, "");
      return null;
    }
    Path path = Path.of(t.string(key));
    if (!path.toFile().isFile()) {
      t.reportError(key, "expected a file, found none at \"" + path + "\"");
    }
    return path;
  }
}
