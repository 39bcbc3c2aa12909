package cloverpulley.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.standins.StandInCaller;
import cloverpulley.standins.StandInDns;
import cloverpulley.standins.StandInProxy;
import cloverpulley.standins.StandInUpstream;
import cloverpulley.standins.StandInUpstream.Answer;
import cloverpulley.standins.StandInZone;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.SimpleResolver;
import org.xbill.DNS.Type;

/** Tests the packaged command in child processes. */
@Timeout(value = 3, unit = TimeUnit.MINUTES)
class CommandIT {

  private static final int TIMEOUT_S = 60;

  @TempDir
  Path folder;

  private final List<Process> processes = new ArrayList<>();

  @AfterEach
  void destroyProcesses() {
    processes.forEach(Process::destroyForcibly);
  }

  private Process start(String... args) throws IOException {
    List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-XX:TieredStopAtLevel=1", "-jar", System.getProperty("jar")));
    command.addAll(Arrays.asList(args));
    Process process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.to(errFile().toFile())).start();
    processes.add(process);
    return process;
  }

  private Path errFile() {
    return folder.resolve("err" + processes.size());
  }

  private int runForStatus(String... args) throws IOException, InterruptedException {
    Process process = start(args);
    process.getInputStream().readAllBytes();
    assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "the process exits");
    return process.exitValue();
  }

  private String lastErr() throws IOException {
    return Files.readString(folder.resolve("err" + (processes.size() - 1)));
  }

  /** Waits until the process listens and returns its address. */
  private static InetSocketAddress awaitListening(Process process) throws IOException {
    String line =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8)).readLine();
    assertNotNull(line, "the process listens");
    assertTrue(line.matches("(process|dns) listening on 127\\.0\\.0\\.1:\\d+"), line);
    return new InetSocketAddress("127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
  }

  private String config(int port, String... addresses) {
    StringBuilder text = new StringBuilder("[[class]]\nname = \"safe\"\neffect = \"safe\"\naim_ms = 2000\n"
        + "deadline_ms = 10000\n[processor]\nwarm_up_calls = 20\nlame_ms = 50\nlisten = \"127.0.0.1:" + port + "\"\n");
    for (int i = 0; i < addresses.length; i++) {
      text.append("[[fleet.server]]\nid = \"s").append(i).append("\"\naddress = \"").append(addresses[i]).append("\"\n");
    }
    return text.toString();
  }

  @Test
  void invalidCommandLinesExitWithTwoAndBadFilesWithOne() throws Exception {
    assertEquals(2, runForStatus("nonsense"));
    assertEquals(2, runForStatus("process"));
    assertEquals(1, runForStatus("check", folder.resolve("none").toString()));
    assertEquals(1, lastErr().lines().count(), lastErr());
    Path bad = Files.writeString(folder.resolve("bad.toml"), config(0, "127.0.0.1:1") + "odd = 1\n[processor.odd]\n");
    assertEquals(1, runForStatus("process", "--config", bad.toString()));
    assertTrue(lastErr().contains("bad.toml: line 13: fleet.server[0].odd: unknown key"), lastErr());
    assertEquals(0, runForStatus("check", "deploy/operators.toml"));
    assertEquals(0, runForStatus("--help"));
    for (String command : List.of("process", "dns", "dnssd", "check", "demo")) {
      assertEquals(0, runForStatus(command, "--help"));
    }
  }

  /** A file with only DNS is valid; a file without DNS does not start the command; the server forwards queries and exits with status 0. */
  @Test
  void dnsCommandForwardsAndExitsCleanly() throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (StandInDns server = new StandInDns(group, StandInDns.addresses("10.0.0.1"))) {
      Path file = Files.writeString(folder.resolve("dns.toml"), """
          [dns]
          listen = "127.0.0.1:0"
          lame_ms = 10
          [[dns.class]]
          name = "query"
          effect = "safe"
          aim_ms = 2000
          deadline_ms = 10000
          [[dns.fleet.server]]
          id = "d"
          address = "ADDRESS"
          """.replace("ADDRESS", server.hostPort()));
      assertEquals(0, runForStatus("check", file.toString()));
      assertEquals(1, runForStatus("process", "--config", file.toString()));
      Path without = Files.writeString(folder.resolve("without.toml"), config(0, "127.0.0.1:1"));
      assertEquals(1, runForStatus("dns", "--config", without.toString()));
      assertTrue(lastErr().contains("expected a table [dns]"), lastErr());
      Path bad = Files.writeString(folder.resolve("bad-dns.toml"), Files.readString(file) + "[dns.cache]\nmb = -1\nsize = 3\n");
      assertEquals(1, runForStatus("dns", "--config", bad.toString()));
      assertEquals(2, lastErr().lines().count(), lastErr());
      assertTrue(lastErr().contains("line 13: dns.cache.mb: expected a whole number"), lastErr());
      Process dns = start("dns", "--config", file.toString());
      SimpleResolver resolver = new SimpleResolver(awaitListening(dns));
      resolver.setTimeout(java.time.Duration.ofSeconds(TIMEOUT_S));
      Message m = resolver.send(Message.newQuery(Record.newRecord(Name.fromString("www.example."), Type.A, 1)));
      assertEquals("10.0.0.1", m.getSection(Section.ANSWER).get(0).rdataToString());
      sendSignal(dns, "-TERM");
      assertTrue(dns.waitFor(TIMEOUT_S, TimeUnit.SECONDS));
      assertEquals(0, dns.exitValue());
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  /** The process is discoverable while it serves. On SIGTERM it withdraws its registration first, while it still answers calls. */
  @Test
  void registrationIsWithdrawnBeforeShutdown() throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (StandInZone zone = new StandInZone(group, "example.")) {
      zone.server("q1", "h1.example.", 7001, "127.0.0.1", "started=b1");
      Path file = Files.writeString(folder.resolve("found.toml"), config(0).replace("lame_ms = 50", "lame_ms = 1500")
          + "[fleet.dnssd]\ndomains = [\"example\"]\n[[fleet.dnssd.resolver]]\naddress = \"" + zone.server().hostPort() + "\"\n"
          + "[publish]\nprimary = \"" + zone.server().hostPort() + "\"\nzone = \"example\"\ninstance = \"me\"\nservice = \"_proxy._tcp\"\n");
      Process process = start("process", "--config", file.toString());
      InetSocketAddress address = awaitListening(process);
      while (zone.recordsAt("_proxy._tcp.example.").isEmpty()) {
        assertTrue(process.isAlive(), lastErr());
        TimeUnit.MILLISECONDS.sleep(5);
      }
      assertTrue(zone.recordsAt("me._proxy._tcp.example.").toString().contains(" " + address.getPort() + " "),
          zone.recordsAt("me._proxy._tcp.example.").toString());
      try (StandInCaller caller = new StandInCaller(address)) {
        while (!destination(caller).equals("127.0.0.1:7001")) {
          assertTrue(process.isAlive(), lastErr());
        }
        sendSignal(process, "-TERM");
        while (!zone.recordsAt("_proxy._tcp.example.").isEmpty()) {
          TimeUnit.MILLISECONDS.sleep(1);
        }
        assertEquals("127.0.0.1:7001", destination(caller), "withdrawn but still serving");
      }
      assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS));
      assertEquals(0, process.exitValue(), lastErr());
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  @Test
  void portInUseIsReportedInOneLine() throws Exception {
    try (var socket = new java.net.ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
      Path file = Files.writeString(folder.resolve("o.toml"), config(socket.getLocalPort(), "127.0.0.1:1"));
      assertEquals(1, runForStatus("process", "--config", file.toString()));
      assertTrue(lastErr().contains("can't listen at"), lastErr());
    }
  }

  @Test
  void sighupReloadsTheListAndSigtermShutsDown() throws Exception {
    Path file = Files.writeString(folder.resolve("o.toml"), config(0, "127.0.0.1:7001"));
    Process process = start("process", "--config", file.toString());
    try (StandInCaller caller = new StandInCaller(awaitListening(process))) {
      assertEquals("127.0.0.1:7001", destination(caller));
      Files.writeString(file, config(0, "127.0.0.1:7002"));
      sendSignal(process, "-HUP");
      while (!destination(caller).equals("127.0.0.1:7002")) {
        assertTrue(process.isAlive());
      }
      Files.writeString(file, "nonsense");
      sendSignal(process, "-HUP");
      while (!lastErr().contains("reload rejected")) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
      assertEquals("127.0.0.1:7002", destination(caller));
      process.destroy();
      assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS));
      assertEquals(0, process.exitValue(), lastErr());
      assertTrue(lastErr().contains("stopped: calls="), lastErr());
    }
  }

  private static String destination(StandInCaller caller) throws InterruptedException {
    StandInCaller.Stream s = caller.open().send(StandInCaller.request("x-qos", "safe"));
    String destination = StandInCaller.sets(s.next(), "x-gateway-destination-endpoint");
    s.cancel();
    return destination == null ? "" : destination;
  }

  private static void sendSignal(Process process, String signal) throws IOException, InterruptedException {
    assertEquals(0, new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor());
  }

  /** SIGKILL with calls in progress, then a successor on the same port: every client receives exactly one answer. */
  @Test
  void successorTakesOverAfterSigkill() throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    try (StandInUpstream a = new StandInUpstream(group, r -> Answer.ok(50));
        StandInUpstream b = new StandInUpstream(group, r -> Answer.ok(50))) {
      Process first =
          start("process", "--config", Files.writeString(folder.resolve("o.toml"), config(0, a.address(), b.address())).toString());
      InetSocketAddress address = awaitListening(first);
      try (StandInProxy proxy = new StandInProxy(address, new StandInProxy.Config("x-gateway-destination-endpoint", 60, 100, true,
          1000, 10_000, cloverpulley.extproc.ExtProc.ProcessingMode.BodySendMode.NONE,
          cloverpulley.extproc.ExtProc.ProcessingMode.BodySendMode.NONE))) {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
          answers.add(send(http, proxy, "a" + i));
        }
        while (proxy.counters().destinations.get() == 0) {
          TimeUnit.MILLISECONDS.sleep(1);
        }
        first.destroyForcibly();
        for (int i = 0; i < 50; i++) {
          answers.add(send(http, proxy, "b" + i));
        }
        awaitListening(start("process", "--config", Files.writeString(folder.resolve("o2.toml"),
            config(address.getPort(), a.address(), b.address())).toString()));
        int served = 0;
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
          served += answer.get(TIMEOUT_S, TimeUnit.SECONDS).statusCode() == 200 ? 1 : 0;
        }
        assertEquals(150, served);
        assertEquals(150, proxy.counters().answers.get());
        assertEquals(0, proxy.counters().duplicateDecisions.get());
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static CompletableFuture<HttpResponse<String>> send(HttpClient http, StandInProxy proxy, String id) {
    return http.sendAsync(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + proxy.address().getPort() + "/"))
        .header("x-request-id", id).header("x-qos", "safe").build(), HttpResponse.BodyHandlers.ofString());
  }
}
