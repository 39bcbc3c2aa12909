package cloverpulley.processor;

import cloverpulley.Balancer.Status;
import cloverpulley.engine.LoadReport;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import java.util.Locale;
import java.util.Map;

/** Words an answer's head as the outcome of its attempt. */
final class ResponseClassifier {

  private static final String NEVER_RAN = "x-never-ran";
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  /** Where a proxy that made the answer itself says why; an upstream can't write it. */
  private static final String ATTRIBUTES = "envoy.filters.http.ext_proc";
  private static final String DETAILS = "response.code_details";

  /** Any length that a number holds; what it is charged as is bounded by the quotas. */
  private static final int LENGTH_DIGITS = 18;

  private ResponseClassifier() {}

  /** The outcome, or null for an answer that only announces another (1xx). */
  static Status status(Headers h, Map<String, Struct> attributes) {
    Status said = byProxy(attributes);
    if (said != null) {
      return said;
    }
    String text = h.get(":status");
    long code = text == null ? -1 : RequestParser.wholeNumber(text);
    if (code >= 100 && code < 200) {
      return null;
    }
    boolean refused = (code == SERVICE_UNAVAILABLE || code == GATEWAY_TIMEOUT) && "1".equals(h.get(NEVER_RAN));
    // An answer with no status that can be read is spoilt: the request has run.
    return refused ? Status.FULL : code < 200 || code > 599 ? Status.RESET : code >= 500 ? Status.ERROR : Status.SERVED;
  }

  /**
   * What the proxy says of an answer that it made itself, in Envoy's words (response code details): only a connection that
   * never came up proves that nothing ran.
   */
  private static Status byProxy(Map<String, Struct> attributes) {
    Struct ours = attributes.get(ATTRIBUTES);
    Value details = ours == null ? null : ours.getFieldsMap().get(DETAILS);
    String word = details == null ? "" : details.getStringValue().toLowerCase(Locale.ROOT);
    if (word.contains("connection_failure") || word.contains("connection_timeout")) {
      return Status.CONNECT_FAILED;
    } else if (word.startsWith("upstream_reset") || word.startsWith("upstream_per_try_timeout")) {
      return word.contains("timeout") ? Status.TIMEOUT : Status.RESET;
    }
    return word.contains("response_timeout") || word.contains("upstream_max_stream_duration") ? Status.TIMEOUT : null;
  }

  /** The length that an answer's head states; 0 for none that can be read. */
  static long octets(Headers h) {
    String text = h.get("content-length");
    return text == null ? 0 : Math.max(0, RequestParser.wholeNumber(text, LENGTH_DIGITS));
  }

  static Map<String, Double> load(Headers h) {
    return LoadReport.parse(h.get(LoadReport.HEADER.toLowerCase(Locale.ROOT)));
  }
}
