package cloverpulley.handover;

import cloverpulley.Balancer.State;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.ServerList.Server;
import cloverpulley.state.BalancerSnapshot;
import cloverpulley.state.BalancerSnapshot.UpstreamSnapshot;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * The state that a process hands over to another process of the same balancer, and its encoding: a magic number, the version, the time of
 * writing, the length and a checksum, then the server list, the names and, while the other process is starting, the decision module's state.
 *
 * <p>The time of writing is a reading of the machine's monotonic clock, in milliseconds, so that a step of the wall clock does not age a snapshot.
 *
 * @param list the current server list
 * @param names that were ever listed, the most recently listed last
 * @param balancerSnapshot the decision module's state; null if it is left out
 */
public record HandoverSnapshot(ServerList list, List<String> names, BalancerSnapshot balancerSnapshot) {

  private static final int MAGIC = 0x41534844;
  private static final int VERSION = 2;
  /** Written by the previous release, with wall-clock time in the header: the age is not checked. */
  private static final int WALL_CLOCK_VERSION = 1;
  private static final int HEADER_BYTES = 2 * Integer.BYTES + Long.BYTES + 2 * Integer.BYTES;
  /** The maximum length of an encoding, which bounds what is read; the maximum counts of its parts follow. */
  public static final int MAX_BYTES = 4 << 20;
  private static final int MAX_NAMES = 20_000;
  private static final int MAX_SERVERS = 10_000;
  /** An older snapshot was not written for this process. */
  private static final long MAX_AGE_MILLIS = 10_000;
  private static final int STRING_OVERHEAD_BYTES = 2;

  /** Thrown if an encoding can't be used; the message gives the reason. */
  public static final class UnusableSnapshotException extends IOException {
    private static final long serialVersionUID = 1;

    UnusableSnapshotException(String reason) {
      super(reason);
    }
  }

  /** Encodes the snapshot; the least recently listed names are left out if it would be too long. */
  public byte[] encode(long monotonicMillis) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(body)) {
      out.writeLong(list.revision());
      out.writeInt(list.members().size());
      for (Server s : list.members()) {
        InetSocketAddress address = (InetSocketAddress) s.address();
        out.writeUTF(s.id());
        out.writeByte(address.getAddress().getAddress().length);
        out.write(address.getAddress().getAddress());
        out.writeInt(address.getPort());
        out.writeUTF(s.zone());
        out.writeInt(s.cell());
        out.writeByte(s.state().ordinal());
        out.writeDouble(s.size());
        out.writeLong(s.upSinceMillis());
      }
      out.writeBoolean(balancerSnapshot != null);
      if (balancerSnapshot != null) {
        write(out, balancerSnapshot);
      }
      List<String> includedNames = newestNamesThatFit(MAX_BYTES / 2);
      out.writeInt(includedNames.size());
      for (String name : includedNames) {
        out.writeUTF(name);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    byte[] content = body.toByteArray();
    CRC32C sum = new CRC32C();
    sum.update(content);
    return ByteBuffer.allocate(HEADER_BYTES + content.length).putInt(MAGIC).putInt(VERSION).putLong(monotonicMillis).putInt(content.length)
        .putInt((int) sum.getValue()).put(content).array();
  }

  private List<String> newestNamesThatFit(int bytes) {
    int from = names.size();
    int remainingBytes = bytes;
    while (from > 0 && names.size() - from < MAX_NAMES) {
      remainingBytes -= STRING_OVERHEAD_BYTES + 3 * names.get(from - 1).length();
      if (remainingBytes < 0) {
        break;
      }
      from--;
    }
    return names.subList(from, names.size());
  }

  private static void write(DataOutputStream out, BalancerSnapshot snapshot) throws IOException {
    out.writeInt(snapshot.upstreams().size());
    for (UpstreamSnapshot u : snapshot.upstreams()) {
      out.writeLong(u.upstream());
      out.writeLong(u.ageNanos());
      out.writeBoolean(u.startEstimated());
      out.writeLong(u.offlineNanos());
      out.writeDouble(u.slowStartTokens());
      out.writeDouble(u.slowness());
      out.writeInt(u.failures());
      out.writeInt(u.ejections());
      out.writeLong(u.ejectionNanosLeft());
      out.writeLong(u.servingNanos());
      write(out, u.window());
    }
    out.writeInt(snapshot.windows().size());
    for (Map.Entry<String, double[]> w : snapshot.windows().entrySet()) {
      out.writeUTF(w.getKey());
      write(out, w.getValue());
    }
    write(out, snapshot.fleet());
    write(out, new double[] {snapshot.baselineInFlight(), snapshot.baselineSendRate(), snapshot.meanHint(),
        snapshot.referenceWeight(), snapshot.retryTokens()});
  }

  private static void write(DataOutputStream out, double[] values) throws IOException {
    for (double value : values) {
      out.writeDouble(value);
    }
  }

  /**
   * Decodes a snapshot; throws {@link UnusableSnapshotException} if it is truncated, corrupt, too old, from the future or of an unknown
   * version.
   */
  public static HandoverSnapshot decode(byte[] bytes, long monotonicMillis) throws UnusableSnapshotException {
    if (bytes.length < HEADER_BYTES) {
      throw new UnusableSnapshotException("truncated header");
    }
    ByteBuffer header = ByteBuffer.wrap(bytes);
    if (header.getInt() != MAGIC) {
      throw new UnusableSnapshotException("wrong magic number");
    }
    int version = header.getInt();
    if (version != VERSION && version != WALL_CLOCK_VERSION) {
      throw new UnusableSnapshotException("unsupported version " + version);
    }
    long age = monotonicMillis - header.getLong();
    int length = header.getInt();
    int checksum = header.getInt();
    CRC32C sum = new CRC32C();
    sum.update(bytes, HEADER_BYTES, bytes.length - HEADER_BYTES);
    if (length != bytes.length - HEADER_BYTES || checksum != (int) sum.getValue()) {
      throw new UnusableSnapshotException("truncated or corrupt");
    }
    if (version == VERSION && Math.abs(age) > MAX_AGE_MILLIS) {
      throw new UnusableSnapshotException(age + " ms old");
    }
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes, HEADER_BYTES, length))) {
      HandoverSnapshot snapshot = decode(in);
      if (in.read() >= 0) {
        throw new UnusableSnapshotException("trailing bytes");
      }
      return snapshot;
    } catch (UnusableSnapshotException e) {
      throw e;
    } catch (IOException | RuntimeException e) {
      throw new UnusableSnapshotException("can't be decoded: " + e);
    }
  }

  private static HandoverSnapshot decode(DataInputStream in) throws IOException {
    long revision = in.readLong();
    int count = count(in, MAX_SERVERS);
    List<Server> members = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      String id = in.readUTF();
      byte[] host = in.readNBytes(count(in.readByte(), 16));
      InetSocketAddress address = new InetSocketAddress(InetAddress.getByAddress(host), in.readInt());
      members.add(new Server(id, address, in.readUTF(), in.readInt(), State.values()[in.readByte()], in.readDouble(), in.readLong()));
    }
    BalancerSnapshot balancerSnapshot = in.readBoolean() ? decodeBalancerSnapshot(in) : null;
    count = count(in, MAX_NAMES);
    List<String> names = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      names.add(in.readUTF());
    }
    return new HandoverSnapshot(new ServerList(revision, true, members), names, balancerSnapshot);
  }

  private static BalancerSnapshot decodeBalancerSnapshot(DataInputStream in) throws IOException {
    int count = count(in, MAX_SERVERS);
    List<UpstreamSnapshot> upstreams = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      upstreams.add(new UpstreamSnapshot(in.readLong(), in.readLong(), in.readBoolean(), in.readLong(), finiteDouble(in), finiteDouble(in),
          in.readInt(), in.readInt(), in.readLong(), in.readLong(), finiteDoubles(in, BalancerSnapshot.METRICS)));
    }
    count = count(in, BalancerSnapshot.MAX_WINDOWS);
    Map<String, double[]> windows = new LinkedHashMap<>();
    for (int i = 0; i < count; i++) {
      windows.put(in.readUTF(), finiteDoubles(in, BalancerSnapshot.METRICS));
    }
    double[] fleet = finiteDoubles(in, BalancerSnapshot.METRICS);
    return new BalancerSnapshot(upstreams, windows, fleet, finiteDouble(in), finiteDouble(in), finiteDouble(in), finiteDouble(in), finiteDouble(in));
  }

  private static double[] finiteDoubles(DataInputStream in, int count) throws IOException {
    double[] values = new double[count];
    for (int i = 0; i < count; i++) {
      values[i] = finiteDouble(in);
    }
    return values;
  }

  /** Protects the module: a single NaN or infinity would spread to every decision. */
  private static double finiteDouble(DataInputStream in) throws IOException {
    double value = in.readDouble();
    if (!Double.isFinite(value)) {
      throw new IOException("a value that is not finite");
    }
    return value;
  }

  private static int count(DataInputStream in, int max) throws IOException {
    return count(in.readInt(), max);
  }

  private static int count(int count, int max) throws IOException {
    if (count < 0 || count > max) {
      throw new IOException(count + " entries, at most " + max);
    }
    return count;
  }
}
