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

/** Quotas before the module's line, over sockets: who is refused and how, what is given back, what a restart knows. */
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
  Path folder;

  private final Rig rig = new Rig();
  private int ids;

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  private record Told(Rig.Told told, QuotaConfig quota) {
    static Told read(Section file) {
      return new Told(new Rig.Told(ServiceSection.read(file), ProcessorConfig.read(file.table("processor"), 1),
          FleetSource.read(file.table("fleet"))), QuotaConfig.read(file.table("quota")));
    }
  }

  private StandInCaller start() throws Exception {
    return start(QUOTA.replace("FILE", folder.resolve("q").toString()));
  }

  private StandInCaller start(String quota) throws Exception {
    Told t = ConfigFile.parse("test", Rig.CLASSES + quota + "[processor]\nlisten = \"127.0.0.1:0\"\nlame_ms = 0\n" + Rig.servers("127.0.0.1:7001", "127.0.0.1:7002"), Told::read);
    rig.server = rig.keep(ProcessorServer.start(t.told.processor(), t.told.settings(), t.told.fleet(), 7, Recorder.NONE, t.quota));
    return rig.caller();
  }

  private static HeaderValue header(String name, String value) {
    return HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value)).build();
  }

  private ProcessingRequest request(String tenant, String below, int attempt, String id) {
    HeaderMap.Builder h = HeaderMap.newBuilder().addHeaders(header(":method", "GET")).addHeaders(header(":path", "/"))
        .addHeaders(header("x-request-id", id)).addHeaders(header("x-qos", "safe"))
        .addHeaders(header("x-envoy-attempt-count", "" + attempt)).addHeaders(header("x-customer", tenant));
    if (below != null) {
      h.addHeaders(header("x-quota-path", below));
    }
    return ProcessingRequest.newBuilder().setRequestHeaders(HttpHeaders.newBuilder().setHeaders(h).setEndOfStream(true)).build();
  }

  private static boolean sent(ProcessingResponse r) {
    return r.hasRequestHeaders();
  }

  private static String set(ProcessingResponse r, String name) {
    return r.getImmediateResponse().getHeaders().getSetHeadersList().stream().filter(o -> o.getHeader().getKey().equals(name))
        .map(o -> o.getHeader().getRawValue().toStringUtf8()).findFirst().orElse(null);
  }

  private Stream ask(StandInCaller caller, String tenant, String below, List<ProcessingResponse> into) throws Exception {
    Stream s = caller.open().send(request(tenant, below, 1, "id" + ids++));
    into.add(s.next());
    return s;
  }

  private static ProcessingRequest answer() {
    return ProcessingRequest.newBuilder().setResponseHeaders(HttpHeaders.newBuilder().setEndOfStream(true)
        .setHeaders(HeaderMap.newBuilder().addHeaders(header(":status", "200")))).build();
  }

  @Test
  void inFlightIsBoundedAndGivenBackWhateverTheEnd() throws Exception {
    StandInCaller caller = start();
    List<ProcessingResponse> got = new ArrayList<>();
    List<Stream> open = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      open.add(ask(caller, "steppe", null, got));
    }
    assertEquals(6, got.stream().filter(QuotaTest::sent).count(), "its ceiling");
    ProcessingResponse refused = got.get(7);
    assertEquals(429, refused.getImmediateResponse().getStatus().getCode());
    assertEquals("quota", set(refused, "x-ashdeck-reason"));
    got.clear();
    ask(caller, "agro", null, got);
    assertTrue(sent(got.get(0)), "another's ceiling is its own");
    // One by its answer, one by a hang-up, one by a reset: each gives its place back once.
    open.get(0).send(answer()).next();
    open.get(0).halfClose();
    open.get(1).cancel();
    open.get(2).halfClose();
    Rig.await("three have ended", () -> rig.server.inFlightAttempts() == 4);
    got.clear();
    for (int i = 0; i < 5; i++) {
      ask(caller, "steppe", null, got);
    }
    assertEquals(3, got.stream().filter(QuotaTest::sent).count());
  }

  /** A repeat of what was sent is no new request: it is neither charged nor refused. */
  @Test
  void aRepeatIsNotRefused() throws Exception {
    StandInCaller caller = start();
    List<ProcessingResponse> got = new ArrayList<>();
    List<Stream> open = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      open.add(ask(caller, "steppe", null, got));
    }
    open.get(0).cancel();
    Rig.await("it has ended", () -> rig.server.inFlightAttempts() == 5);
    ask(caller, "steppe", null, got); // Takes the place that is free.
    Stream again = caller.open().send(request("steppe", null, 2, "id0"));
    assertTrue(sent(again.next()), "its first may have run: it is not for the quota to say that nothing has");
  }

  @Test
  void aGroupHasItsPartOfItsPartnersAndNobodyElses() throws Exception {
    StandInCaller caller = start();
    List<ProcessingResponse> got = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      Stream s = ask(caller, "steppe", "group-1", got);
      if (sent(got.get(i))) {
        s.send(answer()).next();
        s.halfClose();
        Rig.await("it has ended", () -> rig.server.inFlightAttempts() == 0);
      }
    }
    long given = got.stream().filter(QuotaTest::sent).count();
    assertTrue(given >= 20 && given <= 50, "its half of its partner's, and what was idle: " + given);
    assertTrue(got.stream().filter(r -> !sent(r)).allMatch(r -> set(r, "retry-after") != null), "each is told when to return");
    got.clear();
    for (int i = 0; i < 60; i++) {
      Stream s = ask(caller, "agro", null, got);
      if (sent(got.get(i))) {
        s.send(answer()).next();
        s.halfClose();
        Rig.await("it has ended", () -> rig.server.inFlightAttempts() == 0);
      }
    }
    assertEquals(60, got.stream().filter(QuotaTest::sent).count(), "a guarantee is not touched by what was lent");
  }

  @Test
  void aRestartGivesNoSecondHelping() throws Exception {
    StandInCaller caller = start();
    List<ProcessingResponse> got = new ArrayList<>();
    for (int i = 0; i < 55; i++) {
      Stream s = ask(caller, "steppe", null, got);
      if (sent(got.get(i))) {
        s.send(answer()).next();
        s.halfClose();
        Rig.await("it has ended", () -> rig.server.inFlightAttempts() == 0);
      }
    }
    long before = got.stream().filter(QuotaTest::sent).count();
    assertTrue(before >= 40, "" + before);
    rig.server.stop();
    StandInCaller next = start();
    got.clear();
    for (int i = 0; i < 5; i++) {
      ask(next, "steppe", null, got);
      TimeUnit.MILLISECONDS.sleep(1);
    }
    assertTrue(got.stream().filter(QuotaTest::sent).count() <= 50 - before + 1, before + " before, " + got.stream().filter(QuotaTest::sent)
        .count() + " after");
  }

  /** The same partners, with octets out alone. */
  private static final String OCTETS = QUOTA.substring(0, QUOTA.indexOf("[[quota.lane]]")) + """
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

  private static ProcessingRequest answer(String length, boolean over) {
    return ProcessingRequest.newBuilder().setResponseHeaders(HttpHeaders.newBuilder().setEndOfStream(over)
        .setHeaders(HeaderMap.newBuilder().addHeaders(header(":status", "200")).addHeaders(header("content-length", length)))).build();
  }

  /** Asks until refused or so often; each one sent is answered with a head that states the length. */
  private int answeredWith(StandInCaller caller, String tenant, String length, boolean over, int most) throws Exception {
    for (int i = 0; i < most; i++) {
      List<ProcessingResponse> got = new ArrayList<>();
      Stream s = ask(caller, tenant, null, got);
      if (!sent(got.get(0))) {
        assertEquals("quota", set(got.get(0), "x-ashdeck-reason"));
        return i;
      }
      s.send(answer(length, over)).next();
      s.halfClose();
      Rig.await("it has ended", () -> rig.server.inFlightAttempts() == 0);
    }
    return most;
  }

  /** Octets out are known with the answer alone: the first is free, the next are charged as expected and set right. */
  @Test
  void octetsOutAreChargedOnceTheAnswerIsKnown() throws Exception {
    StandInCaller caller = start(OCTETS);
    assertEquals(5, answeredWith(caller, "steppe", "10000", false, 40), "five answers of 10,000 are its 50,000");
    assertEquals(40, answeredWith(caller, "agro", "100", false, 40), "another partner has its own, and is charged what it took");
  }

  /** The head of an answer without a body states what the body would have had. */
  @Test
  void whatHasNoBodyCostsNoOctets() throws Exception {
    StandInCaller caller = start(OCTETS);
    assertEquals(40, answeredWith(caller, "steppe", "10000", true, 40));
  }

  /** What was expected of answers that never came is given back. */
  @Test
  void anAnswerThatNeverCameCostsNoOctets() throws Exception {
    StandInCaller caller = start(OCTETS);
    assertEquals(1, answeredWith(caller, "steppe", "10000", false, 1));
    for (int i = 0; i < 20; i++) {
      List<ProcessingResponse> got = new ArrayList<>();
      Stream s = ask(caller, "steppe", null, got);
      assertTrue(sent(got.get(0)), "hang-up " + i + " was charged");
      s.cancel();
      Rig.await("it has ended", () -> rig.server.inFlightAttempts() == 0);
    }
    assertEquals(4, answeredWith(caller, "steppe", "10000", false, 40));
  }

  /** A length that is no number, or beyond all there is, spoils nothing: it is charged as some times all there is at most. */
  @Test
  void lengthsThatLieAreBounded() throws Exception {
    StandInCaller caller = start(OCTETS);
    assertEquals(3, answeredWith(caller, "agro", "many", false, 3));
    assertEquals(1, answeredWith(caller, "steppe", "999999999999999999", false, 3), "a lie about its own answers harms itself");
    assertEquals(3, answeredWith(caller, "agro", "100", false, 3));
  }
}
