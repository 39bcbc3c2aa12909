package cloverpulley.serve;

import cloverpulley.Balancer.Effect;
import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.Settings;
import cloverpulley.Balancer.Tenant;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Reads what a request's headers say of it, and checks it against the settings. Immutable. */
final class RequestValidator {

  private static final long MAX_EXPIRY_MILLIS = 1_000_000_000L;

  /** What the headers of a request say. */
  sealed interface Result permits Valid, Invalid {}

  /**
   * The properties of a valid request.
   *
   * @param tenant null for none
   * @param sessionKey null for none
   * @param waitNanos how long the client waits, at most the deadline of its class: no request is kept longer
   * @param hintNanos estimate of the work; 0 for none
   * @param retry whether the client marked the request as a retry
   */
  record Valid(RequestClass requestClass, String tenant, String sessionKey, long waitNanos, long hintNanos, boolean retry) implements Result {}

  /** Why a request is not valid, in words for its sender. */
  record Invalid(String error) implements Result {}

  private final Map<String, RequestClass> classes;
  private final Set<String> tenants;

  RequestValidator(Settings settings) {
    classes = settings.classes().stream().collect(Collectors.toMap(RequestClass::name, Function.identity()));
    tenants = settings.tenants().stream().map(Tenant::name).collect(Collectors.toSet());
  }

  Result validate(HttpHeaders headers) {
    String tenant = headers.get(RequestHeaders.TENANT);
    RequestClass requestClass = classes.get(headers.get(RequestHeaders.CLASS, ""));
    long expiresMillis = headers.contains(RequestHeaders.EXPIRES) ? RequestHeaders.wholeNumber(headers.get(RequestHeaders.EXPIRES)) : Long.MAX_VALUE;
    String error = findError(headers, requestClass, tenant, expiresMillis);
    if (error != null) {
      return new Invalid(error);
    }
    long waitNanos = Math.min(requestClass.deadlineNanos(), TimeUnit.MILLISECONDS.toNanos(Math.min(expiresMillis, MAX_EXPIRY_MILLIS)));
    long hintMicros = Math.max(0, RequestHeaders.wholeNumber(headers.get(RequestHeaders.HINT, "0")));
    return new Valid(requestClass, tenant, SessionKey.of(headers, RequestHeaders.MAX_NAME_LENGTH), waitNanos, TimeUnit.MICROSECONDS.toNanos(hintMicros),
        "1".equals(headers.get(RequestHeaders.RETRY)));
  }

  /** What is wrong with a request; null for nothing. */
  private String findError(HttpHeaders headers, RequestClass requestClass, String tenant, long expiresMillis) {
    if (!RequestHeaders.isValidId(headers.get(RequestHeaders.ID, ""))) {
      return RequestHeaders.ID + " is missing or too long";
    }
    if (headers.getAll(RequestHeaders.ID).size() > 1) {
      // An upstream could take another one than this balancer for the request's id.
      return RequestHeaders.ID + " appears more than once";
    }
    if (requestClass == null) {
      return RequestHeaders.CLASS + " names no known class";
    }
    if (tenant != null && !tenants.isEmpty() && !tenants.contains(tenant)) {
      return RequestHeaders.TENANT + " names no known tenant";
    }
    if (tenant != null && tenant.length() > RequestHeaders.MAX_NAME_LENGTH) {
      return RequestHeaders.TENANT + " is too long";
    }
    if (expiresMillis < 0) {
      return RequestHeaders.EXPIRES + " is not a number of milliseconds";
    }
    if (requestClass.effect() == Effect.KEYED && headers.get(RequestHeaders.IDEMPOTENCY_KEY, "").isEmpty()) {
      // Without the key no upstream could deduplicate a retry of a keyed class.
      return RequestHeaders.IDEMPOTENCY_KEY + " is missing";
    }
    return null;
  }
}
