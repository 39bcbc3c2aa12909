package cloverpulley.processor;

import static cloverpulley.standins.StandInCaller.body;
import static cloverpulley.standins.StandInCaller.request;
import static cloverpulley.standins.StandInCaller.response;
import static cloverpulley.standins.StandInCaller.sets;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer;
import cloverpulley.Balancer.Action;
import cloverpulley.Balancer.ClientGone;
import cloverpulley.Balancer.Event;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.Request;
import cloverpulley.Logic;
import cloverpulley.extproc.ExtProc.HttpHeaders;
import cloverpulley.extproc.ExtProc.ProcessingMode.BodySendMode;
import cloverpulley.extproc.ExtProc.ProcessingRequest;
import cloverpulley.extproc.ExtProc.ProcessingResponse;
import cloverpulley.extproc.ExtProc.ProtocolConfiguration;
import cloverpulley.extproc.ExternalProcessor;
import cloverpulley.standins.StandInCaller;
import cloverpulley.standins.StandInCaller.Stream;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Callers that cancel, stall, flood or send garbage leave nothing behind, and other callers are still served. */
@Timeout(value = 2 * Rig.TIMEOUT_S, unit = TimeUnit.SECONDS)
class RobustnessTest {

  private static final String DESTINATION = "x-gateway-destination-endpoint";
  private static final String ADDRESS = "127.0.0.1:7001";

  private final Rig rig = new Rig();
  private final ConcurrentLinkedQueue<Event> events = new ConcurrentLinkedQueue<>();
  private final CountDownLatch requestReceived = new CountDownLatch(1);

  @AfterEach
  void close() throws Exception {
    rig.close();
    assertEquals(List.of(), Leaks.reports());
  }

  private static ProcessingRequest.Builder safeRequest(String id) {
    return request("x-request-id", id, "x-qos", "safe", ":path", "/", ":method", "GET");
  }

  /** Starts a processor with the real module, or one that never decides if {@code ignoreRequests}. */
  private StandInCaller start(String processor, boolean ignoreRequests) throws Exception {
    Balancer logic = new Logic(Rig.parsedConfig(processor, Rig.servers(ADDRESS)).settings(), 7);
    rig.start(processor, Rig.servers(ADDRESS), (long now, Event event, Consumer<Action> out) -> {
      events.add(event);
      if (event instanceof Request && ignoreRequests) {
        requestReceived.countDown();
        return;
      }
      logic.handle(now, event, out);
    });
    return rig.caller();
  }

  private StandInCaller start() throws Exception {
    return start("", false);
  }

  private long eventCount(Class<? extends Event> type) {
    return events.stream().filter(type::isInstance).count();
  }

  private void assertStillServing() throws Exception {
    Stream s = rig.caller().open().send(safeRequest("after"));
    assertEquals(ADDRESS, sets(s.next(), DESTINATION));
    s.send(response(200)).next();
    s.halfClose();
    assertTrue(s.closed().isOk());
  }

  // ---- Callers that cancel -------------------------------------------------------------------------------

  @Test
  void cancelWhileUndecided() throws Exception {
    Stream s = start("", true).open().send(safeRequest("a"));
    requestReceived.await();
    s.cancel();
    rig.awaitNoPendingCalls();
    assertEquals(1, eventCount(ClientGone.class));
    assertEquals(0, eventCount(Outcome.class));
  }

  @Test
  void cancelBetweenDecisionAndResponse() throws Exception {
    Stream s = start().open().send(safeRequest("a"));
    s.next();
    s.cancel();
    rig.awaitNoPendingCalls();
    assertEquals(1, eventCount(Outcome.class));
    assertEquals(0, eventCount(ClientGone.class));
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void cancelInTheMiddleOfABody(boolean buffered) throws Exception {
    Stream s = start().open().send(safeRequest("a").setProtocolConfig(ProtocolConfiguration.newBuilder()
        .setRequestBodyMode(buffered ? BodySendMode.BUFFERED : BodySendMode.STREAMED)));
    s.next();
    s.send(ProcessingRequest.newBuilder().setRequestBody(body("half", false)));
    s.next();
    s.cancel();
    rig.awaitNoPendingCalls();
    assertEquals(1, eventCount(Outcome.class));
  }

  @Test
  void cancelOneStreamOfMany() throws Exception {
    StandInCaller caller = start();
    List<Stream> streams = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      streams.add(caller.open().send(safeRequest("a" + i)));
    }
    streams.get(17).cancel();
    for (int i = 0; i < streams.size(); i++) {
      if (i != 17) {
        assertNotNull(sets(streams.get(i).next(), DESTINATION));
        streams.get(i).send(response(200)).next();
        streams.get(i).halfClose();
        assertTrue(streams.get(i).closed().isOk());
      }
    }
    rig.awaitNoPendingCalls();
    assertEquals(eventCount(Request.class), eventCount(Outcome.class) + eventCount(ClientGone.class), "the end of each is reported once");
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void closeAConnectionWith500OpenCalls(boolean ignoreRequests) throws Exception {
    StandInCaller caller = start("message_timeout_ms = 60000", ignoreRequests);
    List<Stream> streams = new ArrayList<>();
    for (int i = 0; i < 500; i++) {
      streams.add(caller.open().send(safeRequest("a" + i)));
    }
    Rig.await("500 pending calls", () -> rig.server.pendingCalls() == 500);
    caller.close();
    rig.awaitNoPendingCalls();
    assertEquals(500, eventCount(ClientGone.class) + eventCount(Outcome.class), "each reported once");
    for (Stream s : streams) {
      assertTrue(!s.closed().isOk());
    }
  }

  // ---- Missing decisions ---------------------------------------------------------------------------------

  @Test
  void theGuardTimerAnswersWhenTheEngineStalls() throws Exception {
    CountDownLatch stallStarted = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    Balancer logic = new Logic(Rig.parsedConfig("", Rig.servers(ADDRESS)).settings(), 7);
    AtomicBoolean first = new AtomicBoolean(true);
    rig.start("", Rig.servers(ADDRESS), (long now, Event event, Consumer<Action> out) -> {
      events.add(event);
      if (event instanceof Request && first.getAndSet(false)) {
        stallStarted.countDown();
        awaitQuietly(release);
      }
      logic.handle(now, event, out);
    });
    StandInCaller caller = rig.caller();
    Stream s = caller.open().send(safeRequest("a"));
    stallStarted.await();
    ProcessingResponse reply = s.next();
    assertEquals(502, reply.getImmediateResponse().getStatus().getCode(), "not 503, because a retry may not be safe");
    assertEquals("deadline", sets(reply, "x-ashdeck-reason"));
    assertTrue(s.closed().isOk());
    Stream queued = caller.open().send(safeRequest("b"));
    assertEquals("deadline", sets(queued.next(), "x-ashdeck-reason"), "a call queued behind it gets none either");
    release.countDown();
    rig.awaitNoPendingCalls();
    assertEquals(2, rig.server.counts().guardTimeouts());
    assertEquals(0, s.unreadReplies() + queued.unreadReplies(), "one decision each");
    Outcome outcome = (Outcome) events.stream().filter(Outcome.class::isInstance).findFirst().orElseThrow();
    assertEquals(Balancer.Status.NOT_SENT, outcome.status(), "a late decision is reported as not sent");
    assertStillServing();
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void theEngineAnswersWhenTheModuleNeverDecides() throws Exception {
    Stream s = start("", true).open().send(safeRequest("a"));
    ProcessingResponse reply = s.next();
    assertEquals("deadline", sets(reply, "x-ashdeck-reason"));
    rig.awaitNoPendingCalls();
    assertEquals(1, eventCount(ClientGone.class));
  }

  /** Without a ready upstream the real module queues a request for a part of its target latency, then abandons it within the time-out. */
  @Test
  void aQueuedRequestIsAbandonedInTime() throws Exception {
    rig.start("", Rig.servers(ADDRESS).replace("cell = 0", "phase = \"draining\""));
    StandInCaller caller = rig.caller();
    assertEquals("no_upstream", sets(caller.open().send(safeRequest("a")).next(), "x-ashdeck-reason"));
    assertEquals(0, rig.server.counts().guardTimeouts());
  }

  @Test
  void replacesAModuleThatThrowsAndAnswersItsCalls() throws Exception {
    AtomicBoolean hasThrown = new AtomicBoolean();
    Rig.ParsedConfig config = Rig.parsedConfig("", Rig.servers(ADDRESS));
    rig.server = rig.closeLater(ProcessorServer.start(config.processor(), config.settings(), config.fleet(), n -> {
      Balancer logic = new Logic(config.settings(), n);
      return (now, event, out) -> {
        if (event instanceof Request r && r.id().equals("r1") && !hasThrown.getAndSet(true)) {
          throw new IllegalStateException("thrown on purpose by a test");
        }
        logic.handle(now, event, out);
      };
    }));
    StandInCaller caller = rig.caller();
    Stream earlier = caller.open().send(safeRequest("a"));
    assertEquals(ADDRESS, sets(earlier.next(), DESTINATION));
    ProcessingResponse reply = caller.open().send(safeRequest("b")).next();
    assertEquals(502, reply.getImmediateResponse().getStatus().getCode());
    earlier.send(response(200)).next();
    earlier.halfClose();
    assertStillServing();
    rig.awaitNoPendingCalls();
  }

  // ---- Floods and idle streams ---------------------------------------------------------------------------

  @Test
  void twoThousandCallsOpenAtOnce() throws Exception {
    StandInCaller caller = start();
    List<Stream> streams = new ArrayList<>();
    for (int i = 0; i < 2000; i++) {
      streams.add(caller.open().send(safeRequest("a" + i)));
    }
    int sent = 0;
    Set<Integer> codes = new HashSet<>();
    for (Stream s : streams) {
      ProcessingResponse reply = s.next();
      if (reply.hasImmediateResponse()) {
        codes.add(reply.getImmediateResponse().getStatus().getCode());
      } else {
        sent++;
      }
    }
    assertTrue(sent > 0 && (codes.isEmpty() || codes.equals(Set.of(429))), sent + " sent, else " + codes);
    assertEquals(sent, rig.server.inFlightAttempts(), "each forwarded call has one attempt in flight");
    for (Stream s : streams) {
      s.halfClose();
    }
    for (Stream s : streams) {
      assertTrue(s.closed().isOk());
    }
    rig.awaitNoPendingCalls();
  }

  @Test
  void aCallerThatNeverReadsIsBoundedByItsFlowControlWindow() throws Exception {
    StandInCaller caller = start();
    Stream nonReading = caller.openWithoutReading();
    // Echoed bodies fill the flow-control window of a caller that does not read.
    nonReading.send(safeRequest("a").setProtocolConfig(
        ProtocolConfiguration.newBuilder().setRequestBodyMode(BodySendMode.FULL_DUPLEX_STREAMED)));
    String chunk = "x".repeat(16 << 10);
    for (int i = 0; i < 200; i++) {
      nonReading.send(ProcessingRequest.newBuilder().setRequestBody(body(chunk, false)));
    }
    assertStillServing();
    assertEquals(1, rig.server.openStreams());
    nonReading.cancel();
    rig.awaitNoPendingCalls();
  }

  @Test
  void closesAStreamWithoutAFirstMessage() throws Exception {
    StandInCaller caller = start("limits.first_message_ms = 50", false);
    Stream s = caller.open();
    assertEquals(Status.Code.DEADLINE_EXCEEDED, s.closed().getCode());
    assertStillServing();
    rig.awaitNoPendingCalls();
  }

  @Test
  void closesAnIdleStreamAfterItsDecision() throws Exception {
    StandInCaller caller = start("limits.stream_idle_ms = 50", false);
    Stream s = caller.open().send(safeRequest("a"));
    s.next();
    assertTrue(s.closed().isOk(), "its caller proceeds without the processor");
    rig.awaitNoPendingCalls();
    assertEquals(1, eventCount(Outcome.class));
  }

  @Test
  void rejectsStreamsAboveTheLimit() throws Exception {
    StandInCaller caller = start("limits.streams = 3", false);
    List<Stream> open = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      open.add(caller.open().send(safeRequest("a" + i)));
      open.get(i).next();
    }
    assertEquals(Status.Code.RESOURCE_EXHAUSTED, caller.open().send(safeRequest("b")).closed().getCode());
    open.get(0).halfClose();
    assertTrue(open.get(0).closed().isOk());
    Rig.await("capacity for another stream", () -> rig.server.openStreams() == 2);
    assertNotNull(caller.open().send(safeRequest("c")).next());
  }

  // ---- Invalid input -------------------------------------------------------------------------------------

  @ParameterizedTest
  @CsvSource({"100000, 1, 431", "10, 10000, 431", "100, 3, 0"})
  void rejectsTooLargeHeaders(int bytes, int names, int code) throws Exception {
    ProcessingRequest.Builder message = safeRequest("a");
    for (int i = 0; i < names; i++) {
      message.getRequestHeadersBuilder().getHeadersBuilder().addHeadersBuilder().setKey("x-" + i).setValue("v".repeat(bytes));
    }
    ProcessingResponse reply = start().open().send(message).next();
    assertEquals(code, reply.getImmediateResponse().getStatus().getCode());
  }

  @Test
  void rejectsAMessageOfAMegabyte() throws Exception {
    Stream s = start().open().send(request("x-request-id", "a", "x-qos", "safe", "x-large", "v".repeat(1 << 20)));
    assertTrue(!s.closed().isOk(), "the stream fails, and the proxy applies its failure mode");
    rig.awaitNoPendingCalls();
    assertStillServing();
  }

  @Test
  void closesStreamsWithPhasesOutOfOrder() throws Exception {
    StandInCaller caller = start();
    assertEquals(Status.Code.FAILED_PRECONDITION, caller.open()
        .send(ProcessingRequest.newBuilder().setRequestBody(body("first", true))).closed().getCode());
    assertEquals(Status.Code.FAILED_PRECONDITION, caller.open().send(response(200)).closed().getCode());
    assertEquals(Status.Code.INVALID_ARGUMENT, caller.open().send(safeRequest("a")).send(safeRequest("a")).closed().getCode());
    assertEquals(Status.Code.UNIMPLEMENTED, caller.open().send(ProcessingRequest.newBuilder()).closed().getCode());
    rig.awaitNoPendingCalls();
    assertEquals(4, rig.server.counts().protocolErrors());
    assertEquals(eventCount(Request.class), eventCount(Outcome.class) + eventCount(ClientGone.class));
    assertStillServing();
  }

  /** Arbitrary bytes, a truncated message, and a string field that is not UTF-8. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void anInvalidMessageClosesOnlyItsOwnStream(int variant) throws Exception {
    StandInCaller caller = start();
    byte[] encoded = ProcessingRequest.newBuilder().setRequestHeaders(HttpHeaders.newBuilder()
        .setHeaders(StandInCaller.headers("x-qos", "safe"))).build().toByteArray();
    byte[] notUtf8 = {0x12, 0x09, 0x0a, 0x07, 0x0a, 0x05, 0x0a, 0x03, 'a', (byte) 0xff, 'b'};
    byte[] bytes = switch (variant) {
      case 0 -> new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff, 1, 2, 3};
      case 1 -> java.util.Arrays.copyOf(encoded, encoded.length - 3);
      default -> notUtf8;
    };
    MethodDescriptor<byte[], byte[]> rawMethod = MethodDescriptor.<byte[], byte[]>newBuilder()
        .setType(MethodDescriptor.MethodType.BIDI_STREAMING)
        .setFullMethodName(ExternalProcessor.PROCESS.getFullMethodName()).setRequestMarshaller(new ByteArrayMarshaller())
        .setResponseMarshaller(new ByteArrayMarshaller()).build();
    ClientCall<byte[], byte[]> call = caller.channel().newCall(rawMethod, CallOptions.DEFAULT);
    CompletableFuture<Status> closed = new CompletableFuture<>();
    call.start(new ClientCall.Listener<>() {
      @Override
      public void onClose(Status status, Metadata trailers) {
        closed.complete(status);
      }
    }, new Metadata());
    call.request(1);
    call.sendMessage(bytes);
    assertTrue(!closed.get(Rig.TIMEOUT_S, TimeUnit.SECONDS).isOk());
    rig.awaitNoPendingCalls();
    assertStillServing();
  }

  private static final class ByteArrayMarshaller implements MethodDescriptor.Marshaller<byte[]> {
    @Override
    public InputStream stream(byte[] value) {
      return new ByteArrayInputStream(value);
    }

    @Override
    public byte[] parse(InputStream stream) {
      try {
        return stream.readAllBytes();
      } catch (java.io.IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    }
  }
}
