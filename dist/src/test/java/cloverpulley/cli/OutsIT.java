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
 * Five balancers that agree under faults. What is out is counted at the upstreams and by what who asked was told, never by the ledger's word.
 */
@Timeout(value = 4, unit = TimeUnit.MINUTES)
class OutsIT extends OutsRig {

  /** Sixty asks for the three of one dedup group, at once and through all voters, each made twice: one grant, acted on by all. */
  @Test
  void manyAskAtOnceForTheLastPlace() throws Exception {
    List<Future<Reply>> all = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      int n = i;
      all.add(threads.submit(() -> ask(new AgreeClient(List.of(new VoterAddress("b" + n % 3, null, fleet.api(n % 3)),
          new VoterAddress("b" + (n + 1) % 3, null, fleet.api((n + 1) % 3)), new VoterAddress("b" + (n + 2) % 3, null, fleet.api((n + 2) % 3)))),
          "a" + n / 2, "s" + n / 2 % 3, 0)));
    }
    List<Long> epochs = new ArrayList<>();
    for (Future<Reply> f : all) {
      if (f.get().isSuccess()) {
        epochs.add(f.get().epoch());
      }
    }
    assertEquals(1, epochs.stream().distinct().count(), "one permit, however often it was told: " + epochs);
    assertEquals(1, outSince.size(), outSince::toString);
    String out = outSince.keySet().iterator().next();
    await("all have acted", () -> client.laggingInstances(epochs.get(0)).isEmpty());
    // The clients go on for as long as the grace and more: what they reach is counted at the upstream.
    long until = outSince.get(out) + 2 * GRACE_NANOS;
    await("time for late ones", () -> System.nanoTime() > until);
    assertQuiet(out);
    assertEquals(0, Main.run("outs", "why", out, "--config", fleet.config(0).toString()));
    assertEquals(1, Main.run("outs", "ask", out, "--why", "again", "--config", fleet.config(1).toString()), "it is out already");
    bringBack(out);
    await("it is seen warm", () -> !whole().outs().containsKey(out));
    long before = upstreams.get(out).seen().size();
    await("it serves again", () -> upstreams.get(out).seen().size() > before);
    assertNobodyLost();
  }

  /** The one that granted is killed, paused, cut off: its successor knows, and it grants nothing in its half. */
  @Test
  void whoLeadsDiesOrIsPausedOrCutOff() throws Exception {
    assertEquals(ResultCode.GRANTED, ask(client, "k", "s0", 0).word());
    int killed = leader();
    long from = System.nanoTime();
    fleet.instances().get(killed).kill();
    assertEquals("cell:0", ask(client, "k2", "s1", 0).binding(), "the successor knows of the grant");
    System.out.printf("a leader killed: the next answers after %.2f s%n", (System.nanoTime() - from) / 1e9);
    assertEquals(ResultCode.SAME_AGAIN, ask(client, "k", "s0", 0).word(), "and of whose it is");
    await("the dead one is counted", () -> whole().members().get("b" + killed).unwell());
    assertEquals("balancers", ask(client, "k3", "b4", 0).binding(), "it has the one place of a balancer, whatever nobody asked for");
    fleet.instances().get(killed).start();
    asking.addClient(fleet.instances().get(killed));
    await("it is back", () -> !whole().members().get("b" + killed).unwell());

    int paused = leader();
    fleet.instances().get(paused).pause();
    assertEquals(ResultCode.LIMIT, ask(client, "p", "s2", 0).word());
    assertEquals(ResultCode.GRANTED, ask(client, "p2", "s3", 0).word());
    fleet.instances().get(paused).resume();
    try {
      assertEquals(ResultCode.LIMIT, at(paused).command(new Command.Ask("p3", "s4", "it", "", 0, false), 2000).word(),
          "what it thought it led is over");
    } catch (AgreeClient.NoMajorityException e) {
      assertTrue(e.getMessage().contains("421"), e::getMessage); // It knows that it does not lead.
    }
    assertFalse(whole().outs().containsKey("s4"));
    await("it is back", () -> !whole().members().get("b" + paused).unwell());

    bringBack("s3");
    outSince.remove("s3");
    await("s3 is warm", () -> !whole().outs().containsKey("s3"));
    int cut = leader();
    fleet.isolate(cut, true);
    assertThrows(AgreeClient.NoMajorityException.class, () -> at(cut).command(new Command.Ask("c", "s5", "it", "", 0, false), 4000),
        "alone in its half it grants nothing");
    List<VoterAddress> others = new ArrayList<>();
    for (int i = 0; i < VOTERS; i++) {
      if (i != cut) {
        others.add(new VoterAddress("b" + i, null, fleet.api(i)));
      }
    }
    assertEquals(ResultCode.GRANTED, ask(new AgreeClient(others), "c2", "s4", 0).word());
    fleet.isolate(cut, false);
    await("the one ask that had no answer is one or none", () -> at(cut).fullState().outs().containsKey("s4"));
    assertTrue(whole().outs().keySet().stream().filter(s -> s.compareTo("s3") >= 0).count() <= 1, () -> "cell:1 has one place");
    long late = System.nanoTime() + 2 * GRACE_NANOS;
    await("time for late ones", () -> System.nanoTime() > late);
    assertQuiet("s0");
    assertQuiet("s4");
    assertNobodyLost();
  }

  /** A halt and what is out are there after all voters were killed together; a voter whose file is spoilt serves and does not vote. */
  @Test
  void allRestartTogetherAndOneLosesItsFile() throws Exception {
    assertEquals(ResultCode.GRANTED, ask(client, "r", "s0", 0).word());
    assertEquals(0, Main.run("outs", "halt", "--why", "storm", "--config", fleet.config(2).toString()));
    for (Instance i : fleet.instances()) {
      i.kill();
    }
    Path spoilt = folder.resolve("b2.ledger");
    byte[] bytes = Files.readAllBytes(spoilt);
    bytes[bytes.length / 2] ^= 1;
    Files.write(spoilt, bytes, StandardOpenOption.TRUNCATE_EXISTING);
    long reached = upstreams.get("s0").seen().size();
    for (Instance i : fleet.instances()) {
      i.start();
    }
    for (Instance i : fleet.instances()) {
      asking.addClient(i);
    }
    assertTrue(fleet.instances().get(2).log().contains("does not vote"), "it says so");
    assertEquals(ResultCode.HALTED, ask(client, "r2", "s3", 0).word());
    assertEquals(Phase.GRANTED, whole().outs().get("s0").phase());
    assertEquals(1, Main.run("outs", "resume", "another", "--config", fleet.config(0).toString()));
    assertEquals(0, Main.run("outs", "resume", "by-hand", "--config", fleet.config(0).toString()));
    assertEquals(ResultCode.GRANTED, ask(client, "r3", "s3", 0).word(), "two of three are a majority");
    int before = asking.answered();
    await("clients are served", () -> asking.answered() > before + 500);
    assertEquals(reached, upstreams.get("s0").seen().size(), "one that starts hears the ledger before it hears clients");

    int other = leader() == 0 ? 1 : 0;
    fleet.instances().get(other).kill();
    assertThrows(AgreeClient.NoMajorityException.class, () -> client.command(new Command.Ask("r4", "s1", "it", "", 0, false), 3000));
    int served = asking.answered();
    await("traffic goes on without a majority", () -> asking.answered() > served + 300);
    assertEquals(reached, upstreams.get("s0").seen().size(), "and what is out stays out");
    fleet.instances().get(other).start();
    assertEquals("cell:0", ask(client, "r5", "s1", 0).binding());
    assertNobodyLost();
  }

  /** An upstream that dies takes a place; what waits is served in turn, once it has come back warm; a balancer's own out ends by SIGTERM. */
  @Test
  void theDeadCountAndWhoWaitsIsServed() throws Exception {
    upstreams.get("s1").behave(r -> Answer.reset());
    await("it is seen dead by two", () -> whole().members().get("s1").unwell());
    assertEquals("cell:0", ask(client, "d", "s0", 0).binding());
    assertEquals(ResultCode.WAITING, ask(client, "d2", "s0", 60_000).word());
    assertEquals(ResultCode.GRANTED, ask(client, "d3", "s3", 0).word(), "the other group is not held up");
    upstreams.get("s1").behave(r -> Answer.ok());
    await("it is seen warm by two, and who waited has its place", () -> whole().outs().containsKey("s0"));
    outSince.put("s0", System.nanoTime());
    assertEquals(0, Main.run("outs", "back", "--all", "--config", fleet.config(1).toString()));
    await("all are back", () -> whole().outs().isEmpty());
    outSince.clear();

    assertEquals(ResultCode.GRANTED, ask(client, "d4", "b4", 0).word());
    assertEquals("balancers", ask(client, "d5", "b3", 0).binding());
    assertEquals(0, fleet.instances().get(4).terminate());
    assertEquals("balancers", ask(client, "d6", "b3", 0).binding(), "gone and granted is one place");
    fleet.instances().get(4).start();
    asking.addClient(fleet.instances().get(4));
    bringBack("b4");
    await("it is back", () -> !whole().outs().containsKey("b4"));
    assertEquals(ResultCode.GRANTED, ask(client, "d7", "b3", 0).word());
    assertFalse(whole().members().get("b4").unwell());
    assertNobodyLost();
  }
}
