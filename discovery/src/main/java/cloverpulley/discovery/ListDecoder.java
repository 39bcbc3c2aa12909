package cloverpulley.discovery;

import cloverpulley.Balancer.State;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.ServerList.Server;
import cloverpulley.wire.Fields;
import cloverpulley.wire.WireException;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Decodes server lists in the discovery service's JSON format. */
public final class ListDecoder {

  private static final Map<String, State> PHASE =
      Map.of("ready", State.READY, "draining", State.DRAINING, "gone", State.GONE);

  private ListDecoder() {}

  public static ServerList list(Fields f) {
    List<Server> members = new ArrayList<>();
    for (Fields m : f.objects("members")) {
      members.add(new Server(m.text("id"), address("host_port", m.text("host_port")), m.text("locality", ""),
          (int) m.integer("cell", 0), m.oneOf("phase", PHASE), m.number("size", 1), m.integer("up_since_ms", 0)));
    }
    return new ServerList(f.integer("revision", 0), f.bool("complete", false), members);
  }

  /** Parses a numeric address such as 10.0.0.4:8000 or [::1]:8000; names are not resolved. */
  public static InetSocketAddress address(String name, String text) {
    int colon = text.lastIndexOf(':');
    byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    try {
      if (host != null) {
        return new InetSocketAddress(InetAddress.getByAddress(host), Integer.parseInt(text.substring(colon + 1)));
      }
    } catch (IOException | IllegalArgumentException e) {
      // Reported below, like an address without a port.
    }
    throw new WireException("field " + name + ": expected an address and a port, got \"" + text + "\"");
  }
}
