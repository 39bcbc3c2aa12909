package cloverpulley.serve;

import java.io.IOException;
import java.util.Map;

/**
 * Training run for the class data sharing (CDS) archive, executed by the build: starts a balancer and stops it again to record which classes
 * it loads. The archive lets a start skip parsing and verifying them, which otherwise takes up most of a balancer's first second.
 */
final class CdsTrainingRun {

  private CdsTrainingRun() {}

  /** Expects one argument, the path of a configuration file. */
  public static void main(String[] args) throws IOException {
    Server server = Server.start(Config.read(Map.of("ROUTER_CONFIG", args[0])));
    server.stop();
  }
}
