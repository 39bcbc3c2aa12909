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

/** The upstreams of the current server list, with the module's numbers for them, their addresses and their states. */
public final class Fleet {

  /** Names that are remembered, including those that have left the list. Bounds the memory if every name that is listed is a new one. */
  public static final int MAX_NAMES = 20_000;

  /** The longest delay assumed between a server's start and its listing: a new start reported as longer ago than this counts as this long ago. */
  private static final long MAX_LISTING_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** The start of a server as the list reports it, and as a reading of this process's clock; 0 for long ago. */
  private record Start(long upSinceMillis, long clockNanos) {}

  private final Clock clock;
  private final Map<String, Long> numbers = new HashMap<>();
  private final Map<Long, Server> servers = new LinkedHashMap<>();
  /** Numbers of the upstreams that are administratively offline, by name; listed or not. */
  private final Map<String, Long> offlineNumbers = new HashMap<>();
  /** Names that were ever listed with their starts, the most recently listed last. */
  private final Map<String, Start> everListed = new LinkedHashMap<>();
  /** Whether a source has reported a list: from then on a start that has not been reported before is a recent one. */
  private boolean sourceSeen;
  private long revision;

  public Fleet(Clock clock) {
    this.clock = clock;
  }

  /** The version of the current list. */
  public long revision() {
    return revision;
  }

  /** The address of an upstream; null if it is not on the list. */
  public SocketAddress address(long upstream) {
    Server server = servers.get(upstream);
    return server == null ? null : server.address();
  }

  /** The list's entry for an upstream; null if it is not on the list. */
  public Server server(long upstream) {
    return servers.get(upstream);
  }

  /** The current list, with its version. */
  public ServerList list() {
    return new ServerList(revision, true, List.copyOf(servers.values()));
  }

  /** Whether an upstream may get new requests: it is listed as ready and not administratively offline. */
  public boolean isReady(long upstream) {
    Server server = servers.get(upstream);
    return server != null && server.state() == State.READY && !offlineNumbers.containsKey(server.id());
  }

  public boolean hasReady() {
    return servers.keySet().stream().anyMatch(this::isReady);
  }

  /** Whether a list ever contained this name, in this process or in a predecessor. */
  public boolean wasListed(String id) {
    return everListed.containsKey(id);
  }

  /** Names that were ever listed, the least recently listed first; {@link #MAX_NAMES} at most. */
  public List<String> namesEverListed() {
    return List.copyOf(everListed.keySet());
  }

  /** Adds names that were listed in a predecessor. */
  public void addPreviouslyListed(Collection<String> names) {
    names.stream().filter(name -> !everListed.containsKey(name)).forEach(name -> rememberListed(name, new Start(0, 0)));
  }

  /** Adds a predecessor's record of when a server on its list started: {@code agoNanos} nanoseconds ago, negative for long ago. */
  public void recordStart(Server server, long agoNanos) {
    rememberListed(server.id(), new Start(server.upSinceMillis(), agoNanos < 0 ? 0 : clock.now() - agoNanos));
  }

  /** The module's number for a name; it is the same in every process. */
  public long numberOf(String id) {
    return numbers.computeIfAbsent(id, this::assignNumber);
  }

  /** How many nanoseconds ago an upstream started; negative if that was long ago or it is not listed. */
  public long ageNanos(long upstream) {
    Server server = servers.get(upstream);
    Start start = server == null ? null : everListed.get(server.id());
    return start == null || start.clockNanos == 0 ? -1 : clock.now() - start.clockNanos;
  }

  /** The names of the upstreams that are administratively offline. */
  public Set<String> offline() {
    return Set.copyOf(offlineNumbers.keySet());
  }

  /** Takes an upstream administratively offline; returns its number. */
  long setOffline(String id) {
    return offlineNumbers.computeIfAbsent(id, i -> numbers.computeIfAbsent(i, this::assignNumber));
  }

  /** Brings an upstream back online; returns its number, or null if it was not offline. */
  Long setOnline(String id) {
    return offlineNumbers.remove(id);
  }

  private void rememberListed(String id, Start start) {
    if (everListed.remove(id) == null && everListed.size() >= MAX_NAMES) {
      everListed.remove(everListed.keySet().iterator().next());
    }
    everListed.put(id, start);
  }

  /**
   * Determines when a server started. A new start is recognized by a changed start time in the list, and dated by when the change arrived: the wall
   * clock of this process or of the source may have been stepped. The wall clock decides only as long as no source has reported a list.
   */
  private Start startOf(Server server) {
    Start previous = everListed.get(server.id());
    if (previous != null && (server.state() == State.GONE || previous.upSinceMillis == server.upSinceMillis())) {
      return previous;
    }
    if (server.upSinceMillis() <= 0) {
      return new Start(0, 0);
    }
    long now = clock.now();
    long reportedStart = Math.min(now, clock.atUnixMillis(server.upSinceMillis()));
    return new Start(server.upSinceMillis(), sourceSeen ? Math.max(reportedStart, now - MAX_LISTING_DELAY_NANOS) : reportedStart);
  }

  /** Applies a list, or changes to it, and returns the update for the module; an empty one if the list is not plausible. */
  public EndpointUpdate update(ListKind kind, ServerList list) {
    if (!isPlausible(kind, list)) {
      return new EndpointUpdate(ListKind.DELTA, List.of());
    }
    revision = list.revision();
    if (kind != ListKind.DELTA) {
      servers.clear();
    }
    List<Endpoint> entries = new ArrayList<>();
    for (Server server : list.members()) {
      long number = numberOf(server.id());
      rememberListed(server.id(), startOf(server));
      entries.add(toEndpoint(number, server));
      if (server.state() == State.GONE) {
        servers.remove(number);
      } else {
        servers.put(number, server);
      }
    }
    sourceSeen |= kind != ListKind.CACHED;
    // A name that has left gets the same number if it returns, so nothing need be kept in the meantime.
    numbers.values().removeIf(n -> !servers.containsKey(n) && !offlineNumbers.containsValue(n));
    return new EndpointUpdate(kind, entries);
  }

  /**
   * Guards against a discovery service that lags or has just lost its own list: an older version would bring back removed upstreams,
   * and an empty list would take the service down. Version 0 stands for a list without a version.
   */
  private boolean isPlausible(ListKind kind, ServerList list) {
    boolean isOlder = list.revision() > 0 && list.revision() < revision;
    boolean isEmptied = kind != ListKind.DELTA && list.members().isEmpty() && !servers.isEmpty();
    return !isOlder && !isEmptied;
  }

  /** The current list, for a new module. */
  public EndpointUpdate cachedUpdate() {
    List<Endpoint> entries = new ArrayList<>();
    servers.forEach((number, server) -> entries.add(toEndpoint(number, server)));
    return new EndpointUpdate(ListKind.CACHED, entries);
  }

  /** FNV-1a of the name: all balancers, also after a restart, must place the same keys on the same upstreams. */
  private long assignNumber(String id) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * 0x100000001b3L;
    }
    while (numbers.containsValue(hash)) {
      hash++;
    }
    return hash;
  }

  private Endpoint toEndpoint(long number, Server s) {
    return new Endpoint(number, s.zone(), s.cell(), s.state(), everListed.get(s.id()).clockNanos, s.size());
  }
}
