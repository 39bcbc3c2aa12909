package cloverpulley.engine;

import cloverpulley.Balancer.Endpoint;
import cloverpulley.Balancer.EndpointUpdate;
import cloverpulley.Balancer.ListKind;
import cloverpulley.Balancer.State;
import cloverpulley.engine.ServerList.Server;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The upstreams as discovery last named them: the module's numbers, addresses and states. */
public final class Fleet {

  /** Names that are remembered after they left the list. Guards the memory where names are ever new. */
  public static final int MAX_NAMES = 20_000;

  /** How long after its start a server may be listed: a start that is said to lie further back than this when it is heard did not. */
  private static final long MAX_LISTED_LATE_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** The start of a server as the list words it, and its reading of this process's clock; 0 for long ago. */
  private record Start(long upSinceMillis, long atNanos) {}

  private final Clock clock;
  private final Map<String, Long> numbers = new HashMap<>();
  private final Map<Long, Server> servers = new LinkedHashMap<>();
  /** What operators took out, by name, with its number; listed or not. */
  private final Map<String, Long> out = new HashMap<>();
  /** Names that were ever listed, the one listed last at the end, with their starts. */
  private final Map<String, Start> everListed = new LinkedHashMap<>();
  /** A source has said what there is: from here on a start that was not heard before has just happened. */
  private boolean sourceHeard;
  private long revision;

  public Fleet(Clock clock) {
    this.clock = clock;
  }

  /** The version of the list that is held. */
  public long revision() {
    return revision;
  }

  /** Where an upstream listens; null for one that is not on the list. */
  public SocketAddress address(long upstream) {
    Server server = servers.get(upstream);
    return server == null ? null : server.address();
  }

  /** What the list says of an upstream; null for one that is not on it. */
  public Server server(long upstream) {
    return servers.get(upstream);
  }

  /** The list as it is held, with its version. */
  public ServerList list() {
    return new ServerList(revision, true, List.copyOf(servers.values()));
  }

  /** Whether anything new may go to an upstream: the list says so, and no operator took it out. */
  public boolean isReady(long upstream) {
    Server server = servers.get(upstream);
    return server != null && server.state() == State.READY && !out.containsKey(server.id());
  }

  public boolean hasReady() {
    return servers.keySet().stream().anyMatch(this::isReady);
  }

  /** Whether a list ever held this name, here or at a predecessor. */
  public boolean wasListed(String id) {
    return everListed.containsKey(id);
  }

  /** Names that were ever listed, the one listed first in front; {@link #MAX_NAMES} at most. */
  public List<String> namesEverListed() {
    return List.copyOf(everListed.keySet());
  }

  /** These were listed at a predecessor. */
  public void addPreviouslyListed(Collection<String> names) {
    names.stream().filter(name -> !everListed.containsKey(name)).forEach(name -> remember(name, new Start(0, 0)));
  }

  /** A predecessor knew that this server, as it lists it, started so many nanoseconds ago; a negative age is long ago. */
  public void recordStart(Server server, long agoNanos) {
    remember(server.id(), new Start(server.upSinceMillis(), agoNanos < 0 ? 0 : clock.now() - agoNanos));
  }

  /** The module's number of a name, which every process gives it alike. */
  public long numberOf(String id) {
    return numbers.computeIfAbsent(id, this::number);
  }

  /** How many nanoseconds ago an upstream started; negative for long ago, or one that is not listed. */
  public long ageNanos(long upstream) {
    Server server = servers.get(upstream);
    Start start = server == null ? null : everListed.get(server.id());
    return start == null || start.atNanos == 0 ? -1 : clock.now() - start.atNanos;
  }

  /** What operators took out. */
  public Set<String> offline() {
    return Set.copyOf(out.keySet());
  }

  /** An operator takes an upstream out; its number. */
  long setOffline(String id) {
    return out.computeIfAbsent(id, i -> numbers.computeIfAbsent(i, this::number));
  }

  /** An operator calls an upstream back; its number, or null where it was not out. */
  Long setOnline(String id) {
    return out.remove(id);
  }

  private void remember(String id, Start start) {
    if (everListed.remove(id) == null && everListed.size() >= MAX_NAMES) {
      everListed.remove(everListed.keySet().iterator().next());
    }
    everListed.put(id, start);
  }

  /**
   * When a server started. What counts is that the list words its start otherwise than before, and when that was heard: the wall clock of this process
   * or of the source may have been stepped. Only where nothing was heard before does the wall clock tell.
   */
  private Start start(Server server) {
    Start before = everListed.get(server.id());
    if (before != null && (server.state() == State.GONE || before.upSinceMillis == server.upSinceMillis())) {
      return before;
    }
    if (server.upSinceMillis() <= 0) {
      return new Start(0, 0);
    }
    long now = clock.now();
    long worded = Math.min(now, clock.atUnixMillis(server.upSinceMillis()));
    return new Start(server.upSinceMillis(), sourceHeard ? Math.max(worded, now - MAX_LISTED_LATE_NANOS) : worded);
  }

  /** Takes in a list, or changes to it, and words it for the module: as no change where it is not to be believed. */
  public EndpointUpdate update(ListKind kind, ServerList list) {
    if (!isNews(kind, list)) {
      return new EndpointUpdate(ListKind.DELTA, List.of());
    }
    revision = list.revision();
    if (kind != ListKind.DELTA) {
      servers.clear();
    }
    List<Endpoint> entries = new ArrayList<>();
    for (Server server : list.members()) {
      long number = numberOf(server.id());
      remember(server.id(), start(server));
      entries.add(listed(number, server));
      if (server.state() == State.GONE) {
        servers.remove(number);
      } else {
        servers.put(number, server);
      }
    }
    sourceHeard |= kind != ListKind.CACHED;
    // A name that left gets its number again should it come back; nothing is kept of it meanwhile.
    numbers.values().removeIf(n -> !servers.containsKey(n) && !out.containsValue(n));
    return new EndpointUpdate(kind, entries);
  }

  /**
   * Guards against a discovery that lags or has just lost its own list: an older version would bring back what has gone,
   * and an empty list would take the service away. Version 0 is that of a list that names none.
   */
  private boolean isNews(ListKind kind, ServerList list) {
    boolean older = list.revision() > 0 && list.revision() < revision;
    boolean empties = kind != ListKind.DELTA && list.members().isEmpty() && !servers.isEmpty();
    return !older && !empties;
  }

  /** The list as it is held, for a module that starts anew. */
  public EndpointUpdate cachedUpdate() {
    List<Endpoint> entries = new ArrayList<>();
    servers.forEach((number, server) -> entries.add(listed(number, server)));
    return new EndpointUpdate(ListKind.CACHED, entries);
  }

  /** FNV-1a of the name: every balancer, and each after a restart, has to place the same keys alike. */
  private long number(String id) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * 0x100000001b3L;
    }
    while (numbers.containsValue(hash)) {
      hash++;
    }
    return hash;
  }

  private Endpoint listed(long number, Server s) {
    return new Endpoint(number, s.zone(), s.cell(), s.state(), everListed.get(s.id()).atNanos, s.size());
  }
}
