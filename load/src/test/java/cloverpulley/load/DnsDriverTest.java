package cloverpulley.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.config.ConfigFile;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.load.Driver.Outcome;
import cloverpulley.standins.StandInDns;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;

/** Runs the DNS driver against a scripted server: the messages it sends, and how each outcome is counted. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class DnsDriverTest {

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static Plan plan(String protocol, StandInDns server, String more) throws InvalidConfigException {
    return ConfigFile.parse("test", """
        [load]
        seed = 5
        rate = 200
        seconds = 1
        process = "constant"
        [[load.class]]
        name = "ask"
        effect = "safe"
        share = 8
        deadline_ms = 5000
        [[load.class]]
        name = "change"
        effect = "unsafe"
        share = 1
        deadline_ms = 5000
        [[load.class]]
        name = "tell"
        effect = "keyed"
        share = 1
        deadline_ms = 5000
        """ + more + "[load.target]\nprotocol = \"" + protocol + "\"\nconnections = 3\ndomain = \"zone.test\"\naddress = \""
        + server.hostPort() + "\"\n", Plan::read);
  }

  @ParameterizedTest
  @ValueSource(strings = {"dns_udp", "dns_tcp"})
  void allMessageTypesAreSentAndServed(String protocol) throws Exception {
    try (StandInDns server = new StandInDns(group, a -> {
      if (a.message().getHeader().getOpcode() == Opcode.QUERY) {
        a.reply(a.address(0, "10.0.0.1"));
      } else {
        a.reply(a.answer(0));
      }
    })) {
      Results r = LoadRun.run(plan(protocol, server, ""), x -> { });
      assertEquals(r.all.requests, r.all.outcomes[Outcome.SERVED.ordinal()]);
      assertEquals(r.all.requests, server.seen().size());
      assertEquals(0, r.duplicateResponses);
      Set<Integer> opcodes = new HashSet<>();
      server.seen().forEach(s -> opcodes.add(s.opcode()));
      assertEquals(Set.of(Opcode.QUERY, Opcode.UPDATE, Opcode.NOTIFY), opcodes);
      assertTrue(server.seen().stream().allMatch(s -> s.name().endsWith("zone.test.") && s.tcp() == protocol.equals("dns_tcp")));
    }
  }

  @Test
  void responseCodesMapToOutcomes() throws Exception {
    try (StandInDns server = new StandInDns(group, a -> {
      switch (a.id() % 5) {
        case 0 -> a.reply(a.answer(Rcode.SERVFAIL));
        case 1 -> a.reply(a.answer(Rcode.REFUSED));
        case 2 -> a.reply(a.answer(Rcode.NXDOMAIN));
        case 3 -> {
          a.reply(a.answer(0));
          a.reply(a.answer(0));
        }
        default -> { }
      }
    })) {
      Results r = LoadRun.run(plan("dns_udp", server, "[load.clients]\npatience_least = 0.02\n"), x -> { });
      assertEquals(r.all.requests, r.all.outcomes[Outcome.SERVED.ordinal()] + r.all.outcomes[Outcome.REFUSED.ordinal()]
          + r.all.outcomes[Outcome.FAILED.ordinal()] + r.all.outcomes[Outcome.TIMEOUT.ordinal()]);
      assertTrue(r.all.outcomes[Outcome.REFUSED.ordinal()] > 0 && r.all.outcomes[Outcome.FAILED.ordinal()] > 0
          && r.all.outcomes[Outcome.TIMEOUT.ordinal()] > 0);
      assertTrue(r.duplicateResponses > 0, "a second response is counted");
    }
  }

  @Test
  void lostConnectionIsReopened() throws Exception {
    try (StandInDns server = new StandInDns(group, a -> {
      if (a.id() % 20 == 0) {
        a.reset();
      } else {
        a.reply(a.answer(0));
      }
    })) {
      Results r = LoadRun.run(plan("dns_tcp", server, ""), x -> { });
      assertTrue(r.all.outcomes[Outcome.BROKEN.ordinal()] > 0);
      assertTrue(r.all.outcomes[Outcome.SERVED.ordinal()] > r.all.requests / 2);
    }
  }

  @Test
  void retryDelayIsReadFromARefusedResponse() {
    byte[] text = "................over_rate, come back in 750 ms".getBytes();
    assertEquals(750, DnsDriver.retryAfterMillis(text));
    assertEquals(0, DnsDriver.retryAfterMillis("come back in soon ms".getBytes()));
    assertEquals(0, DnsDriver.retryAfterMillis(new byte[12]));
  }

  @Test
  void invalidDomainIsRejected() {
    assertThrows(InvalidConfigException.class, () -> ConfigFile.parse("test", "[load]\n[[load.class]]\nname = \"a\"\neffect = \"safe\"\n"
        + "[load.target]\naddress = \"127.0.0.1:1\"\ndomain = \"a..b\"\n", Plan::read));
  }
}
