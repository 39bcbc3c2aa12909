package cloverpulley.processor;

import cloverpulley.Balancer.Status;
import cloverpulley.engine.LoadReport;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import java.util.Locale;
import java.util.Map;

/** Derives the outcome of an attempt from the headers of its response. */
final class ResponseClassifier {

  private static final String NEVER_RAN = "x-never-ran";
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  /** The attributes in which a proxy states why it generated a response itself; upstreams can't set them. */
  private static final String ATTRIBUTES = "envoy.filters.http.ext_proc";
  private static final String DETAILS = "response.code_details";

  /** Allows any length that fits into a long; the quotas bound how much is charged. */
  private static final int MAX_LENGTH_DIGITS = 18;

  private ResponseClassifier() {}

  /** The outcome; null for an informational response (1xx). */
  static Status status(Headers headers, Map<String, Struct> attributes) {
    Status fromProxy = proxyStatus(attributes);
    if (fromProxy != null) {
      return fromProxy;
    }
    String value = headers.get(":status");
    long code = value == null ? -1 : RequestParser.wholeNumber(value);
    if (code >= 100 && code < 200) {
      return null;
    }
    boolean rejected = (code == SERVICE_UNAVAILABLE || code == GATEWAY_TIMEOUT) && "1".equals(headers.get(NEVER_RAN));
    // A response without a valid status is corrupt, but the request has run.
    return rejected ? Status.FULL : code < 200 || code > 599 ? Status.RESET : code >= 500 ? Status.ERROR : Status.SERVED;
  }

  /**
   * The outcome by the response code details of a response that Envoy generated itself; null for any other response. Only a failure to
   * connect proves that the request has not run.
   */
  private static Status proxyStatus(Map<String, Struct> attributes) {
    Struct extProcAttributes = attributes.get(ATTRIBUTES);
    Value detailsValue = extProcAttributes == null ? null : extProcAttributes.getFieldsMap().get(DETAILS);
    String details = detailsValue == null ? "" : detailsValue.getStringValue().toLowerCase(Locale.ROOT);
    if (details.contains("connection_failure") || details.contains("connection_timeout")) {
      return Status.CONNECT_FAILED;
    } else if (details.startsWith("upstream_reset") || details.startsWith("upstream_per_try_timeout")) {
      return details.contains("timeout") ? Status.TIMEOUT : Status.RESET;
    }
    return details.contains("response_timeout") || details.contains("upstream_max_stream_duration") ? Status.TIMEOUT : null;
  }

  /** The content length; 0 if it is missing or invalid. */
  static long contentLength(Headers headers) {
    String value = headers.get("content-length");
    return value == null ? 0 : Math.max(0, RequestParser.wholeNumber(value, MAX_LENGTH_DIGITS));
  }

  static Map<String, Double> loadReport(Headers headers) {
    return LoadReport.parse(headers.get(LoadReport.HEADER.toLowerCase(Locale.ROOT)));
  }
}
