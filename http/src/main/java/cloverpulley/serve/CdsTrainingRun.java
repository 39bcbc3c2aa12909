package cloverpulley.serve;

import java.io.IOException;
import java.util.Map;

/**
 * Run by the build to learn which classes a balancer loads: it starts one and stops it again. The archive made of them
 * lets a start skip reading and verifying each, which is most of what a cold balancer spends its first second on.
 */
final class CdsTrainingRun {

  private CdsTrainingRun() {}

  /** The only argument is a configuration file. */
  public static void main(String[] args) throws IOException {
    Server server = Server.start(Config.read(Map.of("ROUTER_CONFIG", args[0])));
    server.stop();
  }
}
