package cloverpulley.serve;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** The names of the headers of a client's request that the balancer reads, and what is read from them alone. */
final class RequestHeaders {

  static final String ID = "X-Trace-Id";
  static final String CLASS = "X-Qos";
  static final String TENANT = "X-Customer";
  static final String RETRY = "X-Second-Try";
  /** The time that the client still waits, in milliseconds. */
  static final String EXPIRES = "X-Expires-In-Ms";
  /** An estimate of the work that the request takes, in microseconds. */
  static final String HINT = "X-Size-Hint";
  static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  /** The cookie that holds the session key. */
  static final String KEY_COOKIE = "sid";
  /** The maximum length of an id or a tenant, and of a session key before it is replaced by its hash. */
  static final int MAX_NAME_LENGTH = 128;
  /** The maximum number of digits in an integer header; a duration or an amount of work never needs more. */
  private static final int MAX_DIGITS = 9;

  private RequestHeaders() {}

  /** The id of a request; null if there is no single valid one. */
  static String validId(HttpHeaders headers) {
    List<String> ids = headers.getAll(ID);
    return ids.size() == 1 && isValidId(ids.get(0)) ? ids.get(0) : null;
  }

  static boolean isValidId(String id) {
    return !id.isEmpty() && id.length() <= MAX_NAME_LENGTH;
  }

  /** The number, or -1 if the text is not a short run of digits. */
  static long wholeNumber(String text) {
    boolean digits = !text.isEmpty() && text.length() <= MAX_DIGITS && text.chars().allMatch(c -> c >= '0' && c <= '9');
    return digits ? Long.parseLong(text) : -1;
  }
}
