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

/** Callers that break off, stall, flood and send garbage: nothing is left of them, and the others are served. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class RobustnessTest {

  private static final String DESTINATION = "x-gateway-destination-endpoint";
  private static final String ADDRESS = "127.0.0.1:7001";

  private final Rig rig = new Rig();
  private final ConcurrentLinkedQueue<Event> events = new ConcurrentLinkedQueue<>();
  private final CountDownLatch held = new CountDownLatch(1);

  @AfterEach
  void close() throws Exception {
    rig.close();
    assertEquals(List.of(), Leaks.found());
  }

  private static ProcessingRequest.Builder get(String id) {
    return request("x-request-id", id, "x-qos", "safe", ":path", "/", ":method", "GET");
  }

  /** A module that holds every request whose id says so and leaves the others to the real one. */
  private StandInCaller start(String processor, boolean holdAll) throws Exception {
    Balancer logic = new Logic(Rig.told(processor, Rig.servers(ADDRESS)).settings(), 7);
    rig.start(processor, Rig.servers(ADDRESS), (long now, Event event, Consumer<Action> out) -> {
      events.add(event);
      if (event instanceof Request && holdAll) {
        held.countDown();
        return;
      }
      logic.handle(now, event, out);
    });
    return rig.caller();
  }

  private StandInCaller start() throws Exception {
    return start("", false);
  }

  private long told(Class<? extends Event> kind) {
    return events.stream().filter(kind::isInstance).count();
  }

  private void stillServes() throws Exception {
    Stream s = rig.caller().open().send(get("after"));
    assertEquals(ADDRESS, sets(s.next(), DESTINATION));
    s.send(response(200)).next();
    s.halfClose();
    assertTrue(s.closed().isOk());
  }

  // ---- Callers that hang up ------------------------------------------------------------------------------

  @Test
  void whileTheVerdictIsAwaited() throws Exception {
    Stream s = start("", true).open().send(get("a"));
    held.await();
    s.cancel();
    rig.awaitNoPendingCalls();
    assertEquals(1, told(ClientGone.class));
    assertEquals(0, told(Outcome.class));
  }

  @Test
  void afterTheVerdictAndBeforeTheAnswer() throws Exception {
    Stream s = start().open().send(get("a"));
    s.next();
    s.cancel();
    rig.awaitNoPendingCalls();
    assertEquals(1, told(Outcome.class));
    assertEquals(0, told(ClientGone.class));
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void inTheMiddleOfABody(boolean buffered) throws Exception {
    Stream s = start().open().send(get("a").setProtocolConfig(ProtocolConfiguration.newBuilder()
        .setRequestBodyMode(buffered ? BodySendMode.BUFFERED : BodySendMode.STREAMED)));
    s.next();
    s.send(ProcessingRequest.newBuilder().setRequestBody(body("half", false)));
    s.next();
    s.cancel();
    rig.awaitNoPendingCalls();
    assertEquals(1, told(Outcome.class));
  }

  @Test
  void oneStreamOfMany() throws Exception {
    StandInCaller caller = start();
    List<Stream> streams = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      streams.add(caller.open().send(get("a" + i)));
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
    assertEquals(told(Request.class), told(Outcome.class) + told(ClientGone.class), "each is told to have ended once");
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void theWholeConnectionWith500CallsOpen(boolean holdAll) throws Exception {
    StandInCaller caller = start("message_timeout_ms = 60000", holdAll);
    List<Stream> streams = new ArrayList<>();
    for (int i = 0; i < 500; i++) {
      streams.add(caller.open().send(get("a" + i)));
    }
    Rig.await("500 calls in hand", () -> rig.server.pendingCalls() == 500);
    caller.close();
    rig.awaitNoPendingCalls();
    assertEquals(500, told(ClientGone.class) + told(Outcome.class), "each told once");
    for (Stream s : streams) {
      assertTrue(!s.closed().isOk());
    }
  }

  // ---- Decisions that don't come -------------------------------------------------------------------------

  @Test
  void aStalledEngineGivesNoVerdictAndTheGuardDoes() throws Exception {
    CountDownLatch stalled = new CountDownLatch(1);
    CountDownLatch over = new CountDownLatch(1);
    Balancer logic = new Logic(Rig.told("", Rig.servers(ADDRESS)).settings(), 7);
    AtomicBoolean first = new AtomicBoolean(true);
    rig.start("", Rig.servers(ADDRESS), (long now, Event event, Consumer<Action> out) -> {
      events.add(event);
      if (event instanceof Request && first.getAndSet(false)) {
        stalled.countDown();
        awaitQuietly(over);
      }
      logic.handle(now, event, out);
    });
    StandInCaller caller = rig.caller();
    Stream s = caller.open().send(get("a"));
    stalled.await();
    ProcessingResponse reply = s.next();
    assertEquals(502, reply.getImmediateResponse().getStatus().getCode(), "without a promise: nothing is known");
    assertEquals("deadline", sets(reply, "x-ashdeck-reason"));
    assertTrue(s.closed().isOk());
    Stream queued = caller.open().send(get("b"));
    assertEquals("deadline", sets(queued.next(), "x-ashdeck-reason"), "nor does one that waits behind it");
    over.countDown();
    rig.awaitNoPendingCalls();
    assertEquals(2, rig.server.counts().guardTimeouts());
    assertEquals(0, s.left() + queued.left(), "one verdict each");
    Outcome outcome = (Outcome) events.stream().filter(Outcome.class::isInstance).findFirst().orElseThrow();
    assertEquals(Balancer.Status.NOT_SENT, outcome.status(), "what the engine said too late was not sent");
    stillServes();
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void aModuleThatNeverAnswersIsPassedByTheEnginesGuard() throws Exception {
    Stream s = start("", true).open().send(get("a"));
    ProcessingResponse reply = s.next();
    assertEquals("deadline", sets(reply, "x-ashdeck-reason"));
    rig.awaitNoPendingCalls();
    assertEquals(1, told(ClientGone.class));
  }

  /** No upstream: the real module holds a request for a part of its aim, and gives it up within the time-out. */
  @Test
  void aHeldRequestIsGivenUpInTime() throws Exception {
    rig.start("", Rig.servers(ADDRESS).replace("cell = 0", "phase = \"draining\""));
    StandInCaller caller = rig.caller();
    assertEquals("no_upstream", sets(caller.open().send(get("a")).next(), "x-ashdeck-reason"));
    assertEquals(0, rig.server.counts().guardTimeouts());
  }

  @Test
  void aModuleThatThrowsIsReplacedAndItsCallsAreAnswered() throws Exception {
    AtomicBoolean thrown = new AtomicBoolean();
    Rig.Told told = Rig.told("", Rig.servers(ADDRESS));
    rig.server = rig.keep(ProcessorServer.start(told.processor(), told.settings(), told.fleet(), n -> {
      Balancer logic = new Logic(told.settings(), n);
      return (now, event, out) -> {
        if (event instanceof Request r && r.id().equals("r1") && !thrown.getAndSet(true)) {
          throw new IllegalStateException("on purpose: this line belongs to a test");
        }
        logic.handle(now, event, out);
      };
    }));
    StandInCaller caller = rig.caller();
    Stream before = caller.open().send(get("a"));
    assertEquals(ADDRESS, sets(before.next(), DESTINATION));
    ProcessingResponse reply = caller.open().send(get("b")).next();
    assertEquals(502, reply.getImmediateResponse().getStatus().getCode());
    before.send(response(200)).next();
    before.halfClose();
    stillServes();
    rig.awaitNoPendingCalls();
  }

  // ---- Floods and silence --------------------------------------------------------------------------------

  @Test
  void twoThousandCallsOpenAtOnce() throws Exception {
    StandInCaller caller = start();
    List<Stream> streams = new ArrayList<>();
    for (int i = 0; i < 2000; i++) {
      streams.add(caller.open().send(get("a" + i)));
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
    assertEquals(sent, rig.server.inFlightAttempts(), "what is open is what was sent");
    for (Stream s : streams) {
      s.halfClose();
    }
    for (Stream s : streams) {
      assertTrue(s.closed().isOk());
    }
    rig.awaitNoPendingCalls();
  }

  @Test
  void aCallerThatNeverReadsHoldsNoMoreThanAWindow() throws Exception {
    StandInCaller caller = start();
    Stream deaf = caller.openDeaf();
    // Echoed bodies are what fills the window of a caller that does not read.
    deaf.send(get("a").setProtocolConfig(
        ProtocolConfiguration.newBuilder().setRequestBodyMode(BodySendMode.FULL_DUPLEX_STREAMED)));
    String piece = "x".repeat(16 << 10);
    for (int i = 0; i < 200; i++) {
      deaf.send(ProcessingRequest.newBuilder().setRequestBody(body(piece, false)));
    }
    stillServes();
    assertEquals(1, rig.server.openStreams());
    deaf.cancel();
    rig.awaitNoPendingCalls();
  }

  @Test
  void aStreamThatSaysNothingIsEnded() throws Exception {
    StandInCaller caller = start("limits.first_message_ms = 50", false);
    Stream s = caller.open();
    assertEquals(Status.Code.DEADLINE_EXCEEDED, s.closed().getCode());
    stillServes();
    rig.awaitNoPendingCalls();
  }

  @Test
  void aStreamThatFallsSilentAfterItsVerdictIsLetGo() throws Exception {
    StandInCaller caller = start("limits.stream_idle_ms = 50", false);
    Stream s = caller.open().send(get("a"));
    s.next();
    assertTrue(s.closed().isOk(), "its caller goes on without us");
    rig.awaitNoPendingCalls();
    assertEquals(1, told(Outcome.class));
  }

  @Test
  void tooManyStreamsAreTurnedAway() throws Exception {
    StandInCaller caller = start("limits.streams = 3", false);
    List<Stream> open = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      open.add(caller.open().send(get("a" + i)));
      open.get(i).next();
    }
    assertEquals(Status.Code.RESOURCE_EXHAUSTED, caller.open().send(get("b")).closed().getCode());
    open.get(0).halfClose();
    assertTrue(open.get(0).closed().isOk());
    Rig.await("room again", () -> rig.server.openStreams() == 2);
    assertNotNull(caller.open().send(get("c")).next());
  }

  // ---- What can't be read --------------------------------------------------------------------------------

  @ParameterizedTest
  @CsvSource({"100000, 1, 431", "10, 10000, 431", "100, 3, 0"})
  void headersAreBounded(int bytes, int names, int code) throws Exception {
    ProcessingRequest.Builder message = get("a");
    for (int i = 0; i < names; i++) {
      message.getRequestHeadersBuilder().getHeadersBuilder().addHeadersBuilder().setKey("x-" + i).setValue("v".repeat(bytes));
    }
    ProcessingResponse reply = start().open().send(message).next();
    assertEquals(code, reply.getImmediateResponse().getStatus().getCode());
  }

  @Test
  void aMessageOfAMegabyteIsNotRead() throws Exception {
    Stream s = start().open().send(request("x-request-id", "a", "x-qos", "safe", "x-large", "v".repeat(1 << 20)));
    assertTrue(!s.closed().isOk(), "the stream ends, and the proxy does as its failure mode says");
    rig.awaitNoPendingCalls();
    stillServes();
  }

  @Test
  void phasesOutOfTheirOrderEndTheStream() throws Exception {
    StandInCaller caller = start();
    assertEquals(Status.Code.FAILED_PRECONDITION, caller.open()
        .send(ProcessingRequest.newBuilder().setRequestBody(body("first", true))).closed().getCode());
    assertEquals(Status.Code.FAILED_PRECONDITION, caller.open().send(response(200)).closed().getCode());
    assertEquals(Status.Code.INVALID_ARGUMENT, caller.open().send(get("a")).send(get("a")).closed().getCode());
    assertEquals(Status.Code.UNIMPLEMENTED, caller.open().send(ProcessingRequest.newBuilder()).closed().getCode());
    rig.awaitNoPendingCalls();
    assertEquals(4, rig.server.counts().protocolErrors());
    assertEquals(told(Request.class), told(Outcome.class) + told(ClientGone.class));
    stillServes();
  }

  /** Bytes instead of a message; text that is not UTF-8 where the protocol says text. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void bytesThatAreNoMessageEndTheirStreamAlone(int kind) throws Exception {
    StandInCaller caller = start();
    byte[] text = ProcessingRequest.newBuilder().setRequestHeaders(HttpHeaders.newBuilder()
        .setHeaders(StandInCaller.headers("x-qos", "safe"))).build().toByteArray();
    byte[] notUtf8 = {0x12, 0x09, 0x0a, 0x07, 0x0a, 0x05, 0x0a, 0x03, 'a', (byte) 0xff, 'b'};
    byte[] bytes = switch (kind) {
      case 0 -> new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff, 1, 2, 3};
      case 1 -> java.util.Arrays.copyOf(text, text.length - 3);
      default -> notUtf8;
    };
    MethodDescriptor<byte[], byte[]> raw = MethodDescriptor.<byte[], byte[]>newBuilder()
        .setType(MethodDescriptor.MethodType.BIDI_STREAMING)
        .setFullMethodName(ExternalProcessor.PROCESS.getFullMethodName()).setRequestMarshaller(new Raw())
        .setResponseMarshaller(new Raw()).build();
    ClientCall<byte[], byte[]> call = caller.channel().newCall(raw, CallOptions.DEFAULT);
    CompletableFuture<Status> closed = new CompletableFuture<>();
    call.start(new ClientCall.Listener<>() {
      @Override
      public void onClose(Status status, Metadata trailers) {
        closed.complete(status);
      }
    }, new Metadata());
    call.request(1);
    call.sendMessage(bytes);
    assertTrue(!closed.get(Rig.LIMIT_S, TimeUnit.SECONDS).isOk());
    rig.awaitNoPendingCalls();
    stillServes();
  }

  private static final class Raw implements MethodDescriptor.Marshaller<byte[]> {
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
