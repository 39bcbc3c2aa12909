package cloverpulley.processor;

import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.Tenant;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Parses the headers of a request into the properties that the module decides by. Invalid values are rejected, not replaced by defaults. */
final class RequestParser {

  /** The longest id, tenant or key that is kept verbatim. */
  private static final int MAX_NAME_LENGTH = 128;
  /** The most digits of a number: a larger value makes no sense as a time, an amount of work or a count. */
  private static final int MAX_DIGITS = 9;
  /** "Timeout" in gRPC over HTTP/2: at most eight digits and a unit. */
  private static final int MAX_TIMEOUT_DIGITS = 8;
  private static final String GRPC_TIMEOUT = "grpc-timeout";
  private static final String ENVOY_TIMEOUT = "x-envoy-expected-rq-timeout-ms";

  /** The result of parsing. */
  sealed interface Result permits ParsedRequest, InvalidRequest {}

  /**
   * A valid request.
   *
   * @param id null if the caller gives none: retries of it are then not recognized
   * @param attemptCount the number of the attempt, from 1; 0 if the caller does not count
   * @param quotaPath the quota node that it is charged to; null for the node of unknown tenants
   * @param waitNanos how long an answer is of use, from now on
   */
  record ParsedRequest(String id, int attemptCount, RequestClass requestClass, String tenant, String key, long hintNanos, boolean retry,
      long waitNanos, String quotaPath) implements Result {}

  /** An invalid request: the HTTP status to reply with and an error message. */
  record InvalidRequest(int status, String message) implements Result {}

  private final ProcessorConfig config;
  private final ProcessorConfig.HeaderNames names;
  private final Map<String, RequestClass> classes;
  private final Set<String> tenants;

  RequestParser(ProcessorConfig config, Settings settings) {
    this.config = config;
    names = config.headerNames();
    classes = settings.classes().stream().collect(Collectors.toMap(RequestClass::name, Function.identity()));
    tenants = settings.tenants().stream().map(Tenant::name).collect(Collectors.toSet());
  }

  Result parse(Headers headers) {
    if (headers.count() > config.limits().headers() || headers.sizeBytes() > config.limits().headerBytes()) {
      return new InvalidRequest(431, "too many or too large headers");
    }
    String id = id(headers);
    if (id != null && id.length() > MAX_NAME_LENGTH) {
      return new InvalidRequest(400, "the request's id is too long");
    }
    String name = headers.get(names.className());
    RequestClass requestClass = classes.get(name == null || !classes.containsKey(name) ? names.defaultClass() : name);
    if (requestClass == null) {
      return new InvalidRequest(400, names.className() + " names no known class");
    }
    String tenant = headers.get(names.tenant());
    if (tenant != null && (tenant.length() > MAX_NAME_LENGTH || !tenants.isEmpty() && !tenants.contains(tenant))) {
      return new InvalidRequest(400, names.tenant() + " names no known tenant");
    }
    // Without the key no upstream could drop a duplicate of a keyed request.
    String idempotencyKey = headers.get(names.idempotencyKey());
    if (requestClass.effect() == Effect.KEYED && (idempotencyKey == null || idempotencyKey.isEmpty())) {
      return new InvalidRequest(400, names.idempotencyKey() + " is missing");
    }
    String attemptCountText = headers.get(names.attemptCount());
    long attemptCount = attemptCountText == null ? 0 : wholeNumber(attemptCountText);
    if (attemptCount < 0 || attemptCountText != null && attemptCount == 0) {
      return new InvalidRequest(400, names.attemptCount() + " is no count from 1");
    }
    if (requestClass.effect() != Effect.SAFE && (id == null || attemptCountText == null && config.attemptCountRequired())) {
      // A retry could not be told from a first attempt, and the request might take effect twice.
      return new InvalidRequest(400, (id == null ? names.id().get(0) : names.attemptCount()) + " is missing");
    }
    long waitNanos = requestClass.deadlineNanos();
    for (String header : new String[] {names.expires(), ENVOY_TIMEOUT, GRPC_TIMEOUT}) {
      String value = headers.get(header);
      if (value != null) {
        long nanos = header.equals(GRPC_TIMEOUT) ? grpcTimeout(value) : TimeUnit.MILLISECONDS.toNanos(wholeNumber(value));
        if (nanos < 0) {
          return new InvalidRequest(400, header + " is no time");
        }
        // Envoy writes 0 for no time-out; in the other headers 0 is a deadline that has passed.
        waitNanos = nanos == 0 && header.equals(ENVOY_TIMEOUT) ? waitNanos : Math.min(waitNanos, nanos);
      }
    }
    String hint = headers.get(names.hint());
    long hintNanos = hint == null ? 0 : TimeUnit.MICROSECONDS.toNanos(Math.max(0, wholeNumber(hint)));
    boolean retry = attemptCount > 1 || "1".equals(headers.get(names.retry()));
    return new ParsedRequest(id, (int) attemptCount, requestClass, tenant, key(headers), hintNanos, retry, waitNanos,
        quotaPath(tenant, headers.get(names.quota())));
  }

  /** The tenant's quota node or the node below it that the caller names, so that no caller can charge another tenant. */
  private static String quotaPath(String tenant, String suffix) {
    if (tenant == null || tenant.isEmpty() || tenant.indexOf('/') >= 0) {
      return null;
    }
    boolean isPath = suffix != null && suffix.length() <= MAX_NAME_LENGTH && suffix.matches("[^/\\p{Cntrl}]+(/[^/\\p{Cntrl}]+)*");
    return isPath ? tenant + "/" + suffix : tenant;
  }

  private String id(Headers headers) {
    for (String name : names.id()) {
      String id = headers.get(name);
      if (id != null && !id.isEmpty()) {
        return id;
      }
    }
    return null;
  }

  private String key(Headers headers) {
    String key = null;
    if (!names.key().equals("cookie")) {
      key = headers.get(names.key());
    } else {
      for (String header : headers.values("cookie")) {
        try {
          for (Cookie cookie : ServerCookieDecoder.LAX.decode(header)) {
            key = key == null && cookie.name().equals(names.keyCookie()) ? cookie.value() : key;
          }
        } catch (IllegalArgumentException e) {
          continue; // The decoder throws if a name consists of control characters only.
        }
      }
    }
    // Bounds the memory: keys are kept, so a long one is replaced by its hash.
    return key == null || key.isEmpty() ? null : key.length() <= MAX_NAME_LENGTH ? key : Integer.toHexString(key.hashCode());
  }

  /** The number; -1 for anything other than up to nine digits. */
  static long wholeNumber(String value) {
    return wholeNumber(value, MAX_DIGITS);
  }

  /** A number of up to {@code maxDigits} digits, which must not exceed 18; -1 for anything else. */
  static long wholeNumber(String value, int maxDigits) {
    return isDigits(value, maxDigits) ? Long.parseLong(value) : -1;
  }

  private static boolean isDigits(String value, int maxDigits) {
    return !value.isEmpty() && value.length() <= maxDigits && value.chars().allMatch(c -> c >= '0' && c <= '9');
  }

  /** The nanoseconds of a gRPC time-out ("Timeout" in gRPC over HTTP/2); -1 if it is invalid. */
  static long grpcTimeout(String value) {
    if (value.isEmpty() || !isDigits(value.substring(0, value.length() - 1), MAX_TIMEOUT_DIGITS)) {
      return -1;
    }
    long amount = Long.parseLong(value.substring(0, value.length() - 1));
    TimeUnit unit = switch (value.charAt(value.length() - 1)) {
      case 'H' -> TimeUnit.HOURS;
      case 'M' -> TimeUnit.MINUTES;
      case 'S' -> TimeUnit.SECONDS;
      case 'm' -> TimeUnit.MILLISECONDS;
      case 'u' -> TimeUnit.MICROSECONDS;
      case 'n' -> TimeUnit.NANOSECONDS;
      default -> null;
    };
    return unit == null ? -1 : unit.toNanos(amount);
  }
}
