package cloverpulley.dnssd;

import cloverpulley.Balancer.Status;
import cloverpulley.dns.client.ClientConfig;
import cloverpulley.dns.client.DnsClient;
import cloverpulley.dns.client.UpstreamQuery;
import cloverpulley.dns.wire.Question;
import cloverpulley.dnssd.PublishConfig.Registration;
import cloverpulley.engine.Clock;
import cloverpulley.membership.RegistrationLease;
import cloverpulley.membership.RegistrationLease.Action;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Type;

/**
 * Keeps servers registered with a zone's primary for as long as the program runs: updates go over TCP, signed where there is a key,
 * and an answer that is not signed by it counts as none. Has a thread of its own; when what is done is {@link RegistrationLease}'s.
 */
public final class Publisher implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(Publisher.class.getName());

  private static final long TICK_MILLIS = 10;
  private static final long ASK_MILLIS = 3000;
  private static final long BACK_OFF_MILLIS = 500;
  private static final long MOST_BACK_OFF_MILLIS = 10_000;
  private static final long CLOSE_MILLIS = 1000;

  private final PublishConfig config;
  private final List<Registration> servers;
  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Clock clock = new Clock();
  private final RegistrationLease lease;
  private final CountDownLatch first = new CountDownLatch(1);
  private final CountDownLatch over = new CountDownLatch(1);
  private DnsClient client;
  private boolean failing;

  private Publisher(PublishConfig config, List<Registration> servers, long seed) {
    this.config = config;
    this.servers = List.copyOf(servers);
    lease = new RegistrationLease(now(), config.leaseMillis(), BACK_OFF_MILLIS, MOST_BACK_OFF_MILLIS, seed);
  }

  /** Begins to register the program itself. */
  public static Publisher self(PublishConfig config, int listening, long startedMillis, List<cloverpulley.engine.ServerList.Server> fleet) {
    List<Registration> all = new java.util.ArrayList<>();
    all.add(config.self(listening, startedMillis));
    if (config.fleet()) {
      all.addAll(config.servers(fleet));
    }
    return start(config, all);
  }

  /** Begins to register servers. */
  static Publisher start(PublishConfig config, List<Registration> servers) {
    Publisher p = new Publisher(config, servers, new java.security.SecureRandom().nextLong());
    p.loop.execute(p::wire);
    return p;
  }

  private void wire() {
    client = new DnsClient(loop, clock, new ClientConfig(1, 1000, 16, 20, 1232, 2, 16, TimeUnit.MILLISECONDS.toNanos(CLOSE_MILLIS),
        TimeUnit.SECONDS.toNanos(5), TimeUnit.SECONDS.toNanos(5), TimeUnit.SECONDS.toNanos(1), false, TimeUnit.MINUTES.toNanos(15)));
    loop.scheduleWithFixedDelay(this::turn, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private long now() {
    return TimeUnit.NANOSECONDS.toMillis(clock.now());
  }

  private void turn() {
    Action todo = lease.nextAction(now());
    if (lease.isFinished()) {
      over.countDown();
    } else if (todo != Action.NOTHING) {
      send(todo);
    }
  }

  private void send(Action todo) {
    Message update = todo == Action.REGISTER ? UpdateMessage.register(config, servers) : UpdateMessage.withdraw(config, servers);
    if (config.key() != null) {
      config.key().apply(update, null);
    }
    byte[] raw = update.toWire();
    Question zone = new Question(config.zone().toWire(), Type.SOA, DClass.IN);
    UpstreamQuery.Spec asked = new UpstreamQuery.Spec(raw, zone, 0, false, true);
    client.query(0, config.primary(), asked, TimeUnit.MILLISECONDS.toNanos(ASK_MILLIS), (status, answer, why) -> {
      String wrong = status == Status.SERVED ? refusal(update, answer.bytes()) : why;
      if (wrong != null) {
        lease.failed(now());
        if (!failing) {
          LOG.warning("dns-sd: " + todo.name().toLowerCase(java.util.Locale.ROOT) + " at " + config.primary() + " failed: " + wrong);
        }
        failing = true;
        return;
      }
      lease.succeeded(now(), granted(answer.bytes()));
      if (failing || first.getCount() > 0) {
        LOG.info(() -> "dns-sd: " + servers.size() + " servers registered at " + config.primary());
      }
      failing = false;
      first.countDown();
      turn();
    });
  }

  private String refusal(Message update, byte[] octets) {
    try {
      Message answer = new Message(octets);
      if (config.key() != null) {
        int verified = config.key().verify(answer, octets, update.getTSIG());
        if (verified != Rcode.NOERROR) {
          return "its answer is not signed by the key: " + Rcode.TSIGstring(verified);
        }
      }
      return answer.getRcode() == Rcode.NOERROR ? null : Rcode.string(answer.getRcode());
    } catch (IOException e) {
      return e.getMessage();
    }
  }

  private static long granted(byte[] octets) {
    try {
      return UpdateMessage.granted(new Message(octets));
    } catch (IOException e) {
      return 0; // It has been read just now.
    }
  }

  /** Waits until it has been registered once; whether it has. */
  public boolean awaitRegistered(long millis) throws InterruptedException {
    return first.await(millis, TimeUnit.MILLISECONDS);
  }

  /** Withdraws, and returns once the primary has done so or the time for that is over. */
  public void withdraw() throws InterruptedException {
    loop.execute(() -> lease.withdraw(now(), now() + config.withdrawMillis()));
    if (!over.await(config.withdrawMillis() + CLOSE_MILLIS, TimeUnit.MILLISECONDS) || failing) {
      LOG.warning("dns-sd: not withdrawn in time, the lease runs out by itself");
    }
  }

  /** Ends at once, registered or not. */
  @Override
  public void close() {
    loop.execute(() -> {
      if (client != null) {
        client.close();
      }
    });
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(CLOSE_MILLIS);
  }
}
