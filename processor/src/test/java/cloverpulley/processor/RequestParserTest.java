package cloverpulley.processor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.config.InvalidConfigException;
import cloverpulley.extproc.ExtProc.HeaderMap;
import cloverpulley.extproc.ExtProc.HeaderValue;
import cloverpulley.processor.RequestParser.InvalidRequest;
import cloverpulley.processor.RequestParser.ParsedRequest;
import cloverpulley.standins.StandInCaller;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Parsing of request headers: valid values are read, invalid ones are rejected with their name, and no input makes it throw. */
class RequestParserTest {

  private static final RequestParser PARSER = createParser();

  private static RequestParser createParser() {
    try {
      Rig.ParsedConfig parsedConfig = Rig.parsedConfig("", Rig.servers("127.0.0.1:1"));
      return new RequestParser(parsedConfig.processor(), parsedConfig.settings());
    } catch (InvalidConfigException e) {
      throw new IllegalStateException(e);
    }
  }

  private static RequestParser.Result parse(String... headers) {
    return PARSER.parse(new Headers(StandInCaller.headers(headers)));
  }

  @Test
  void parsesAllHeaders() {
    ParsedRequest request = assertInstanceOf(ParsedRequest.class, parse("x-request-id", "id", "x-envoy-attempt-count", "2", "x-qos", "keyed",
        "x-customer", "steppe-auto", "cookie", "a=b; sid=7f3a; c=d", "x-size-hint", "1500", "x-expires-in-ms", "480",
        "idempotency-key", "k"));
    assertEquals(new ParsedRequest("id", 2, request.requestClass(), "steppe-auto", "7f3a", 1_500_000, true, 480_000_000, "steppe-auto"), request);
    assertEquals("keyed", request.requestClass().name());
  }

  @Test
  void usesTheFirstIdThatIsPresent() {
    assertEquals("a", ((ParsedRequest) parse("x-trace-id", "b", "x-request-id", "a", "x-qos", "safe")).id());
    assertEquals("b", ((ParsedRequest) parse("x-trace-id", "b", "x-request-id", "", "x-qos", "safe")).id());
    assertNull(((ParsedRequest) parse("x-qos", "safe")).id());
  }

  /** Rule 2: without an id a retry could not be told from a first attempt. */
  @Test
  void rejectsUnsafeRequestsWithoutIdAndKeyedOnesWithoutKey() {
    assertTrue(((InvalidRequest) parse("x-qos", "unsafe")).message().contains("x-request-id"));
    assertTrue(((InvalidRequest) parse("x-qos", "keyed", "x-request-id", "a")).message().contains("idempotency-key"));
    assertTrue(((InvalidRequest) parse("x-qos", "keyed", "x-request-id", "a", "idempotency-key", "")).message().contains("idempotency-key"));
    assertEquals(400, ((InvalidRequest) parse("x-qos", "safe", "x-request-id", "a".repeat(129))).status());
  }

  @Test
  void ignoresInvalidCookies() {
    assertNull(((ParsedRequest) parse("x-qos", "safe", "cookie", "\u0001=a")).key());
    assertEquals("b", ((ParsedRequest) parse("x-qos", "safe", "cookie", "\u0001=a", "cookie", "sid=b")).key());
  }

  @Property(seed = "20261201")
  boolean acceptsOrRejectsAnyHeaders(@ForAll("headers") HeaderMap headers) {
    RequestParser.Result result = PARSER.parse(new Headers(headers));
    if (result instanceof ParsedRequest request) {
      assertTrue(request.waitNanos() >= 0 && request.waitNanos() <= request.requestClass().deadlineNanos());
      assertTrue(request.hintNanos() >= 0 && request.attemptCount() >= 0);
      assertTrue(request.id() == null || request.id().length() <= 128);
      assertTrue(request.key() == null || request.key().length() <= 128);
      assertTrue(request.tenant() == null || request.tenant().length() <= 128);
    } else {
      InvalidRequest invalid = (InvalidRequest) result;
      assertTrue(invalid.status() == 400 || invalid.status() == 431);
      assertNotNull(invalid.message());
    }
    return true;
  }

  /** Known and unknown names, with values that are valid, almost valid, or arbitrary bytes. */
  @Provide
  Arbitrary<HeaderMap> headers() {
    Arbitrary<String> names = Arbitraries.of("x-request-id", "X-Request-Id", "x-trace-id", "x-qos", "x-customer", "cookie",
        "x-size-hint", "x-expires-in-ms", "grpc-timeout", "x-envoy-expected-rq-timeout-ms", "x-envoy-attempt-count",
        "x-second-try", "idempotency-key", ":path", "");
    Arbitrary<ByteString> values = Arbitraries.oneOf(
        Arbitraries.of("safe", "keyed", "unsafe", "1", "0", "-1", "99999999999", "10S", "10X", "sid=", "sid=a; sid=b", "=;=")
            .map(ByteString::copyFromUtf8),
        Arbitraries.strings().ofMaxLength(200).map(ByteString::copyFromUtf8),
        Arbitraries.bytes().array(byte[].class).ofMaxSize(40).map(ByteString::copyFrom));
    return Combinators.combine(names, values)
        .as((name, value) -> HeaderValue.newBuilder().setKey(name).setRawValue(value).build()).list().ofMaxSize(16)
        .map(list -> HeaderMap.newBuilder().addAllHeaders(list).build());
  }

  /** The order of the headers and the case of their names do not matter. */
  @Property(seed = "20261201")
  void orderAndCaseDoNotMatter(@ForAll @IntRange(max = 1000) int seed, @ForAll @IntRange(min = 1, max = 500_000) int hint,
      @ForAll @IntRange(min = 1, max = 40_000) int expires) {
    List<String[]> headers = new ArrayList<>(List.of(new String[] {"x-request-id", "i"}, new String[] {"x-qos", "safe"},
        new String[] {"x-size-hint", "" + hint}, new String[] {"x-expires-in-ms", "" + expires}, new String[] {"x-customer", "t"}));
    java.util.Collections.shuffle(headers, new java.util.Random(seed));
    String[] flattened = headers.stream().flatMap(h -> java.util.stream.Stream.of(seed % 2 == 0 ? h[0].toUpperCase(Locale.ROOT) : h[0],
        h[1])).toArray(String[]::new);
    ParsedRequest request = (ParsedRequest) parse(flattened);
    assertEquals(TimeUnit.MICROSECONDS.toNanos(hint), request.hintNanos());
    assertEquals(TimeUnit.MILLISECONDS.toNanos(expires), request.waitNanos());
    assertEquals("i", request.id());
    assertEquals("t", request.tenant());
  }

  @Property(seed = "20261201")
  void parsesGrpcTimeoutsInEveryUnit(@ForAll @IntRange(max = 99_999_999) int number) {
    assertEquals(TimeUnit.HOURS.toNanos(number), RequestParser.grpcTimeout(number + "H"));
    assertEquals(TimeUnit.MINUTES.toNanos(number), RequestParser.grpcTimeout(number + "M"));
    assertEquals(TimeUnit.SECONDS.toNanos(number), RequestParser.grpcTimeout(number + "S"));
    assertEquals(TimeUnit.MILLISECONDS.toNanos(number), RequestParser.grpcTimeout(number + "m"));
    assertEquals(TimeUnit.MICROSECONDS.toNanos(number), RequestParser.grpcTimeout(number + "u"));
    assertEquals(number, RequestParser.grpcTimeout(number + "n"));
  }

  @Property(seed = "20261201")
  boolean rejectsInvalidGrpcTimeouts(@ForAll String text) {
    return text.matches("[0-9]{1,8}[HMSmun]") || RequestParser.grpcTimeout(text) == -1;
  }
}
