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
 * Keeps servers registered with a zone's primary for as long as the process runs. Updates are sent over TCP and signed if a key is
 * configured; an answer without a valid signature counts as a failure. Runs on its own thread; {@link RegistrationLease} schedules
 * registrations, renewals and the withdrawal.
 */
public final class Publisher implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(Publisher.class.getName());

  private static final long TICK_MILLIS = 10;
  private static final long UPDATE_TIMEOUT_MILLIS = 3000;
  private static final long BACK_OFF_MILLIS = 500;
  private static final long MAX_BACK_OFF_MILLIS = 10_000;
  private static final long CLOSE_TIMEOUT_MILLIS = 1000;

  private final PublishConfig config;
  private final List<Registration> servers;
  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Clock clock = new Clock();
  private final RegistrationLease lease;
  private final CountDownLatch firstRegistration = new CountDownLatch(1);
  private final CountDownLatch finished = new CountDownLatch(1);
  private DnsClient client;
  private boolean failing;

  private Publisher(PublishConfig config, List<Registration> servers, long seed) {
    this.config = config;
    this.servers = List.copyOf(servers);
    lease = new RegistrationLease(now(), config.leaseMillis(), BACK_OFF_MILLIS, MAX_BACK_OFF_MILLIS, seed);
  }

  /** Starts registering this process, and the configured fleet if {@link PublishConfig#fleet} is set. */
  public static Publisher startSelf(PublishConfig config, int listenPort, long startedMillis, List<cloverpulley.engine.ServerList.Server> fleet) {
    List<Registration> registrations = new java.util.ArrayList<>();
    registrations.add(config.selfRegistration(listenPort, startedMillis));
    if (config.fleet()) {
      registrations.addAll(config.registrations(fleet));
    }
    return start(config, registrations);
  }

  /** Starts registering the given servers. */
  static Publisher start(PublishConfig config, List<Registration> servers) {
    Publisher publisher = new Publisher(config, servers, new java.security.SecureRandom().nextLong());
    publisher.loop.execute(publisher::open);
    return publisher;
  }

  private void open() {
    client = new DnsClient(loop, clock, new ClientConfig(1, 1000, 16, 20, 1232, 2, 16, TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MILLIS),
        TimeUnit.SECONDS.toNanos(5), TimeUnit.SECONDS.toNanos(5), TimeUnit.SECONDS.toNanos(1), false, TimeUnit.MINUTES.toNanos(15)));
    loop.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private long now() {
    return TimeUnit.NANOSECONDS.toMillis(clock.now());
  }

  private void tick() {
    Action action = lease.nextAction(now());
    if (lease.isFinished()) {
      finished.countDown();
    } else if (action != Action.NOTHING) {
      send(action);
    }
  }

  private void send(Action action) {
    Message update = action == Action.REGISTER ? UpdateMessage.register(config, servers) : UpdateMessage.withdraw(config, servers);
    if (config.key() != null) {
      config.key().apply(update, null);
    }
    byte[] wire = update.toWire();
    Question zone = new Question(config.zone().toWire(), Type.SOA, DClass.IN);
    UpstreamQuery.Spec spec = new UpstreamQuery.Spec(wire, zone, 0, false, true);
    client.query(0, config.primary(), spec, TimeUnit.MILLISECONDS.toNanos(UPDATE_TIMEOUT_MILLIS), (status, answer, failure) -> {
      String error = status == Status.SERVED ? verifyAnswer(update, answer.bytes()) : failure;
      if (error != null) {
        lease.failed(now());
        if (!failing) {
          LOG.warning("dns-sd: " + action.name().toLowerCase(java.util.Locale.ROOT) + " at " + config.primary() + " failed: " + error);
        }
        failing = true;
        return;
      }
      lease.succeeded(now(), grantedMillis(answer.bytes()));
      if (failing || firstRegistration.getCount() > 0) {
        LOG.info(() -> "dns-sd: " + servers.size() + " servers registered at " + config.primary());
      }
      failing = false;
      firstRegistration.countDown();
      tick();
    });
  }

  private String verifyAnswer(Message update, byte[] bytes) {
    try {
      Message answer = new Message(bytes);
      if (config.key() != null) {
        int verified = config.key().verify(answer, bytes, update.getTSIG());
        if (verified != Rcode.NOERROR) {
          return "the answer has no valid signature by the key: " + Rcode.TSIGstring(verified);
        }
      }
      return answer.getRcode() == Rcode.NOERROR ? null : Rcode.string(answer.getRcode());
    } catch (IOException e) {
      return e.getMessage();
    }
  }

  private static long grantedMillis(byte[] bytes) {
    try {
      return UpdateMessage.grantedMillis(new Message(bytes));
    } catch (IOException e) {
      return 0; // Cannot happen: it was parsed before.
    }
  }

  /** Waits for the first successful registration; returns false on timeout. */
  public boolean awaitRegistered(long millis) throws InterruptedException {
    return firstRegistration.await(millis, TimeUnit.MILLISECONDS);
  }

  /** Withdraws the registration; returns once the primary has confirmed it or the withdrawal deadline has passed. */
  public void withdraw() throws InterruptedException {
    loop.execute(() -> lease.withdraw(now(), now() + config.withdrawMillis()));
    if (!finished.await(config.withdrawMillis() + CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) || failing) {
      LOG.warning("dns-sd: not withdrawn in time, the registration stays until its lease expires");
    }
  }

  /** Closes at once without withdrawing the registration. */
  @Override
  public void close() {
    loop.execute(() -> {
      if (client != null) {
        client.close();
      }
    });
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
  }
}
