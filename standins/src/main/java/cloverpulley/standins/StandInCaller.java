package cloverpulley.standins;

import cloverpulley.extproc.ExtProc.HeaderMap;
import cloverpulley.extproc.ExtProc.HeaderValue;
import cloverpulley.extproc.ExtProc.HeaderValueOption;
import cloverpulley.extproc.ExtProc.HttpBody;
import cloverpulley.extproc.ExtProc.HttpHeaders;
import cloverpulley.extproc.ExtProc.ProcessingRequest;
import cloverpulley.extproc.ExtProc.ProcessingResponse;
import cloverpulley.extproc.ExternalProcessor;
import com.google.protobuf.ByteString;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A caller of the external processor that sends what it is told to, message by message, and keeps what comes back. */
public final class StandInCaller implements AutoCloseable {

  /** A generous limit for what has to happen: no test passes by its running out. */
  private static final long LIMIT_S = 30;

  private final ManagedChannel channel;

  public StandInCaller(InetSocketAddress address) {
    this(NettyChannelBuilder.forAddress(address).usePlaintext());
  }

  public StandInCaller(NettyChannelBuilder builder) {
    channel = builder.directExecutor().build();
  }

  public ManagedChannel channel() {
    return channel;
  }

  /** Opens a stream; nothing is sent on it yet. */
  public Stream open() {
    return new Stream(true);
  }

  /** Opens a stream that asks for no replies: its window fills up. */
  public Stream openWithoutReading() {
    return new Stream(false);
  }

  /** The connection is dropped, with all that is on it. */
  @Override
  public void close() {
    channel.shutdownNow();
    try {
      channel.awaitTermination(LIMIT_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A request's headers, as names and values in turn. */
  public static ProcessingRequest.Builder request(String... namesAndValues) {
    return ProcessingRequest.newBuilder().setRequestHeaders(HttpHeaders.newBuilder().setHeaders(headers(namesAndValues)));
  }

  /** An answer's head. */
  public static ProcessingRequest.Builder response(int status, String... namesAndValues) {
    HeaderMap.Builder all = headers(namesAndValues).toBuilder();
    all.addHeaders(HeaderValue.newBuilder().setKey(":status").setRawValue(ByteString.copyFromUtf8(Integer.toString(status))));
    return ProcessingRequest.newBuilder()
        .setResponseHeaders(HttpHeaders.newBuilder().setHeaders(all).setEndOfStream(true));
  }

  public static HttpBody body(String text, boolean last) {
    return HttpBody.newBuilder().setBody(ByteString.copyFromUtf8(text)).setEndOfStream(last).build();
  }

  public static HeaderMap headers(String... namesAndValues) {
    HeaderMap.Builder map = HeaderMap.newBuilder();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      map.addHeaders(HeaderValue.newBuilder().setKey(namesAndValues[i])
          .setRawValue(ByteString.copyFromUtf8(namesAndValues[i + 1])));
    }
    return map.build();
  }

  /** The value that a reply to headers or to a body sets a header to; null where it sets none. */
  public static String sets(ProcessingResponse reply, String name) {
    var mutation = reply.hasRequestBody() ? reply.getRequestBody().getResponse().getHeaderMutation()
        : reply.hasImmediateResponse() ? reply.getImmediateResponse().getHeaders()
        : reply.getRequestHeaders().getResponse().getHeaderMutation();
    for (HeaderValueOption option : mutation.getSetHeadersList()) {
      if (option.getHeader().getKey().equals(name)) {
        return option.getHeader().getRawValue().toStringUtf8();
      }
    }
    return null;
  }

  /** One stream. */
  public final class Stream {

    private final ClientCall<ProcessingRequest, ProcessingResponse> call =
        channel.newCall(ExternalProcessor.PROCESS, CallOptions.DEFAULT);
    private final BlockingQueue<ProcessingResponse> replies = new LinkedBlockingQueue<>();
    private final CompletableFuture<Status> closed = new CompletableFuture<>();

    private Stream(boolean reads) {
      call.start(new ClientCall.Listener<ProcessingResponse>() {
        @Override
        public void onMessage(ProcessingResponse reply) {
          replies.add(reply);
          call.request(1);
        }

        @Override
        public void onClose(Status status, Metadata trailers) {
          closed.complete(status);
        }
      }, new Metadata());
      if (reads) {
        call.request(1);
      }
    }

    public Stream send(ProcessingRequest.Builder message) {
      call.sendMessage(message.build());
      return this;
    }

    public Stream send(ProcessingRequest message) {
      call.sendMessage(message);
      return this;
    }

    /** Waits for the next reply; fails where the stream ends first. */
    public ProcessingResponse next() throws InterruptedException {
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
      while (System.nanoTime() < until) {
        ProcessingResponse reply = replies.poll(5, TimeUnit.MILLISECONDS);
        if (reply != null) {
          return reply;
        }
        if (closed.isDone() && replies.isEmpty()) {
          throw new AssertionError("the stream ended: " + closed.join());
        }
      }
      throw new AssertionError("no reply came");
    }

    public Stream halfClose() {
      call.halfClose();
      return this;
    }

    /** Hangs up: the stream is reset. */
    public void cancel() {
      call.cancel("hung up on purpose", null);
    }

    /** Waits for the stream's end and says how it ended. */
    public Status closed() throws Exception {
      return closed.get(LIMIT_S, TimeUnit.SECONDS);
    }

    /** Replies that came and were not taken. */
    public int unreadReplies() {
      return replies.size();
    }
  }
}
