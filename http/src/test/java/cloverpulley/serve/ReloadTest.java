package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.EndpointUpdate;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.State;
import cloverpulley.Balancer.Watch;
import cloverpulley.discovery.ListDecoder;
import cloverpulley.engine.Clock;
import cloverpulley.engine.Fleet;
import cloverpulley.engine.ServerList;
import cloverpulley.serve.Rig.Client;
import cloverpulley.serve.Rig.Script;
import cloverpulley.wire.WireException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Reloads of the configuration while the balancer serves, and endpoint lists that must be ignored. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class ReloadTest {

  private static final String A = Rig.member("s-a", "127.0.0.1:1", "ready");
  private static final String B = Rig.member("s-b", "127.0.0.1:2", "ready");

  private static StubServer discovery(String... lines) throws Exception {
    return new StubServer(c -> {
      c.next();
      for (int i = 0; i < lines.length; i++) {
        c.write(i == 0 ? DiscoveryFixture.watch(lines[i]) : DiscoveryFixture.chunk(lines[i]));
      }
      c.ends();
    });
  }

  private static Script watching() {
    return new Script((event, out) -> {
      if (event instanceof EndpointUpdate n && n.kind() == ListKind.CACHED) {
        out.accept(new Watch(true));
      }
    });
  }

  @Test
  void discoveryMovesToNewAddressAtOnce() throws Exception {
    Script module = watching();
    try (StubServer old = discovery(Rig.list(2, true, A)); StubServer fresh = discovery(Rig.list(3, true, A, B));
        Rig rig = new Rig(Rig.config(old.address(), Rig.list(1, true, A)), module)) {
      module.next(EndpointUpdate.class);
      assertEquals(1, module.next(EndpointUpdate.class).endpoints().size());
      rig.server.reload(() -> Rig.config(fresh.address(), Rig.list(1, true, A)));
      EndpointUpdate update = module.next(EndpointUpdate.class);
      assertEquals(ListKind.FULL, update.kind());
      assertEquals(2, update.endpoints().size());
      assertTrue(fresh.requests.take().startsWith("GET /v1/servers?follow=1&since=2 HTTP/1.1\r\n"));
      assertTrue(old.connections.take().awaitEnd(), "the watch at the old address is closed");
    }
  }

  /** Guards against an invalid file that stops the balancer or leaves it without discovery. */
  @Test
  void invalidFileChangesNothing() throws Exception {
    Script module = watching();
    try (StubServer discovery = discovery(Rig.list(2, true, A));
        Rig rig = new Rig(Rig.config(discovery.address(), Rig.list(1, true, A)), module)) {
      module.next(EndpointUpdate.class);
      module.next(EndpointUpdate.class);
      rig.server.reload(() -> Config.parse("{\"name\":", Map.of()));
      rig.server.reload(() -> {
        throw new WireException("on purpose: this line belongs to a test");
      });
      try (Client client = rig.client()) {
        assertTrue(client.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").startsWith("HTTP/1.1 200 "));
      }
      assertEquals(1, discovery.connections.size(), "the watch is still open");
    }
  }

  /** Guards against an environment that still has the values of the file at the start. */
  @Test
  void fileTakesPrecedenceOverEnvironment() throws Exception {
    String text = Rig.text("127.0.0.1:8501", Rig.list(1, true, A), "on_request", 200, 1024, "");
    Map<String, String> environment = Map.of("ROUTER_DISCOVERY", "127.0.0.1:8500", "ROUTER_NAME", "n7");
    assertEquals(8501, Config.parse(text, environment).discovery().getPort());
    assertEquals("n7", Config.parse(text.replace("\"name\":\"n0\",", ""), environment).name());
  }

  private static List<Integer> sizesAfterUpdates(ServerList... lists) {
    Fleet fleet = new Fleet(new Clock());
    return Arrays.stream(lists).map(l -> {
      fleet.update(l.complete() ? ListKind.FULL : ListKind.DELTA, l);
      return fleet.cachedUpdate().endpoints().size();
    }).toList();
  }

  private static ServerList list(int revision, boolean complete, String... ids) throws Exception {
    List<ServerList.Server> members = new ArrayList<>();
    for (String id : ids) {
      members.add(new ServerList.Server(id, ListDecoder.address("a", "127.0.0.1:1"), "a", 0, State.READY, 1, 0));
    }
    return new ServerList(revision, complete, members);
  }

  /** Guards against a lagging discovery that brings back removed servers. */
  @Test
  void outdatedListIsIgnored() throws Exception {
    assertEquals(List.of(1, 1, 1, 2), sizesAfterUpdates(list(5, true, "a"), list(4, true, "a", "b"), list(4, false, "c"),
        list(6, false, "d")));
  }

  /** Guards against a discovery that has lost its list: without endpoints no request can be served. */
  @Test
  void emptyListIsIgnored() throws Exception {
    assertEquals(List.of(2, 2, 1), sizesAfterUpdates(list(5, true, "a", "b"), list(6, true), list(7, true, "a")));
  }
}
