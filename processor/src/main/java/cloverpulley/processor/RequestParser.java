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

/** Reads from a request's headers what the module is told of it, strictly: what can't be right is named, not guessed. */
final class RequestParser {

  /** The longest id, tenant or key that is kept as it came. */
  private static final int MOST_NAME = 128;
  /** The most digits of a number: more would be no time, no work and no count. */
  private static final int MOST_DIGITS = 9;
  /** gRPC over HTTP/2, "Timeout": at most eight digits and a unit. */
  private static final int MOST_TIMEOUT_DIGITS = 8;
  private static final String GRPC_TIMEOUT = "grpc-timeout";
  private static final String ENVOY_TIMEOUT = "x-envoy-expected-rq-timeout-ms";

  /** What came of the reading. */
  sealed interface Read permits Call, Bad {}

  /**
   * A request.
   *
   * @param id null where the caller names none: then it has no repeats
   * @param count which attempt it is, from 1; 0 where the caller doesn't count
   * @param quotaPath the node of the quotas that it is charged to; null for that of the unknown
   * @param waitNanos how long an answer is of use, counted from now
   */
  record Call(String id, int count, RequestClass type, String tenant, String key, long hintNanos, boolean retry, long waitNanos,
      String quotaPath)
      implements Read {}

  /** What can't be read: the status to answer and what is wrong. */
  record Bad(int status, String what) implements Read {}

  private final ProcessorConfig config;
  private final ProcessorConfig.Names names;
  private final Map<String, RequestClass> classes;
  private final Set<String> tenants;

  RequestParser(ProcessorConfig config, Settings settings) {
    this.config = config;
    names = config.names();
    classes = settings.classes().stream().collect(Collectors.toMap(RequestClass::name, Function.identity()));
    tenants = settings.tenants().stream().map(Tenant::name).collect(Collectors.toSet());
  }

  Read read(Headers h) {
    if (h.count() > config.limits().headers() || h.bytes() > config.limits().headerBytes()) {
      return new Bad(431, "too many or too large headers");
    }
    String id = id(h);
    if (id != null && id.length() > MOST_NAME) {
      return new Bad(400, "the request's id is too long");
    }
    String name = h.get(names.className());
    RequestClass type = classes.get(name == null || !classes.containsKey(name) ? names.defaultClass() : name);
    if (type == null) {
      return new Bad(400, names.className() + " names no known class");
    }
    String tenant = h.get(names.tenant());
    if (tenant != null && (tenant.length() > MOST_NAME || !tenants.isEmpty() && !tenants.contains(tenant))) {
      return new Bad(400, names.tenant() + " names no known tenant");
    }
    // Guards a keyed class: without the key no upstream could drop a repeat.
    String idempotency = h.get(names.idempotency());
    if (type.effect() == Effect.KEYED && (idempotency == null || idempotency.isEmpty())) {
      return new Bad(400, names.idempotency() + " is missing");
    }
    String counted = h.get(names.attemptCount());
    long count = counted == null ? 0 : wholeNumber(counted);
    if (count < 0 || counted != null && count == 0) {
      return new Bad(400, names.attemptCount() + " is no count from 1");
    }
    if (type.effect() != Effect.SAFE && (id == null || counted == null && config.countRequired())) {
      // Guards the effect: a repeat could not be told from a first.
      return new Bad(400, (id == null ? names.id().get(0) : names.attemptCount()) + " is missing");
    }
    long wait = type.deadlineNanos();
    for (String header : new String[] {names.expires(), ENVOY_TIMEOUT, GRPC_TIMEOUT}) {
      String text = h.get(header);
      if (text != null) {
        long nanos = header.equals(GRPC_TIMEOUT) ? grpcTimeout(text) : TimeUnit.MILLISECONDS.toNanos(wholeNumber(text));
        if (nanos < 0) {
          return new Bad(400, header + " is no time");
        }
        // Envoy writes 0 for no time-out; from others it is a deadline that has passed.
        wait = nanos == 0 && header.equals(ENVOY_TIMEOUT) ? wait : Math.min(wait, nanos);
      }
    }
    String hint = h.get(names.hint());
    long hintNanos = hint == null ? 0 : TimeUnit.MICROSECONDS.toNanos(Math.max(0, wholeNumber(hint)));
    boolean retry = count > 1 || "1".equals(h.get(names.retry()));
    return new Call(id, (int) count, type, tenant, key(h), hintNanos, retry, wait, quotaPath(tenant, h.get(names.quota())));
  }

  /** A tenant's node, or one below it that the caller names; nobody is charged for what another names. */
  private static String quotaPath(String tenant, String below) {
    if (tenant == null || tenant.isEmpty() || tenant.indexOf('/') >= 0) {
      return null;
    }
    boolean isPath = below != null && below.length() <= MOST_NAME && below.matches("[^/\\p{Cntrl}]+(/[^/\\p{Cntrl}]+)*");
    return isPath ? tenant + "/" + below : tenant;
  }

  private String id(Headers h) {
    for (String name : names.id()) {
      String id = h.get(name);
      if (id != null && !id.isEmpty()) {
        return id;
      }
    }
    return null;
  }

  private String key(Headers h) {
    String key = null;
    if (!names.key().equals("cookie")) {
      key = h.get(names.key());
    } else {
      for (String header : h.all("cookie")) {
        try {
          for (Cookie cookie : ServerCookieDecoder.LAX.decode(header)) {
            key = key == null && cookie.name().equals(names.keyCookie()) ? cookie.value() : key;
          }
        } catch (IllegalArgumentException e) {
          continue; // Guards the verdict: the decoder throws at a name of control characters alone.
        }
      }
    }
    // Guards the memory: keys are kept, and a long one counts by its hash.
    return key == null || key.isEmpty() ? null : key.length() <= MOST_NAME ? key : Integer.toHexString(key.hashCode());
  }

  /** The number, or -1 for anything but digits. */
  static long wholeNumber(String text) {
    return wholeNumber(text, MOST_DIGITS);
  }

  /** A number of so many digits at most, 18 at the most; -1 for anything else. */
  static long wholeNumber(String text, int digits) {
    return digits(text, digits) ? Long.parseLong(text) : -1;
  }

  private static boolean digits(String text, int most) {
    return !text.isEmpty() && text.length() <= most && text.chars().allMatch(c -> c >= '0' && c <= '9');
  }

  /** Nanoseconds of a gRPC time-out ("gRPC over HTTP2", Timeout), or -1 for what is none. */
  static long grpcTimeout(String text) {
    if (text.isEmpty() || !digits(text.substring(0, text.length() - 1), MOST_TIMEOUT_DIGITS)) {
      return -1;
    }
    long number = Long.parseLong(text.substring(0, text.length() - 1));
    TimeUnit unit = switch (text.charAt(text.length() - 1)) {
      case 'H' -> TimeUnit.HOURS;
      case 'M' -> TimeUnit.MINUTES;
      case 'S' -> TimeUnit.SECONDS;
      case 'm' -> TimeUnit.MILLISECONDS;
      case 'u' -> TimeUnit.MICROSECONDS;
      case 'n' -> TimeUnit.NANOSECONDS;
      default -> null;
    };
    return unit == null ? -1 : unit.toNanos(number);
  }
}
