package cloverpulley.dns;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.names.TtlPolicy;
import cloverpulley.standins.StandInDns;
import cloverpulley.standins.StandInDns.ReceivedQuery;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xbill.DNS.Message;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Section;

/** Caching, query coalescing, prefetch and stale answers. */
@Timeout(value = 2 * Rig.TIMEOUT_S, unit = TimeUnit.SECONDS)
class CacheTest {

  private static final int STALE = 3;

  private final Rig rig = new Rig();

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  private Rig.Udp udp() throws Exception {
    return rig.keep(new Rig.Udp(rig.server.address()));
  }

  @Test
  void answersAreCachedForTheirTtlAndAge() throws Exception {
    StandInDns server = rig.dns(StandInDns.addresses("10.0.0.1"));
    rig.start("", "", server);
    Rig.Udp client = udp();
    for (int i = 0; i < 20; i++) {
      Message m = client.ask(Rig.question(i, "www.example."));
      long ttl = m.getSection(Section.ANSWER).get(0).getTTL();
      assertTrue(ttl <= 60 && ttl > 0, "TTL " + ttl);
    }
    assertEquals(1, server.seen().size());
    assertEquals(19, rig.server.onLoop(() -> rig.server.counts().cached));
  }

  @Test
  void nxdomainIsCachedForTheSoaMinimum() throws Exception {
    StandInDns server = rig.dns(a -> {
      Message m = a.answer(Rcode.NXDOMAIN);
      try {
        m.addRecord(StandInDns.record("example. 600 SOA ns.example. h.example. 1 2 3 4 30"), Section.AUTHORITY);
      } catch (java.io.IOException e) {
        throw new IllegalStateException(e);
      }
      a.reply(m);
    });
    rig.start("", "", server);
    for (int i = 0; i < 5; i++) {
      assertEquals(Rcode.NXDOMAIN, udp().ask(Rig.question(i, "no.example.")).getRcode());
    }
    assertEquals(1, server.seen().size());
  }

  @Test
  void uncacheableAnswersAreNotCached() throws Exception {
    AtomicInteger n = new AtomicInteger();
    StandInDns server = rig.dns(a -> a.reply(n.getAndIncrement() % 2 == 0 ? a.address(0, "10.0.0.1") : a.answer(Rcode.NXDOMAIN)));
    rig.start("", "", server);
    for (int i = 0; i < 6; i++) {
      udp().ask(Rig.question(i, "www.example."));
    }
    assertEquals(6, server.seen().size());
  }

  @Test
  void concurrentQueriesForOneQuestionAreCoalesced() throws Exception {
    List<ReceivedQuery> pending = java.util.Collections.synchronizedList(new ArrayList<>());
    StandInDns server = rig.dns(pending::add);
    rig.start("upstream.attempt_ms = 15000", "", server);
    List<Rig.Udp> clients = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      clients.add(udp().send(Rig.question(i, i % 2 == 0 ? "www.example." : "WWW.example.")));
    }
    Rig.await("all queries joined", () -> rig.server.onLoop(() -> rig.server.counts().joined) == 29);
    Rig.await("server got the query", () -> pending.size() == 1);
    pending.get(0).reply(pending.get(0).address(60, "10.0.0.1"));
    for (int i = 0; i < 30; i++) {
      Message m = clients.get(i).answer();
      assertEquals(i, m.getHeader().getID());
      assertEquals(i % 2 == 0 ? "www.example." : "WWW.example.", m.getQuestion().getName().toString());
    }
    assertEquals(1, server.seen().size());
  }

  /** A query that joined an in-flight query later must not fail when the first one's deadline passes. */
  @Test
  void joinedQueryKeepsItsOwnDeadline() throws Exception {
    AtomicBoolean answering = new AtomicBoolean();
    StandInDns server = rig.dns(a -> {
      if (answering.get()) {
        a.reply(a.address(60, "10.0.0.1"));
      }
    });
    rig.start("upstream.attempt_ms = 15000", "", server);
    Rig.Udp first = udp().send(Rig.question(1, "www.example.", org.xbill.DNS.Type.MX));
    Rig.await("first query forwarded", () -> server.seen().size() == 1);
    TimeUnit.MILLISECONDS.sleep(200); // A third of the first query's deadline; the second query's deadline is as much later.
    Rig.Udp second = udp().send(Rig.question(2, "www.example.", org.xbill.DNS.Type.MX));
    Rig.await("second query joined", () -> rig.server.onLoop(() -> rig.server.counts().joined) == 1);
    answering.set(true);
    assertEquals(Rcode.SERVFAIL, first.answer().getRcode());
    Message m = second.answer();
    assertEquals(2, m.getHeader().getID());
    assertEquals(2L, rig.server.onLoop(() -> rig.server.counts().flights), "the second query was started again");
    rig.awaitIdle();
  }

  /** With all servers unresponsive, cached names get stale answers marked as such and others SERVFAIL in time, until the servers recover. */
  @Test
  void staleAnswersAreServedDuringAnOutage() throws Exception {
    AtomicBoolean outage = new AtomicBoolean();
    StandInDns server = rig.dns(a -> {
      if (!outage.get()) {
        a.reply(a.address(1, "10.0.0.1"));
      }
    });
    rig.start("upstream.attempt_ms = 100\ncache.stale_wait_ms = 10000", "", server);
    assertEquals("10.0.0.1", Rig.text(udp().ask(Rig.question(1, "www.example.", org.xbill.DNS.Type.A))));
    outage.set(true);
    Message[] stale = new Message[1];
    Rig.Udp client = udp();
    Rig.await("stale answer", () -> {
      try {
        Message m = client.ask(Rig.edns(Rig.question(2, "www.example."), 1232, 0));
        stale[0] = m;
        return Rig.error(m) == STALE;
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    });
    assertEquals("10.0.0.1", Rig.text(stale[0]));
    assertEquals(1, stale[0].getSection(Section.ANSWER).get(0).getTTL(), "stale TTL is capped at the original TTL");
    assertEquals(Rcode.SERVFAIL, udp().ask(Rig.question(3, "other.example.", org.xbill.DNS.Type.MX)).getRcode());
    outage.set(false);
    Rig.await("fresh answer after recovery", () -> {
      try {
        return Rig.error(client.ask(Rig.edns(Rig.question(4, "www.example."), 1232, 0))) == -1;
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    });
    rig.awaitIdle();
  }

  /** With a slow server, clients get the stale answer after a while, and the in-flight query still refreshes the cache. */
  @Test
  void staleAnswerIsServedWhileTheServerIsSlow() throws Exception {
    List<ReceivedQuery> pending = java.util.Collections.synchronizedList(new ArrayList<>());
    AtomicBoolean slow = new AtomicBoolean();
    StandInDns server = rig.dns(a -> {
      if (slow.get()) {
        pending.add(a);
      } else {
        a.reply(a.address(1, "10.0.0.1"));
      }
    });
    rig.start("upstream.attempt_ms = 15000\ncache.stale_wait_ms = 100", "", server);
    udp().ask(Rig.question(1, "www.example."));
    slow.set(true);
    Rig.Udp client = udp();
    Rig.await("stale answer", () -> {
      try {
        return Rig.error(client.ask(Rig.edns(Rig.question(2, "www.example."), 1232, 0))) == STALE;
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    });
    pending.get(0).reply(pending.get(0).address(60, "10.0.0.2"));
    Rig.await("new answer cached", () -> {
      try {
        return Rig.text(client.ask(Rig.question(3, "www.example."))).equals("10.0.0.2");
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    });
  }

  @Test
  void popularNamesArePrefetched() throws Exception {
    StandInDns server = rig.dns(a -> a.reply(a.address(2, "10.0.0.1")));
    rig.start("cache.prefetch_part = 0.9\ncache.prefetch_hits = 2\nlimits.udp_per_prefix_per_s = 0", "", server);
    Rig.Udp client = udp();
    Rig.await("name prefetched", () -> {
      try {
        client.ask(Rig.question(1, "www.example."));
        return rig.server.onLoop(() -> rig.server.counts().prefetched) >= 2;
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    });
    rig.awaitIdle();
    assertEquals(server.seen().size() - 1L, rig.server.onLoop(() -> rig.server.counts().prefetched), "all but the first query were prefetches");
  }

  /** The cache stays within its limit in bytes, whatever is stored. */
  @Test
  void cacheStaysWithinItsSizeLimit() throws Exception {
    Cache cache = new Cache(100_000, new TtlPolicy(new TtlPolicy.Config(1000, 1000, 1000, 0.1, 3)));
    for (int i = 0; i < 5000; i++) {
      Message m = Rig.question(1, "n" + i + ".example.");
      m.addRecord(StandInDns.record("n" + i + ".example. 600 A 10.0.0.1"), Section.ANSWER);
      cloverpulley.dns.wire.Message read = cloverpulley.dns.wire.Message.read(m.toWire(512));
      cache.put(new Cache.Key(read.question(), false, false, true), ResponseTemplate.of(read), read.ttl(), false, i);
    }
    assertTrue(cache.weight() <= 100_000 && cache.weight() > 50_000, "bytes " + cache.weight());
    assertTrue(cache.size() < 300, "entries " + cache.size());
  }
}
