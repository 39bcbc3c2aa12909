package cloverpulley.processor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.config.ConfigFile;
import cloverpulley.config.Section;
import cloverpulley.config.ServiceSection;
import cloverpulley.extproc.ExtProc.HeaderMap;
import cloverpulley.extproc.ExtProc.HeaderValue;
import cloverpulley.extproc.ExtProc.HttpHeaders;
import cloverpulley.extproc.ExtProc.ProcessingRequest;
import cloverpulley.extproc.ExtProc.ProcessingResponse;
import cloverpulley.fleet.FleetSource;
import cloverpulley.quota.service.QuotaConfig;
import cloverpulley.records.Recorder;
import cloverpulley.standins.StandInCaller;
import cloverpulley.standins.StandInCaller.Stream;
import com.google.protobuf.ByteString;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Quotas over sockets: which calls are rejected and how, what is released, and what a restart restores. */
@Timeout(120)
class QuotaTest {

  private static final String QUOTA = """
      [[tenant]]
      name = "steppe"
      [[tenant]]
      name = "agro"
      [quota]
      [[quota.lane]]
      dimension = "requests"
      window_ms = 600000
      total = 100.0
      [[quota.lane]]
      dimension = "concurrency"
      total = 10.0
      [[quota.node]]
      path = "steppe"
      guarantee = [40, 4]
      ceiling = [50, 6]
      child_share = 0.5
      [[quota.node]]
      path = "agro"
      guarantee = [60, 6]
      [quota.journal]
      file = "FILE"
      flush_ms = 5
      """;

  @TempDir
  Path directory;

  private final Rig rig = new Rig();
  private int ids;

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  private record Configs(Rig.ParsedConfig base, QuotaConfig quota) {
    static Configs read(Section file) {
      return new Configs(new Rig.ParsedConfig(ServiceSection.read(file), ProcessorConfig.read(file.table("processor"), 1),
          FleetSource.read(file.table("fleet"))), QuotaConfig.read(file.table("quota")));
    }
  }

  private StandInCaller start() throws Exception {
    return start(QUOTA.replace("FILE", directory.resolve("q").toString()));
  }

  private StandInCaller start(String quota) throws Exception {
    Configs configs = ConfigFile.parse("test", Rig.CLASSES + quota + "[processor]\nlisten = \"127.0.0.1:0\"\nlame_ms = 0\n"
        + Rig.servers("127.0.0.1:7001", "127.0.0.1:7002"), Configs::read);
    rig.server = rig.closeLater(ProcessorServer.start(configs.base.processor(), configs.base.settings(), configs.base.fleet(), 7,
        Recorder.NONE, configs.quota));
    return rig.caller();
  }

  private static HeaderValue header(String name, String value) {
    return HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value)).build();
  }

  private ProcessingRequest request(String tenant, String subpath, int attempt, String id) {
    HeaderMap.Builder h = HeaderMap.newBuilder().addHeaders(header(":method", "GET")).addHeaders(header(":path", "/"))
        .addHeaders(header("x-request-id", id)).addHeaders(header("x-qos", "safe"))
        .addHeaders(header("x-envoy-attempt-count", "" + attempt)).addHeaders(header("x-customer", tenant));
    if (subpath != null) {
      h.addHeaders(header("x-quota-path", subpath));
    }
    return ProcessingRequest.newBuilder().setRequestHeaders(HttpHeaders.newBuilder().setHeaders(h).setEndOfStream(true)).build();
  }

  private static boolean isForwarded(ProcessingResponse r) {
    return r.hasRequestHeaders();
  }

  private static String responseHeader(ProcessingResponse r, String name) {
    return r.getImmediateResponse().getHeaders().getSetHeadersList().stream().filter(o -> o.getHeader().getKey().equals(name))
        .map(o -> o.getHeader().getRawValue().toStringUtf8()).findFirst().orElse(null);
  }

  private Stream sendRequest(StandInCaller caller, String tenant, String subpath, List<ProcessingResponse> responses) throws Exception {
    Stream s = caller.open().send(request(tenant, subpath, 1, "id" + ids++));
    responses.add(s.next());
    return s;
  }

  private static ProcessingRequest responseHeaders() {
    return ProcessingRequest.newBuilder().setResponseHeaders(HttpHeaders.newBuilder().setEndOfStream(true)
        .setHeaders(HeaderMap.newBuilder().addHeaders(header(":status", "200")))).build();
  }

  @Test
  void concurrencyIsBoundedAndReleasedHoweverACallEnds() throws Exception {
    StandInCaller caller = start();
    List<ProcessingResponse> responses = new ArrayList<>();
    List<Stream> open = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      open.add(sendRequest(caller, "steppe", null, responses));
    }
    assertEquals(6, responses.stream().filter(QuotaTest::isForwarded).count(), "its ceiling");
    ProcessingResponse rejected = responses.get(7);
    assertEquals(429, rejected.getImmediateResponse().getStatus().getCode());
    assertEquals("quota", responseHeader(rejected, "x-ashdeck-reason"));
    responses.clear();
    sendRequest(caller, "agro", null, responses);
    assertTrue(isForwarded(responses.get(0)), "another tenant has its own ceiling");
    // One ends by a response, one by cancellation, one without a response: each releases its concurrency once.
    open.get(0).send(responseHeaders()).next();
    open.get(0).halfClose();
    open.get(1).cancel();
    open.get(2).halfClose();
    Rig.await("three calls ended", () -> rig.server.inFlightAttempts() == 4);
    responses.clear();
    for (int i = 0; i < 5; i++) {
      sendRequest(caller, "steppe", null, responses);
    }
    assertEquals(3, responses.stream().filter(QuotaTest::isForwarded).count());
  }

  /** A retry of a forwarded request is not a new request: it is neither charged nor rejected. */
  @Test
  void retriesAreNotRejected() throws Exception {
    StandInCaller caller = start();
    List<ProcessingResponse> responses = new ArrayList<>();
    List<Stream> open = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      open.add(sendRequest(caller, "steppe", null, responses));
    }
    open.get(0).cancel();
    Rig.await("the call ended", () -> rig.server.inFlightAttempts() == 5);
    sendRequest(caller, "steppe", null, responses); // Takes the released concurrency.
    Stream retry = caller.open().send(request("steppe", null, 2, "id0"));
    assertTrue(isForwarded(retry.next()), "its first attempt may have run, and a rejection would state that none has");
  }

  @Test
  void aGroupGetsItsShareOfItsTenantOnly() throws Exception {
    StandInCaller caller = start();
    List<ProcessingResponse> responses = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      Stream s = sendRequest(caller, "steppe", "group-1", responses);
      if (isForwarded(responses.get(i))) {
        s.send(responseHeaders()).next();
        s.halfClose();
        Rig.await("the call ended", () -> rig.server.inFlightAttempts() == 0);
      }
    }
    long forwarded = responses.stream().filter(QuotaTest::isForwarded).count();
    assertTrue(forwarded >= 20 && forwarded <= 50, "half of its tenant's quota, and what was idle: " + forwarded);
    assertTrue(responses.stream().filter(r -> !isForwarded(r)).allMatch(r -> responseHeader(r, "retry-after") != null),
        "each rejection has a retry-after header");
    responses.clear();
    for (int i = 0; i < 60; i++) {
      Stream s = sendRequest(caller, "agro", null, responses);
      if (isForwarded(responses.get(i))) {
        s.send(responseHeaders()).next();
        s.halfClose();
        Rig.await("the call ended", () -> rig.server.inFlightAttempts() == 0);
      }
    }
    assertEquals(60, responses.stream().filter(QuotaTest::isForwarded).count(), "lending does not reduce a guarantee");
  }

  @Test
  void aRestartKeepsTheUsage() throws Exception {
    StandInCaller caller = start();
    List<ProcessingResponse> responses = new ArrayList<>();
    for (int i = 0; i < 55; i++) {
      Stream s = sendRequest(caller, "steppe", null, responses);
      if (isForwarded(responses.get(i))) {
        s.send(responseHeaders()).next();
        s.halfClose();
        Rig.await("the call ended", () -> rig.server.inFlightAttempts() == 0);
      }
    }
    long before = responses.stream().filter(QuotaTest::isForwarded).count();
    assertTrue(before >= 40, "" + before);
    rig.server.stop();
    StandInCaller successor = start();
    responses.clear();
    for (int i = 0; i < 5; i++) {
      sendRequest(successor, "steppe", null, responses);
      TimeUnit.MILLISECONDS.sleep(1);
    }
    assertTrue(responses.stream().filter(QuotaTest::isForwarded).count() <= 50 - before + 1, before + " before, "
        + responses.stream().filter(QuotaTest::isForwarded).count() + " after");
  }

  /** The same tenants, with a quota of response bytes only. */
  private static final String BYTES_OUT_QUOTA = QUOTA.substring(0, QUOTA.indexOf("[[quota.lane]]")) + """
      [[quota.lane]]
      dimension = "bytes_out"
      window_ms = 600000
      total = 100000.0
      [[quota.node]]
      path = "steppe"
      guarantee = [50000]
      ceiling = [50000]
      [[quota.node]]
      path = "agro"
      guarantee = [50000]
      ceiling = [50000]
      """;

  private static ProcessingRequest responseHeaders(String length, boolean endOfStream) {
    return ProcessingRequest.newBuilder().setResponseHeaders(HttpHeaders.newBuilder().setEndOfStream(endOfStream)
        .setHeaders(HeaderMap.newBuilder().addHeaders(header(":status", "200")).addHeaders(header("content-length", length)))).build();
  }

  /** Sends up to {@code maxRequests} requests until one is rejected; the others get a response with the content length. Returns their number. */
  private int requestsUntilRejected(StandInCaller caller, String tenant, String length, boolean endOfStream, int maxRequests) throws Exception {
    for (int i = 0; i < maxRequests; i++) {
      List<ProcessingResponse> responses = new ArrayList<>();
      Stream s = sendRequest(caller, tenant, null, responses);
      if (!isForwarded(responses.get(0))) {
        assertEquals("quota", responseHeader(responses.get(0), "x-ashdeck-reason"));
        return i;
      }
      s.send(responseHeaders(length, endOfStream)).next();
      s.halfClose();
      Rig.await("the call ended", () -> rig.server.inFlightAttempts() == 0);
    }
    return maxRequests;
  }

  /** Response bytes are known only from the response: the first call is free, later ones are charged an estimate that is corrected. */
  @Test
  void responseBytesAreChargedOnceTheResponseIsKnown() throws Exception {
    StandInCaller caller = start(BYTES_OUT_QUOTA);
    assertEquals(5, requestsUntilRejected(caller, "steppe", "10000", false, 40), "five responses of 10,000 bytes use up its 50,000");
    assertEquals(40, requestsUntilRejected(caller, "agro", "100", false, 40), "another tenant has its own quota and is charged what it used");
  }

  /** A response without a body may still have a content length. */
  @Test
  void responsesWithoutABodyCostNoBytes() throws Exception {
    StandInCaller caller = start(BYTES_OUT_QUOTA);
    assertEquals(40, requestsUntilRejected(caller, "steppe", "10000", true, 40));
  }

  /** The estimate for a response that never arrived is refunded. */
  @Test
  void missingResponsesCostNoBytes() throws Exception {
    StandInCaller caller = start(BYTES_OUT_QUOTA);
    assertEquals(1, requestsUntilRejected(caller, "steppe", "10000", false, 1));
    for (int i = 0; i < 20; i++) {
      List<ProcessingResponse> responses = new ArrayList<>();
      Stream s = sendRequest(caller, "steppe", null, responses);
      assertTrue(isForwarded(responses.get(0)), "cancelled call " + i + " was charged");
      s.cancel();
      Rig.await("the call ended", () -> rig.server.inFlightAttempts() == 0);
    }
    assertEquals(4, requestsUntilRejected(caller, "steppe", "10000", false, 40));
  }

  /** An invalid or excessive content length does no harm: the charge is capped at a small multiple of the whole quota. */
  @Test
  void falseContentLengthsAreBounded() throws Exception {
    StandInCaller caller = start(BYTES_OUT_QUOTA);
    assertEquals(3, requestsUntilRejected(caller, "agro", "many", false, 3));
    assertEquals(1, requestsUntilRejected(caller, "steppe", "999999999999999999", false, 3), "a false length costs its own tenant only");
    assertEquals(3, requestsUntilRejected(caller, "agro", "100", false, 3));
  }
}
