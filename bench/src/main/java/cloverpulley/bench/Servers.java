package cloverpulley.bench;

import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.Settings;
import cloverpulley.config.ConfigFile;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.config.Section;
import cloverpulley.config.ServiceSection;
import cloverpulley.extproc.ExtProc.HeadersResponse;
import cloverpulley.extproc.ExtProc.ProcessingRequest;
import cloverpulley.extproc.ExtProc.ProcessingResponse;
import cloverpulley.extproc.ExternalProcessor;
import cloverpulley.fleet.FleetSource;
import cloverpulley.processor.ProcessorConfig;
import cloverpulley.processor.ProcessorServer;
import cloverpulley.records.Recorder;
import cloverpulley.records.RecordsConfig;
import cloverpulley.standins.ScriptedHttp;
import io.grpc.Metadata;
import io.grpc.Server;
import io.grpc.ServerCall;
import io.grpc.ServerServiceDefinition;
import io.grpc.Status;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/** Servers under measurement, each in its own process: the processor with a number of upstreams, a null processor, or a null HTTP server. */
public final class Servers {

  private Servers() {}

  private static final ProcessingResponse CONTINUE_REQUEST =
      ProcessingResponse.newBuilder().setRequestHeaders(HeadersResponse.getDefaultInstance()).build();
  private static final ProcessingResponse CONTINUE_RESPONSE =
      ProcessingResponse.newBuilder().setResponseHeaders(HeadersResponse.getDefaultInstance()).build();

  /**
   * Prints its port and serves until terminated. The first argument is the number of upstreams, 0 for the null processor, or {@code http}
   * for a null HTTP server; the second the folder of the processor's records, or -; the third how many requests it remembers.
   */
  public static void main(String[] args) throws IOException, InvalidConfigException, InterruptedException {
    if (args[0].equals("http")) {
      EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
      System.out.println("port " + new ScriptedHttp(group, ScriptedHttp.Behaviour.SERVE).address().getPort());
      System.in.read();
      System.exit(0);
    }
    int upstreams = Integer.parseInt(args[0]);
    int port = upstreams == 0 ? startNullProcessor() : processor(upstreams, args.length > 1 && !args[1].equals("-") ? Path.of(args[1]) : null,
        args.length > 2 ? Integer.parseInt(args[2]) : 0);
    System.out.println("port " + port);
    System.in.read(); // Returns when the parent process ends.
    System.exit(0);
  }

  /** Uses the same library and the same I/O threads as the processor and responds CONTINUE immediately. */
  private static int startNullProcessor() throws IOException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    Server server = NettyServerBuilder.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .bossEventLoopGroup(group).workerEventLoopGroup(group).channelType(NioServerSocketChannel.class).directExecutor()
        .addService(ServerServiceDefinition.builder(ExternalProcessor.SERVICE)
            .addMethod(ExternalProcessor.PROCESS, (call, headers) -> new NullProcessor(call)).build()).build().start();
    return server.getPort();
  }

  private static final class NullProcessor extends ServerCall.Listener<ProcessingRequest> {
    private final ServerCall<ProcessingRequest, ProcessingResponse> call;

    NullProcessor(ServerCall<ProcessingRequest, ProcessingResponse> call) {
      this.call = call;
      call.sendHeaders(new Metadata());
      call.request(1);
    }

    @Override
    public void onMessage(ProcessingRequest message) {
      call.sendMessage(message.hasRequestHeaders() ? CONTINUE_REQUEST : CONTINUE_RESPONSE);
      call.request(1);
    }

    @Override
    public void onHalfClose() {
      call.close(Status.OK, new Metadata());
    }
  }

  private record Told(Settings settings, ProcessorConfig processor, FleetSource fleet) {
    static Told read(Section file) {
      Settings settings = ServiceSection.read(file);
      long longestDeadlineNanos = settings.classes().stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0);
      return new Told(settings, ProcessorConfig.read(file.table("processor"), 2 * longestDeadlineNanos), FleetSource.read(file.table("fleet")));
    }
  }

  private static int processor(int upstreams, Path records, int remembered) throws IOException, InvalidConfigException {
    StringBuilder text = new StringBuilder("""
        [service]
        zone = "a"
        most_in_hand = 100000
        [[class]]
        name = "rate-lookup"
        effect = "safe"
        aim_ms = 400
        deadline_ms = 2000
        [[class]]
        name = "quote-issue"
        effect = "keyed"
        dedup_window_ms = 2000
        aim_ms = 750
        deadline_ms = 3000
        [processor]
        listen = "127.0.0.1:0"
        """);
    if (remembered > 0) {
      // Large enough for all requests within keep_ms: a full table rejects requests, which is cheap and would distort the measurement.
      text.append("[processor.repeats]\nmost = ").append(remembered).append("\nkeep_ms = 6000\n");
    }
    for (int i = 0; i < upstreams; i++) {
      text.append("[[fleet.server]]\nid = \"s").append(i).append("\"\nzone = \"a\"\ncell = ").append(i / 4)
          .append("\naddress = \"127.").append(1 + i / 250).append(".0.").append(1 + i % 250).append(":8000\"\n");
    }
    Told told = ConfigFile.parse("bench", text.toString(), Told::read);
    Recorder recorder = records == null ? Recorder.NONE
        : Recorder.open(RecordsConfig.of(records, "p" + ProcessHandle.current().pid()), "process", told.settings);
    return ProcessorServer.start(told.processor, told.settings, told.fleet, 1, recorder).address().getPort();
  }
}
