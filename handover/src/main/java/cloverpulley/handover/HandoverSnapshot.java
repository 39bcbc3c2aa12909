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
 * What a process hands over to the one that runs beside it, and its encoding: a magic number, the version, when it was written, the length and
 * a checksum, then the list, the names and, while the other starts, what the decision module knows.
 *
 * <p>The time of writing is a reading of the machine's monotonic clock, in milliseconds: a step of the wall clock makes no snapshot old.
 *
 * @param list the list as held
 * @param names that were ever listed, the one listed last at the end
 * @param balancerSnapshot null where it is left out
 */
public record HandoverSnapshot(ServerList list, List<String> names, BalancerSnapshot balancerSnapshot) {

  private static final int MAGIC = 0x41534844;
  private static final int VERSION = 2;
  /** The release before wrote wall-clock time into the header, which says nothing. */
  private static final int WALL_CLOCK_VERSION = 1;
  private static final int HEADER_BYTES = 2 * Integer.BYTES + Long.BYTES + 2 * Integer.BYTES;
  /** The longest encoding, which bounds what is read; and the parts in it. */
  public static final int MAX_BYTES = 4 << 20;
  private static final int MAX_NAMES = 20_000;
  private static final int MAX_SERVERS = 10_000;
  /** One that is older was not written for this process. */
  private static final long MAX_AGE_MILLIS = 10_000;
  private static final int TEXT_OVERHEAD_BYTES = 2;

  /** Why an encoding can't be used. */
  public static final class UnusableSnapshotException extends IOException {
    private static final long serialVersionUID = 1;

    UnusableSnapshotException(String why) {
      super(why);
    }
  }

  /** Its encoding; names are left out, those listed first, where it would be too long. */
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
      List<String> kept = lastThatFit(MAX_BYTES / 2);
      out.writeInt(kept.size());
      for (String name : kept) {
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

  private List<String> lastThatFit(int bytes) {
    int from = names.size();
    int left = bytes;
    while (from > 0 && names.size() - from < MAX_NAMES) {
      left -= TEXT_OVERHEAD_BYTES + 3 * names.get(from - 1).length();
      if (left < 0) {
        break;
      }
      from--;
    }
    return names.subList(from, names.size());
  }

  private static void write(DataOutputStream out, BalancerSnapshot k) throws IOException {
    out.writeInt(k.upstreams().size());
    for (UpstreamSnapshot u : k.upstreams()) {
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
    out.writeInt(k.windows().size());
    for (Map.Entry<String, double[]> w : k.windows().entrySet()) {
      out.writeUTF(w.getKey());
      write(out, w.getValue());
    }
    write(out, k.fleet());
    write(out, new double[] {k.baselineInFlight(), k.baselineSendRate(), k.meanHint(), k.referenceWeight(), k.retryTokens()});
  }

  private static void write(DataOutputStream out, double[] figures) throws IOException {
    for (double figure : figures) {
      out.writeDouble(figure);
    }
  }

  /** Reads an encoding; throws {@link UnusableSnapshotException} for one that is cut, corrupt, too old, of the future or of an unknown version. */
  public static HandoverSnapshot decode(byte[] bytes, long monotonicMillis) throws UnusableSnapshotException {
    if (bytes.length < HEADER_BYTES) {
      throw new UnusableSnapshotException("cut in its header");
    }
    ByteBuffer head = ByteBuffer.wrap(bytes);
    if (head.getInt() != MAGIC) {
      throw new UnusableSnapshotException("not what this program writes");
    }
    int version = head.getInt();
    if (version != VERSION && version != WALL_CLOCK_VERSION) {
      throw new UnusableSnapshotException("of version " + version);
    }
    long age = monotonicMillis - head.getLong();
    int length = head.getInt();
    int told = head.getInt();
    CRC32C sum = new CRC32C();
    sum.update(bytes, HEADER_BYTES, bytes.length - HEADER_BYTES);
    if (length != bytes.length - HEADER_BYTES || told != (int) sum.getValue()) {
      throw new UnusableSnapshotException("cut or spoilt");
    }
    if (version == VERSION && Math.abs(age) > MAX_AGE_MILLIS) {
      throw new UnusableSnapshotException(age + " ms old");
    }
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes, HEADER_BYTES, length))) {
      HandoverSnapshot snapshot = decode(in);
      if (in.read() >= 0) {
        throw new UnusableSnapshotException("longer than it says");
      }
      return snapshot;
    } catch (UnusableSnapshotException e) {
      throw e;
    } catch (IOException | RuntimeException e) {
      throw new UnusableSnapshotException("not understood: " + e);
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
    BalancerSnapshot balancerSnapshot = in.readBoolean() ? balancerSnapshot(in) : null;
    count = count(in, MAX_NAMES);
    List<String> names = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      names.add(in.readUTF());
    }
    return new HandoverSnapshot(new ServerList(revision, true, members), names, balancerSnapshot);
  }

  private static BalancerSnapshot balancerSnapshot(DataInputStream in) throws IOException {
    int count = count(in, MAX_SERVERS);
    List<UpstreamSnapshot> upstreams = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      upstreams.add(new UpstreamSnapshot(in.readLong(), in.readLong(), in.readBoolean(), in.readLong(), figure(in), figure(in), in.readInt(),
          in.readInt(), in.readLong(), in.readLong(), figures(in, BalancerSnapshot.METRICS)));
    }
    count = count(in, BalancerSnapshot.MAX_WINDOWS);
    Map<String, double[]> windows = new LinkedHashMap<>();
    for (int i = 0; i < count; i++) {
      windows.put(in.readUTF(), figures(in, BalancerSnapshot.METRICS));
    }
    double[] fleet = figures(in, BalancerSnapshot.METRICS);
    return new BalancerSnapshot(upstreams, windows, fleet, figure(in), figure(in), figure(in), figure(in), figure(in));
  }

  private static double[] figures(DataInputStream in, int count) throws IOException {
    double[] figures = new double[count];
    for (int i = 0; i < count; i++) {
      figures[i] = figure(in);
    }
    return figures;
  }

  /** Guards the module: one figure that is none spreads to every decision. */
  private static double figure(DataInputStream in) throws IOException {
    double figure = in.readDouble();
    if (!Double.isFinite(figure)) {
      throw new IOException("a figure that is none");
    }
    return figure;
  }

  private static int count(DataInputStream in, int most) throws IOException {
    return count(in.readInt(), most);
  }

  private static int count(int count, int most) throws IOException {
    if (count < 0 || count > most) {
      throw new IOException(count + " of at most " + most);
    }
    return count;
  }
}
