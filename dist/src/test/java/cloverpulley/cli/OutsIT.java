package cloverpulley.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.agree.AgreeClient;
import cloverpulley.agree.AgreeConfig.VoterAddress;
import cloverpulley.outs.Command;
import cloverpulley.outs.Phase;
import cloverpulley.outs.Reply;
import cloverpulley.outs.ResultCode;
import cloverpulley.standins.StandInUpstream.Answer;
import cloverpulley.standins.faults.Instance;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A fleet of five balancers with a shared disruption ledger under faults. Disruptions are checked by the requests that reach the upstreams
 * and by the replies to the requesters, never by the ledger's own state.
 */
@Timeout(value = 4, unit = TimeUnit.MINUTES)
class OutsIT extends OutsRig {

  /** Sixty concurrent permit requests for the three members of a dedup group, through all voters, each sent twice: one grant, applied by all. */
  @Test
  void concurrentRequestsGetOnePermit() throws Exception {
    List<Future<Reply>> replies = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      int n = i;
      replies.add(executor.submit(() -> requestPermit(new AgreeClient(List.of(new VoterAddress("b" + n % 3, null, fleet.api(n % 3)),
          new VoterAddress("b" + (n + 1) % 3, null, fleet.api((n + 1) % 3)), new VoterAddress("b" + (n + 2) % 3, null, fleet.api((n + 2) % 3)))),
          "a" + n / 2, "s" + n / 2 % 3, 0)));
    }
    List<Long> epochs = new ArrayList<>();
    for (Future<Reply> f : replies) {
      if (f.get().isSuccess()) {
        epochs.add(f.get().epoch());
      }
    }
    assertEquals(1, epochs.stream().distinct().count(), "one permit, however often it was reported: " + epochs);
    assertEquals(1, outSince.size(), outSince::toString);
    String member = outSince.keySet().iterator().next();
    await("all have acted on it", () -> client.laggingInstances(epochs.get(0)).isEmpty());
    // The clients continue past the grace period; requests are counted at the upstream.
    long until = outSince.get(member) + 2 * DRAIN_GRACE_NANOS;
    await("time for late requests", () -> System.nanoTime() > until);
    assertNoRequestsAfterGrace(member);
    assertEquals(0, Main.run("outs", "why", member, "--config", fleet.config(0).toString()));
    assertEquals(1, Main.run("outs", "ask", member, "--why", "again", "--config", fleet.config(1).toString()), "it is out already");
    markReturned(member);
    await("it is observed to be warm", () -> !fullState().outs().containsKey(member));
    long before = upstreams.get(member).seen().size();
    await("it serves again", () -> upstreams.get(member).seen().size() > before);
    assertNoRequestLost();
  }

  /** The leader that granted a permit is killed, paused or isolated: the next leader knows of the permit, and an isolated one grants nothing. */
  @Test
  void leaderIsKilledPausedOrIsolated() throws Exception {
    assertEquals(ResultCode.GRANTED, requestPermit(client, "k", "s0", 0).word());
    int killed = awaitLeader();
    long from = System.nanoTime();
    fleet.instances().get(killed).kill();
    assertEquals("cell:0", requestPermit(client, "k2", "s1", 0).binding(), "the next leader knows of the permit");
    System.out.printf("leader killed: the next one answers after %.2f s%n", (System.nanoTime() - from) / 1e9);
    assertEquals(ResultCode.SAME_AGAIN, requestPermit(client, "k", "s0", 0).word(), "and which request it was granted for");
    await("the dead balancer counts as out", () -> fullState().members().get("b" + killed).unwell());
    assertEquals("balancers", requestPermit(client, "k3", "b4", 0).binding(), "it uses up the budget of the balancers, although it has no permit");
    fleet.instances().get(killed).start();
    asking.addClient(fleet.instances().get(killed));
    await("it is back", () -> !fullState().members().get("b" + killed).unwell());

    int paused = awaitLeader();
    fleet.instances().get(paused).pause();
    assertEquals(ResultCode.LIMIT, requestPermit(client, "p", "s2", 0).word());
    assertEquals(ResultCode.GRANTED, requestPermit(client, "p2", "s3", 0).word());
    fleet.instances().get(paused).resume();
    try {
      assertEquals(ResultCode.LIMIT, clientOf(paused).command(new Command.Ask("p3", "s4", "it", "", 0, false), 2000).word(),
          "it is no longer the leader");
    } catch (AgreeClient.NoMajorityException e) {
      assertTrue(e.getMessage().contains("421"), e::getMessage); // It knows that it is not the leader.
    }
    assertFalse(fullState().outs().containsKey("s4"));
    await("it is back", () -> !fullState().members().get("b" + paused).unwell());

    markReturned("s3");
    outSince.remove("s3");
    await("s3 is warm", () -> !fullState().outs().containsKey("s3"));
    int isolated = awaitLeader();
    fleet.isolate(isolated, true);
    assertThrows(AgreeClient.NoMajorityException.class, () -> clientOf(isolated).command(new Command.Ask("c", "s5", "it", "", 0, false), 4000),
        "an isolated leader grants nothing");
    List<VoterAddress> others = new ArrayList<>();
    for (int i = 0; i < VOTERS; i++) {
      if (i != isolated) {
        others.add(new VoterAddress("b" + i, null, fleet.api(i)));
      }
    }
    assertEquals(ResultCode.GRANTED, requestPermit(new AgreeClient(others), "c2", "s4", 0).word());
    fleet.isolate(isolated, false);
    await("the unanswered request took effect at most once", () -> clientOf(isolated).fullState().outs().containsKey("s4"));
    assertTrue(fullState().outs().keySet().stream().filter(s -> s.compareTo("s3") >= 0).count() <= 1, () -> "cell:1 has a budget of one");
    long deadline = System.nanoTime() + 2 * DRAIN_GRACE_NANOS;
    await("time for late requests", () -> System.nanoTime() > deadline);
    assertNoRequestsAfterGrace("s0");
    assertNoRequestsAfterGrace("s4");
    assertNoRequestLost();
  }

  /** Halts and permits survive a kill of all voters at once; a voter with a corrupt journal serves without voting. */
  @Test
  void allVotersRestartAndOneJournalIsCorrupt() throws Exception {
    assertEquals(ResultCode.GRANTED, requestPermit(client, "r", "s0", 0).word());
    assertEquals(0, Main.run("outs", "halt", "--why", "storm", "--config", fleet.config(2).toString()));
    for (Instance i : fleet.instances()) {
      i.kill();
    }
    Path corrupted = folder.resolve("b2.ledger");
    byte[] bytes = Files.readAllBytes(corrupted);
    bytes[bytes.length / 2] ^= 1;
    Files.write(corrupted, bytes, StandardOpenOption.TRUNCATE_EXISTING);
    long requestsBefore = upstreams.get("s0").seen().size();
    for (Instance i : fleet.instances()) {
      i.start();
    }
    for (Instance i : fleet.instances()) {
      asking.addClient(i);
    }
    assertTrue(fleet.instances().get(2).log().contains("does not vote"), "it logs that it does not vote");
    assertEquals(ResultCode.HALTED, requestPermit(client, "r2", "s3", 0).word());
    assertEquals(Phase.GRANTED, fullState().outs().get("s0").phase());
    assertEquals(1, Main.run("outs", "resume", "another", "--config", fleet.config(0).toString()));
    assertEquals(0, Main.run("outs", "resume", "by-hand", "--config", fleet.config(0).toString()));
    assertEquals(ResultCode.GRANTED, requestPermit(client, "r3", "s3", 0).word(), "two of three are a majority");
    int before = asking.answered();
    await("clients are served", () -> asking.answered() > before + 500);
    assertEquals(requestsBefore, upstreams.get("s0").seen().size(), "a starting balancer syncs the ledger before it serves clients");

    int other = awaitLeader() == 0 ? 1 : 0;
    fleet.instances().get(other).kill();
    assertThrows(AgreeClient.NoMajorityException.class, () -> client.command(new Command.Ask("r4", "s1", "it", "", 0, false), 3000));
    int served = asking.answered();
    await("traffic continues without a majority", () -> asking.answered() > served + 300);
    assertEquals(requestsBefore, upstreams.get("s0").seen().size(), "and members that are out stay out");
    fleet.instances().get(other).start();
    assertEquals("cell:0", requestPermit(client, "r5", "s1", 0).binding());
    assertNoRequestLost();
  }

  /** A dead upstream counts as out; a queued request is granted once it is back and warm; a balancer with a permit is stopped by SIGTERM. */
  @Test
  void deadUpstreamCountsAsOutAndQueueIsServed() throws Exception {
    upstreams.get("s1").behave(r -> Answer.reset());
    await("two observers report it dead", () -> fullState().members().get("s1").unwell());
    assertEquals("cell:0", requestPermit(client, "d", "s0", 0).binding());
    assertEquals(ResultCode.WAITING, requestPermit(client, "d2", "s0", 60_000).word());
    assertEquals(ResultCode.GRANTED, requestPermit(client, "d3", "s3", 0).word(), "the other group is not affected");
    upstreams.get("s1").behave(r -> Answer.ok());
    await("two observers report it warm, and the queued request is granted", () -> fullState().outs().containsKey("s0"));
    outSince.put("s0", System.nanoTime());
    assertEquals(0, Main.run("outs", "back", "--all", "--config", fleet.config(1).toString()));
    await("all are back", () -> fullState().outs().isEmpty());
    outSince.clear();

    assertEquals(ResultCode.GRANTED, requestPermit(client, "d4", "b4", 0).word());
    assertEquals("balancers", requestPermit(client, "d5", "b3", 0).binding());
    assertEquals(0, fleet.instances().get(4).terminate());
    assertEquals("balancers", requestPermit(client, "d6", "b3", 0).binding(), "being gone with a permit counts once");
    fleet.instances().get(4).start();
    asking.addClient(fleet.instances().get(4));
    markReturned("b4");
    await("it is back", () -> !fullState().outs().containsKey("b4"));
    assertEquals(ResultCode.GRANTED, requestPermit(client, "d7", "b3", 0).word());
    assertFalse(fullState().members().get("b4").unwell());
    assertNoRequestLost();
  }
}
