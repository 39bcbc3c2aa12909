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
 * The settings of the processor: {@code [processor]} of the configuration file.
 *
 * @param messageTimeoutNanos the callers' {@code message_timeout}: every decision is sent within it
 * @param ioThreads number of I/O threads; decisions are made on a thread of their own
 * @param askForResponses whether callers are asked by {@code mode_override} to send the response headers
 * @param lameDuckMillis how long new connections are still accepted after SIGTERM, so that a successor can start meanwhile
 * @param drainMillis how long open streams may continue after that
 * @param warmUpCalls number of warm-up calls before it listens
 * @param recordsFile file to which a line is written for each call; null for none
 */
public record ProcessorConfig(InetSocketAddress listen, long messageTimeoutNanos, int ioThreads, boolean askForResponses,
    boolean reflection, boolean reusePort, long lameDuckMillis, long drainMillis, int warmUpCalls, HeaderNames headerNames, Limits limits,
    AttemptTracker.Config attemptTracking, boolean attemptCountRequired, Tls tls, Path recordsFile, long recordsMaxBytes) {

  /** The same settings for a temporary processor on an ephemeral loopback port, without TLS. */
  ProcessorConfig forWarmup() {
    return new ProcessorConfig(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), messageTimeoutNanos, 1,
        askForResponses, false, false, 0, 0, 0, headerNames, limits, attemptTracking, attemptCountRequired, null, null, 0);
  }

  /** The names of the headers and of the metadata that are exchanged with callers; header names are in lower case, as in HTTP/2. */
  public record HeaderNames(String destination, List<String> strip, String metadata, List<String> id, String attemptCount,
      String className, String defaultClass, String tenant, String key, String keyCookie, String hint, String expires,
      String retry, String idempotencyKey, String quota) {}

  /** Bounds on the resources that callers can take. Times in milliseconds, sizes in bytes. */
  public record Limits(int streams, int streamsPerConnection, int messageBytes, int headerBytes, int headers,
      long firstMessageMillis, long streamIdleMillis, long connectionIdleMillis, long connectionAgeMillis) {}

  /** PEM files; {@code clientCa} is null if callers need no certificate. */
  public record Tls(Path certificate, Path key, Path clientCa) {}

  /** Minimum for the default retention of attempt records, which is the longest deadline and dedup window together. */
  private static final long MIN_RETENTION_MS = 10_000;
  private static final long DAY_MS = 86_400_000;

  /**
   * Reads the section.
   *
   * @param retryWindowNanos the longest sum of deadline and dedup window of any class: how long a retry may matter
   */
  public static ProcessorConfig read(Section section, long retryWindowNanos) {
    InetSocketAddress listen = section.address("listen", "127.0.0.1:9002");
    long timeoutMillis = section.integer("message_timeout_ms", 10, 60_000, 200);
    Section limitsSection = section.table("limits");
    Limits limits = new Limits((int) limitsSection.integer("streams", 1, 1_000_000, 20_000),
        (int) limitsSection.integer("streams_per_connection", 1, 1_000_000, 10_000),
        (int) limitsSection.integer("message_bytes", 1024, 64 << 20, 1 << 20), (int) limitsSection.integer("header_bytes", 256, 16 << 20, 64 << 10),
        (int) limitsSection.integer("headers", 1, 100_000, 256), limitsSection.integer("first_message_ms", 1, DAY_MS, 5000),
        limitsSection.integer("stream_idle_ms", 1, DAY_MS, 60_000), limitsSection.integer("connection_idle_ms", 1, DAY_MS, 300_000),
        limitsSection.integer("connection_age_ms", 1000, 30 * DAY_MS, DAY_MS));
    Section repeatsSection = section.table("repeats");
    long retentionMillis = repeatsSection.integer("keep_ms", 1, DAY_MS, Math.max(MIN_RETENTION_MS, TimeUnit.NANOSECONDS.toMillis(retryWindowNanos)));
    if (TimeUnit.MILLISECONDS.toNanos(retentionMillis) < retryWindowNanos) {
      repeatsSection.reportError("keep_ms", "expected no less than the longest deadline and dedup window together, "
          + TimeUnit.NANOSECONDS.toMillis(retryWindowNanos) + ", got " + retentionMillis);
    }
    AttemptTracker.Config attemptTracking =
        new AttemptTracker.Config((int) repeatsSection.integer("most", 1, 10_000_000, 100_000), TimeUnit.MILLISECONDS.toNanos(retentionMillis));
    return new ProcessorConfig(listen, TimeUnit.MILLISECONDS.toNanos(timeoutMillis), (int) section.integer("io_threads", 1, 64, 1),
        section.bool("ask_for_responses", true), section.bool("reflection", false), section.bool("reuse_port", true),
        section.integer("lame_ms", 0, DAY_MS, 500), section.integer("drain_ms", 0, DAY_MS, 10_000),
        (int) section.integer("warm_up_calls", 0, 100_000, 500), headerNames(section.table("headers")), limits, attemptTracking,
        repeatsSection.bool("count_required", false), tls(section, listen),
        recordsPath(section), section.integer("records_most_mb", 1, 100_000, 256) << 20);
  }

  private static Path recordsPath(Section section) {
    String file = section.string("records_file", "");
    return file.isEmpty() ? null : Path.of(file);
  }

  private static HeaderNames headerNames(Section headersSection) {
    List<String> ids = new ArrayList<>();
    headersSection.strings("id", List.of("x-request-id", "x-trace-id")).forEach(id -> ids.add(name(headersSection, "id", id)));
    List<String> strip = new ArrayList<>();
    headersSection.strings("strip", List.of("x-gateway-destination-endpoint", "x-envoy-original-dst-host"))
        .forEach(header -> strip.add(name(headersSection, "strip", header)));
    String destination = name(headersSection, "destination", headersSection.string("destination", "x-gateway-destination-endpoint"));
    strip.remove(destination); // It is overwritten, or removed if the caller gets no destination.
    return new HeaderNames(destination, List.copyOf(strip), headersSection.string("metadata", "envoy.lb"), List.copyOf(ids),
        header(headersSection, "attempt_count", "x-envoy-attempt-count"), header(headersSection, "class", "x-qos"),
        headersSection.string("default_class", ""),
        header(headersSection, "tenant", "x-customer"), header(headersSection, "key", "cookie"), headersSection.string("key_cookie", "sid"),
        header(headersSection, "hint_us", "x-size-hint"), header(headersSection, "expires_ms", "x-expires-in-ms"),
        header(headersSection, "retry", "x-second-try"), header(headersSection, "idempotency_key", "idempotency-key"),
        header(headersSection, "quota", "x-quota-path"));
  }

  private static String header(Section headersSection, String key, String defaultName) {
    return name(headersSection, key, headersSection.string(key, defaultName));
  }

  private static String name(Section headersSection, String key, String name) {
    String lowerCase = name.toLowerCase(Locale.ROOT);
    if (!lowerCase.matches("[a-z0-9!#$%&'*+.^_`|~-]{1,128}")) {
      headersSection.reportError(key, "expected the name of a header, got \"" + name + "\"");
      return "x-unreadable";
    }
    return lowerCase;
  }

  private static Tls tls(Section section, InetSocketAddress listen) {
    if (!section.has("tls")) {
      if (!listen.getAddress().isLoopbackAddress()) {
        section.reportError("listen", "expected [processor.tls] beside an address that is not loopback");
      }
      return null;
    }
    Section tlsSection = section.table("tls");
    return new Tls(file(tlsSection, "certificate", true), file(tlsSection, "key", true), file(tlsSection, "client_ca", false));
  }

  private static Path file(Section tlsSection, String key, boolean required) {
    if (!required && !tlsSection.has(key)) {
      tlsSection.string(key, "");
      return null;
    }
    Path path = Path.of(tlsSection.string(key));
    if (!path.toFile().isFile()) {
      tlsSection.reportError(key, "expected a file, found none at \"" + path + "\"");
    }
    return path;
  }
}
