package cloverpulley.dns;

import cloverpulley.standins.StandInDns;
import cloverpulley.standins.StandInDns.ReceivedQuery;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The stand-in DNS server that other tests rely on. */
@Timeout(value = 2 * Rig.TIMEOUT_S, unit = TimeUnit.SECONDS)
class StandInDnsTest {

  private final Rig rig = new Rig();

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  @Test
  void aConnectionWithSeveralQueriesCanBeResetForEachOfThem() throws Exception {
    BlockingQueue<ReceivedQuery> received = new LinkedBlockingQueue<>();
    StandInDns server = rig.dns(received::add);
    Rig.Tcp client = rig.keep(new Rig.Tcp(server.address()));
    client.send(Rig.question(1, "a.example.")).send(Rig.question(2, "b.example."));
    ReceivedQuery first = received.take();
    ReceivedQuery second = received.take();
    first.reset();
    Rig.await("the close", () -> server.connections() == 0);
    Assertions.assertDoesNotThrow(second::reset);
  }
}
