package cloverpulley.handover;

import cloverpulley.Balancer.State;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.ServerList.Server;
import cloverpulley.state.Knowledge;
import cloverpulley.state.Knowledge.Known;
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
 * What a process leaves to the one that runs beside it, and its form as octets: a mark, the version, when it was written, the length and
 * a checksum, then the list, the names and, while the other starts, what the module knows.
 *
 * @param list the list as held
 * @param names that were ever listed, the one listed last at the end
 * @param knowledge null where it is left out
 */
public record Legacy(ServerList list, List<String> names, Knowledge knowledge) {

  private static final int MARK = 0x41534844;
  private static final int VERSION = 1;
  private static final int HEAD = 2 * Integer.BYTES + Long.BYTES + 2 * Integer.BYTES;
  /** The longest form, which bounds what is read; and the parts in it. */
  public static final int MOST_BYTES = 4 << 20;
  private static final int MOST_NAMES = 20_000;
  private static final int MOST_SERVERS = 10_000;
  /** One that is older was not left for this process. */
  private static final long MOST_AGE_MILLIS = 10_000;
  private static final int TEXT_COST = 2;

  /** Why a form can't be used. */
  public static final class Unusable extends IOException {
    private static final long serialVersionUID = 1;

    Unusable(String why) {
      super(why);
    }
  }

  /** Its form; names are left out, those listed first, where it would be too long. */
  public byte[] bytes(long unixMillis) {
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
      out.writeBoolean(knowledge != null);
      if (knowledge != null) {
        write(out, knowledge);
      }
      List<String> kept = lastThatFit(MOST_BYTES / 2);
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
    return ByteBuffer.allocate(HEAD + content.length).putInt(MARK).putInt(VERSION).putLong(unixMillis).putInt(content.length)
        .putInt((int) sum.getValue()).put(content).array();
  }

  private List<String> lastThatFit(int bytes) {
    int from = names.size();
    int left = bytes;
    while (from > 0 && names.size() - from < MOST_NAMES) {
      left -= TEXT_COST + 3 * names.get(from - 1).length();
      if (left < 0) {
        break;
      }
      from--;
    }
    return names.subList(from, names.size());
  }

  private static void write(DataOutputStream out, Knowledge k) throws IOException {
    out.writeInt(k.upstreams().size());
    for (Known u : k.upstreams()) {
      out.writeLong(u.upstream());
      out.writeLong(u.startedAgo());
      out.writeBoolean(u.startGuessed());
      out.writeLong(u.outFor());
      out.writeDouble(u.coldTokens());
      out.writeDouble(u.slowness());
      out.writeInt(u.failures());
      out.writeInt(u.ejections());
      out.writeLong(u.ejectedFor());
      out.writeLong(u.servingFor());
      write(out, u.window());
    }
    out.writeInt(k.windows().size());
    for (Map.Entry<String, double[]> w : k.windows().entrySet()) {
      out.writeUTF(w.getKey());
      write(out, w.getValue());
    }
    write(out, k.fleet());
    write(out, new double[] {k.usualInFlight(), k.usualSends(), k.usualHint(), k.weightUnit(), k.retryTokens()});
  }

  private static void write(DataOutputStream out, double[] figures) throws IOException {
    for (double figure : figures) {
      out.writeDouble(figure);
    }
  }

  /** Reads a form; {@link Unusable} for one that is cut, spoilt, too old, of the future or of another version. */
  public static Legacy read(byte[] bytes, long unixMillis) throws Unusable {
    if (bytes.length < HEAD) {
      throw new Unusable("cut in its head");
    }
    ByteBuffer head = ByteBuffer.wrap(bytes);
    if (head.getInt() != MARK) {
      throw new Unusable("not what this program writes");
    }
    int version = head.getInt();
    if (version != VERSION) {
      throw new Unusable("of version " + version);
    }
    long age = unixMillis - head.getLong();
    int length = head.getInt();
    int told = head.getInt();
    CRC32C sum = new CRC32C();
    sum.update(bytes, HEAD, bytes.length - HEAD);
    if (length != bytes.length - HEAD || told != (int) sum.getValue()) {
      throw new Unusable("cut or spoilt");
    }
    if (age < -MOST_AGE_MILLIS || age > MOST_AGE_MILLIS) {
      throw new Unusable(age + " ms old");
    }
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes, HEAD, length))) {
      Legacy legacy = read(in);
      if (in.read() >= 0) {
        throw new Unusable("longer than it says");
      }
      return legacy;
    } catch (Unusable e) {
      throw e;
    } catch (IOException | RuntimeException e) {
      throw new Unusable("not understood: " + e);
    }
  }

  private static Legacy read(DataInputStream in) throws IOException {
    long revision = in.readLong();
    int count = count(in, MOST_SERVERS);
    List<Server> members = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      String id = in.readUTF();
      byte[] host = in.readNBytes(count(in.readByte(), 16));
      InetSocketAddress address = new InetSocketAddress(InetAddress.getByAddress(host), in.readInt());
      members.add(new Server(id, address, in.readUTF(), in.readInt(), State.values()[in.readByte()], in.readDouble(), in.readLong()));
    }
    Knowledge knowledge = in.readBoolean() ? knowledge(in) : null;
    count = count(in, MOST_NAMES);
    List<String> names = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      names.add(in.readUTF());
    }
    return new Legacy(new ServerList(revision, true, members), names, knowledge);
  }

  private static Knowledge knowledge(DataInputStream in) throws IOException {
    int count = count(in, MOST_SERVERS);
    List<Known> upstreams = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      upstreams.add(new Known(in.readLong(), in.readLong(), in.readBoolean(), in.readLong(), figure(in), figure(in), in.readInt(),
          in.readInt(), in.readLong(), in.readLong(), figures(in, Knowledge.METRICS)));
    }
    count = count(in, Knowledge.MOST_WINDOWS);
    Map<String, double[]> windows = new LinkedHashMap<>();
    for (int i = 0; i < count; i++) {
      windows.put(in.readUTF(), figures(in, Knowledge.METRICS));
    }
    double[] fleet = figures(in, Knowledge.METRICS);
    return new Knowledge(upstreams, windows, fleet, figure(in), figure(in), figure(in), figure(in), figure(in));
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
