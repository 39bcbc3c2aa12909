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

/**
 * An external processor client that stands in for Envoy in tests: it sends the given messages one by one and queues the replies. Replies and
 * the end of a stream arrive on the thread that delivers them, as a rule the channel's event loop (direct executor), and are handed to the test
 * through a queue and a future, so the methods may be called from a test's thread.
 */
public final class StandInCaller implements AutoCloseable {

  /** A generous timeout for events that must happen; reaching it fails the test. */
  private static final long TIMEOUT_S = 30;

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

  /** Opens a stream without sending anything on it. */
  public Stream open() {
    return new Stream(true);
  }

  /** Opens a stream that never requests a reply, so that its flow-control window fills up. */
  public Stream openWithoutReading() {
    return new Stream(false);
  }

  /** Drops the connection and all of its streams. */
  @Override
  public void close() {
    channel.shutdownNow();
    try {
      channel.awaitTermination(TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Builds a request headers message from alternating names and values. */
  public static ProcessingRequest.Builder request(String... namesAndValues) {
    return ProcessingRequest.newBuilder().setRequestHeaders(HttpHeaders.newBuilder().setHeaders(headers(namesAndValues)));
  }

  /**
   * Builds a response headers message. It is a {@link ProcessingRequest} because it, too, asks the processor to process something; it ends the
   * response, which thus has no body.
   */
  public static ProcessingRequest.Builder response(int status, String... namesAndValues) {
    HeaderMap.Builder withStatus = headers(namesAndValues).toBuilder();
    withStatus.addHeaders(HeaderValue.newBuilder().setKey(":status").setRawValue(ByteString.copyFromUtf8(Integer.toString(status))));
    return ProcessingRequest.newBuilder()
        .setResponseHeaders(HttpHeaders.newBuilder().setHeaders(withStatus).setEndOfStream(true));
  }

  public static HttpBody body(String text, boolean endOfStream) {
    return HttpBody.newBuilder().setBody(ByteString.copyFromUtf8(text)).setEndOfStream(endOfStream).build();
  }

  public static HeaderMap headers(String... namesAndValues) {
    HeaderMap.Builder map = HeaderMap.newBuilder();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      map.addHeaders(HeaderValue.newBuilder().setKey(namesAndValues[i])
          .setRawValue(ByteString.copyFromUtf8(namesAndValues[i + 1])));
    }
    return map.build();
  }

  /** Returns the value to which a reply sets the header {@code name}; null if it does not set it. Reads no reply to response headers. */
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

  /** A processing stream, which corresponds to one attempt of a request. */
  public final class Stream {

    private final ClientCall<ProcessingRequest, ProcessingResponse> call =
        channel.newCall(ExternalProcessor.PROCESS, CallOptions.DEFAULT);
    private final BlockingQueue<ProcessingResponse> replies = new LinkedBlockingQueue<>();
    private final CompletableFuture<Status> closed = new CompletableFuture<>();

    private Stream(boolean requestsReplies) {
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
      if (requestsReplies) {
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

    /** Waits for the next reply; fails if the stream ends first. */
    public ProcessingResponse next() throws InterruptedException {
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
      while (System.nanoTime() < deadline) {
        ProcessingResponse reply = replies.poll(5, TimeUnit.MILLISECONDS);
        if (reply != null) {
          return reply;
        }
        if (closed.isDone() && replies.isEmpty()) {
          throw new AssertionError("the stream ended: " + closed.join());
        }
      }
      throw new AssertionError("no reply received");
    }

    public Stream halfClose() {
      call.halfClose();
      return this;
    }

    /** Cancels the call, which resets the stream. */
    public void cancel() {
      call.cancel("cancelled by the test", null);
    }

    /** Waits for the end of the stream and returns its status. */
    public Status closed() throws Exception {
      return closed.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Returns the number of replies received but not yet read by {@link #next}. */
    public int unreadReplies() {
      return replies.size();
    }
  }
}
