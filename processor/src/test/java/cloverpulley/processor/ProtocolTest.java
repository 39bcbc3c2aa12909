package cloverpulley.processor;

import static cloverpulley.standins.StandInCaller.body;
import static cloverpulley.standins.StandInCaller.request;
import static cloverpulley.standins.StandInCaller.response;
import static cloverpulley.standins.StandInCaller.sets;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer;
import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.ClientGone;
import cloverpulley.Balancer.Event;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.Status;
import cloverpulley.Logic;
import cloverpulley.Reason;
import cloverpulley.extproc.ExtProc.HttpBody;
import cloverpulley.extproc.ExtProc.HttpTrailers;
import cloverpulley.extproc.ExtProc.ProcessingMode.BodySendMode;
import cloverpulley.extproc.ExtProc.ProcessingMode.HeaderSendMode;
import cloverpulley.extproc.ExtProc.ProcessingRequest;
import cloverpulley.extproc.ExtProc.ProcessingResponse;
import cloverpulley.extproc.ExtProc.ProtocolConfiguration;
import cloverpulley.standins.StandInCaller;
import cloverpulley.standins.StandInCaller.Stream;
import com.google.protobuf.ByteString;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.grpc.health.v1.HealthCheckRequest;
import io.grpc.health.v1.HealthCheckResponse.ServingStatus;
import io.grpc.health.v1.HealthGrpc;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Each message of the ext_proc protocol gets the matching reply, and the module is notified of what happened. */
@Timeout(value = 2 * Rig.TIMEOUT_S, unit = TimeUnit.SECONDS)
class ProtocolTest {

  private static final String DESTINATION = "x-gateway-destination-endpoint";
  private static final String ADDRESS = "127.0.0.1:7001";

  private final Rig rig = new Rig();
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  /** Starts a processor with the real module and records the events that it receives. */
  private StandInCaller start(String processor, String fleet) throws Exception {
    Balancer logic = new Logic(Rig.parsedConfig(processor, fleet).settings(), 7);
    Balancer recordingBalancer = (long now, Event event, Consumer<Action> out) -> {
      events.add(event);
      logic.handle(now, event, out);
    };
    rig.start(processor, fleet, recordingBalancer);
    return rig.caller();
  }

  private StandInCaller start() throws Exception {
    return start("", Rig.servers(ADDRESS));
  }

  private <T extends Event> T nextEvent(Class<T> type) throws InterruptedException {
    while (true) {
      Event event = events.poll(Rig.TIMEOUT_S, TimeUnit.SECONDS);
      if (event == null) {
        throw new AssertionError("no " + type.getSimpleName() + " received");
      }
      if (type.isInstance(event)) {
        return type.cast(event);
      }
    }
  }

  private static ProcessingRequest.Builder safeRequest(String... extraHeaders) {
    String[] headers = new String[extraHeaders.length + 4];
    System.arraycopy(new String[] {"x-request-id", "id-1", "x-qos", "safe"}, 0, headers, 0, 4);
    System.arraycopy(extraHeaders, 0, headers, 4, extraHeaders.length);
    return request(headers);
  }

  private static ProcessingRequest.Builder modes(ProcessingRequest.Builder message, BodySendMode request, BodySendMode responseMode) {
    return message.setProtocolConfig(
        ProtocolConfiguration.newBuilder().setRequestBodyMode(request).setResponseBodyMode(responseMode));
  }

  @Test
  void sendsTheDestinationInHeaderAndMetadata() throws Exception {
    Stream s = start().open().send(safeRequest(DESTINATION, "10.9.9.9:1", "x-envoy-original-dst-host", "10.9.9.9:2"));
    ProcessingResponse reply = s.next();
    assertEquals(ADDRESS, sets(reply, DESTINATION), "overwritten if sent by the client");
    assertEquals(java.util.List.of("x-envoy-original-dst-host"),
        reply.getRequestHeaders().getResponse().getHeaderMutation().getRemoveHeadersList(), "removed if sent by the client");
    assertTrue(reply.getRequestHeaders().getResponse().getClearRouteCache());
    assertEquals(ADDRESS, reply.getDynamicMetadata().getFieldsOrThrow("envoy.lb").getStructValue()
        .getFieldsOrThrow(DESTINATION).getStringValue());
    assertEquals(HeaderSendMode.SEND, reply.getModeOverride().getResponseHeaderMode());
    Request received = nextEvent(Request.class);
    assertEquals("safe", received.className());
    s.send(response(200)).next();
    Outcome outcome = nextEvent(Outcome.class);
    assertEquals(Status.SERVED, outcome.status());
    assertTrue(outcome.finished());
    s.halfClose();
    assertTrue(s.closed().isOk());
    rig.awaitNoPendingCalls();
  }

  @ParameterizedTest
  @CsvSource(delimiter = '|', value = {
    "200 | '' | SERVED", "204 | '' | SERVED", "404 | '' | SERVED", "500 | '' | ERROR", "503 | '' | ERROR",
    "503 | x-never-ran | FULL", "504 | x-never-ran | FULL", "500 | x-never-ran | ERROR", "999 | '' | RESET"})
  void derivesTheOutcomeFromTheResponseHeaders(int code, String header, Status status) throws Exception {
    Stream s = start().open().send(safeRequest());
    s.next();
    assertTrue(s.send(header.isEmpty() ? response(code) : response(code, header, "1")).next().hasResponseHeaders());
    assertEquals(status, nextEvent(Outcome.class).status());
  }

  @ParameterizedTest
  @CsvSource(delimiter = '|', value = {
    "upstream_reset_before_response_started{connection_failure} | CONNECT_FAILED",
    "upstream_reset_before_response_started{connection_timeout} | CONNECT_FAILED",
    "upstream_reset_before_response_started{connection_termination} | RESET",
    "upstream_response_timeout | TIMEOUT", "via_upstream | ERROR"})
  void derivesTheOutcomeFromResponseCodeDetails(String details, Status status) throws Exception {
    Stream s = start().open().send(safeRequest());
    s.next();
    s.send(response(503).putAttributes("envoy.filters.http.ext_proc", Struct.newBuilder()
        .putFields("response.code_details", Value.newBuilder().setStringValue(details).build()).build()));
    s.next();
    assertEquals(status, nextEvent(Outcome.class).status());
  }

  @Test
  void passesLoadReportsOnAndIgnoresInformationalResponses() throws Exception {
    Stream s = start().open().send(safeRequest());
    s.next();
    s.send(response(103));
    assertTrue(s.next().hasResponseHeaders());
    s.send(response(200, "endpoint-load-metrics", "TEXT inflight=7, util=0.5, odd=x"));
    s.next();
    Outcome outcome = nextEvent(Outcome.class);
    assertEquals(java.util.Map.of("inflight", 7.0, "util", 0.5), outcome.load());
  }

  @ParameterizedTest
  @EnumSource(value = BodySendMode.class, names = "UNRECOGNIZED", mode = EnumSource.Mode.EXCLUDE)
  void passesBodiesOnInEveryMode(BodySendMode mode) throws Exception {
    Stream s = start().open().send(modes(safeRequest(), mode, mode));
    assertTrue(s.next().hasRequestHeaders());
    for (int i = 0; i < 3; i++) {
      HttpBody chunk = body("piece " + i, i == 2);
      ProcessingResponse reply = s.send(ProcessingRequest.newBuilder().setRequestBody(chunk)).next();
      assertTrue(reply.hasRequestBody(), reply.toString());
      boolean duplex = mode == BodySendMode.FULL_DUPLEX_STREAMED;
      var mutation = reply.getRequestBody().getResponse().getBodyMutation();
      assertEquals(duplex, mutation.hasStreamedResponse());
      if (duplex) {
        assertEquals(chunk.getBody(), mutation.getStreamedResponse().getBody());
        assertEquals(chunk.getEndOfStream(), mutation.getStreamedResponse().getEndOfStream());
      }
    }
    assertTrue(s.send(ProcessingRequest.newBuilder().setRequestTrailers(HttpTrailers.getDefaultInstance())).next()
        .hasRequestTrailers());
    ProcessingRequest.Builder responseHeaders = response(200);
    responseHeaders.getResponseHeadersBuilder().setEndOfStream(false);
    assertTrue(s.send(responseHeaders).next().hasResponseHeaders());
    assertTrue(s.send(ProcessingRequest.newBuilder().setResponseBody(body("a", false))).next().hasResponseBody());
    assertTrue(s.send(ProcessingRequest.newBuilder().setResponseBody(body("b", true))).next().hasResponseBody());
    assertEquals(Status.SERVED, nextEvent(Outcome.class).status());
    assertTrue(s.send(ProcessingRequest.newBuilder().setResponseTrailers(HttpTrailers.getDefaultInstance())).next()
        .hasResponseTrailers());
  }

  /** If the caller sends the response body, the attempt is in flight until its end. */
  @Test
  void anAttemptLastsUntilTheEndOfItsResponseBody() throws Exception {
    Stream s = start().open().send(modes(safeRequest(), BodySendMode.NONE, BodySendMode.STREAMED));
    s.next();
    ProcessingRequest.Builder responseHeaders = response(200);
    responseHeaders.getResponseHeadersBuilder().setEndOfStream(false);
    s.send(responseHeaders).next();
    assertEquals(1, rig.server.inFlightAttempts());
    s.send(ProcessingRequest.newBuilder().setResponseTrailers(HttpTrailers.getDefaultInstance())).next();
    assertEquals(Status.SERVED, nextEvent(Outcome.class).status());
    Rig.await("none in flight", () -> rig.server.inFlightAttempts() == 0);
  }

  @Test
  void rejectsAtOnceWithReasonAndRetryAfter() throws Exception {
    StandInCaller caller = start("", Rig.servers(ADDRESS).replace("cell = 0", "cell = 0\nphase = \"draining\""));
    ProcessingResponse reply = caller.open().send(safeRequest()).next();
    assertEquals(429, reply.getImmediateResponse().getStatus().getCode());
    assertEquals("no_upstream", sets(reply, "x-ashdeck-reason"));
    assertTrue(Double.parseDouble(sets(reply, "retry-after")) > 0);
    assertFalse(reply.getImmediateResponse().hasGrpcStatus());
    reply = caller.open().send(safeRequest("content-type", "application/grpc+proto")).next();
    assertEquals(8, reply.getImmediateResponse().getGrpcStatus().getStatus());
  }

  @ParameterizedTest
  @CsvSource(delimiter = '|', value = {
    "x-qos | odd | 400", "x-envoy-attempt-count | 0 | 400", "x-envoy-attempt-count | -1 | 400",
    "x-expires-in-ms | soon | 400", "grpc-timeout | 5 | 400", "grpc-timeout | 123456789S | 400",
    "x-envoy-expected-rq-timeout-ms | 1e3 | 400"})
  void answersInvalidRequestsWithoutTheModule(String header, String value, int code) throws Exception {
    Stream s = start().open();
    s.send(header.equals("x-qos") ? request("x-request-id", "i", header, value) : safeRequest(header, value));
    ProcessingResponse reply = s.next();
    assertEquals(code, reply.getImmediateResponse().getStatus().getCode());
    assertTrue(reply.getImmediateResponse().getBody().toStringUtf8().startsWith(header), reply.toString());
    assertTrue(s.closed().isOk());
    assertEquals(1, rig.server.counts().localReplies(Reason.BAD_REQUEST));
    assertEquals(0, rig.server.pendingCalls());
  }

  @Test
  void unknownClassesGetTheDefaultClass() throws Exception {
    StandInCaller caller = start("headers.default_class = \"brief\"", Rig.servers(ADDRESS));
    caller.open().send(request("x-qos", "odd")).next();
    assertEquals("brief", nextEvent(Request.class).className());
    caller.open().send(request("accept", "*/*")).next();
    assertEquals("brief", nextEvent(Request.class).className());
  }

  /** Of all deadlines that a request carries, the earliest applies. */
  @ParameterizedTest
  @CsvSource(delimiter = '|', value = {
    "x-expires-in-ms | 7000 | 7000", "grpc-timeout | 9S | 9000", "grpc-timeout | 9000000u | 9000",
    "x-envoy-expected-rq-timeout-ms | 8000 | 8000", "x-envoy-expected-rq-timeout-ms | 0 | 40000",
    "grpc-timeout | 99999999H | 40000"})
  void usesTheEarliestDeadline(String header, String value, long millis) throws Exception {
    StandInCaller caller = start();
    long before = System.nanoTime();
    caller.open().send(safeRequest(header, value)).next();
    Request received = nextEvent(Request.class);
    long answerBy = received.answerByNanos() - TimeUnit.MILLISECONDS.toNanos(140);
    assertEquals(millis, TimeUnit.NANOSECONDS.toMillis(received.deadlineNanos() - answerBy), "counted from its arrival");
    assertTrue(System.nanoTime() >= before);
  }

  @Test
  void ignoresStreamsInObservabilityMode() throws Exception {
    Stream s = start().open().send(safeRequest().setObservabilityMode(true)).send(response(200).setObservabilityMode(true));
    s.halfClose();
    assertTrue(s.closed().isOk());
    assertEquals(0, s.unreadReplies());
    assertEquals(0, rig.server.counts().calls());
    assertEquals(1, rig.server.counts().observedStreams());
  }

  @Test
  void aHalfClosedStreamStillGetsItsDecision() throws Exception {
    Stream s = start().open().send(safeRequest()).halfClose();
    assertEquals(ADDRESS, sets(s.next(), DESTINATION));
    assertTrue(s.closed().isOk());
    assertEquals(Status.CANCELLED, nextEvent(Outcome.class).status(), "it may have run");
  }

  /** Buffering a body may take long: the upstream is checked again before the caller forwards anything. */
  @Test
  void reselectsAnUpstreamThatDrainsWhileTheBodyIsBuffered() throws Exception {
    String two = Rig.servers(ADDRESS, "127.0.0.1:7002");
    Stream s = start("", two).open().send(modes(safeRequest(), BodySendMode.BUFFERED, BodySendMode.NONE));
    String first = sets(s.next(), DESTINATION);
    String other = first.equals(ADDRESS) ? "127.0.0.1:7002" : ADDRESS;
    rig.server.updateServerList(Rig.parsedConfig("", two.replace("address = \"" + first, "phase = \"draining\"\naddress = \"" + first))
        .fleet().list());
    ProcessingResponse reply = s.send(ProcessingRequest.newBuilder().setRequestBody(body("late", true))).next();
    assertEquals(other, sets(reply, DESTINATION), reply.toString());
    assertTrue(reply.getRequestBody().getResponse().getClearRouteCache());
    assertEquals(Status.NOT_SENT, nextEvent(Outcome.class).status());
    s.send(response(200)).next();
    assertEquals(Status.SERVED, nextEvent(Outcome.class).status());
    rig.awaitNoPendingCallsExcept(1);
  }

  @Test
  void passesTheBufferedBodyOnIfTheUpstreamIsStillReady() throws Exception {
    Stream s = start().open().send(modes(safeRequest(), BodySendMode.BUFFERED, BodySendMode.NONE));
    s.next();
    ProcessingResponse reply = s.send(ProcessingRequest.newBuilder().setRequestBody(body("x", true))).next();
    assertTrue(reply.hasRequestBody() && !reply.getRequestBody().getResponse().hasHeaderMutation(), reply.toString());
  }

  @Test
  void reportsHealth() throws Exception {
    StandInCaller caller = start();
    var health = HealthGrpc.newBlockingStub(caller.channel());
    assertEquals(ServingStatus.SERVING, health.check(HealthCheckRequest.getDefaultInstance()).getStatus());
    assertEquals(ServingStatus.SERVING, health.check(HealthCheckRequest.newBuilder()
        .setService("envoy.service.ext_proc.v3.ExternalProcessor").build()).getStatus());
  }

  @Test
  void reportsACancelledStreamOnce() throws Exception {
    StandInCaller caller = start("", Rig.servers(ADDRESS).replace("cell = 0", "cell = 0\nsize = 2"));
    Stream s = caller.open().send(safeRequest());
    s.next();
    s.cancel();
    assertEquals(Status.CANCELLED, nextEvent(Outcome.class).status());
    rig.awaitNoPendingCalls();
    assertTrue(events.stream().noneMatch(e -> e instanceof Outcome || e instanceof ClientGone), events.toString());
  }

  @Test
  void acceptsHeaderValuesThatAreNotUtf8() throws Exception {
    ProcessingRequest.Builder message = safeRequest();
    message.getRequestHeadersBuilder().getHeadersBuilder().addHeadersBuilder().setKey("x-customer")
        .setRawValue(ByteString.copyFrom(new byte[] {(byte) 0xff, (byte) 0xfe, 0}));
    assertEquals(ADDRESS, sets(start().open().send(message).next(), DESTINATION), "any tenant is accepted if none is configured");
  }
}
