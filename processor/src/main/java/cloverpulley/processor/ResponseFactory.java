package cloverpulley.processor;

import cloverpulley.engine.LocalReply;
import cloverpulley.extproc.EncodedResponse;
import cloverpulley.extproc.ExtProc.BodyMutation;
import cloverpulley.extproc.ExtProc.BodyResponse;
import cloverpulley.extproc.ExtProc.CommonResponse;
import cloverpulley.extproc.ExtProc.GrpcStatus;
import cloverpulley.extproc.ExtProc.HeaderMutation;
import cloverpulley.extproc.ExtProc.HeaderValue;
import cloverpulley.extproc.ExtProc.HeaderValueOption;
import cloverpulley.extproc.ExtProc.HeaderValueOption.HeaderAppendAction;
import cloverpulley.extproc.ExtProc.HeadersResponse;
import cloverpulley.extproc.ExtProc.HttpBody;
import cloverpulley.extproc.ExtProc.HttpStatus;
import cloverpulley.extproc.ExtProc.ImmediateResponse;
import cloverpulley.extproc.ExtProc.ProcessingMode;
import cloverpulley.extproc.ExtProc.ProcessingMode.BodySendMode;
import cloverpulley.extproc.ExtProc.ProcessingMode.HeaderSendMode;
import cloverpulley.extproc.ExtProc.ProcessingResponse;
import cloverpulley.extproc.ExtProc.ProtocolConfiguration;
import cloverpulley.extproc.ExtProc.StreamedBodyResponse;
import cloverpulley.extproc.ExtProc.TrailersResponse;
import com.google.protobuf.ByteString;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/** Builds the ext_proc messages that are sent to callers. */
final class ResponseFactory {

  /** The response header that states the reason of a local reply. */
  static final String REASON = "x-ashdeck-reason";
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int BAD_GATEWAY = 502;
  /** RESOURCE_EXHAUSTED, UNKNOWN and INVALID_ARGUMENT. A failure does not imply that a retry is safe, so it is not UNAVAILABLE. */
  private static final int GRPC_EXHAUSTED = 8;
  private static final int GRPC_UNKNOWN = 2;
  private static final int GRPC_INVALID = 3;

  static final EncodedResponse RESPONSE_HEADERS =
      new EncodedResponse(ProcessingResponse.newBuilder().setResponseHeaders(HeadersResponse.getDefaultInstance()).build());
  static final EncodedResponse REQUEST_TRAILERS =
      new EncodedResponse(ProcessingResponse.newBuilder().setRequestTrailers(TrailersResponse.getDefaultInstance()).build());
  static final EncodedResponse RESPONSE_TRAILERS =
      new EncodedResponse(ProcessingResponse.newBuilder().setResponseTrailers(TrailersResponse.getDefaultInstance()).build());
  private static final EncodedResponse REQUEST_BODY =
      new EncodedResponse(ProcessingResponse.newBuilder().setRequestBody(BodyResponse.getDefaultInstance()).build());
  private static final EncodedResponse RESPONSE_BODY =
      new EncodedResponse(ProcessingResponse.newBuilder().setResponseBody(BodyResponse.getDefaultInstance()).build());

  private final ProcessorConfig config;

  ResponseFactory(ProcessorConfig config) {
    this.config = config;
  }

  /** The selected upstream, as the reply to the request headers or, if {@code inBody}, to the buffered request body. */
  EncodedResponse destination(SocketAddress address, boolean inBody, ProtocolConfiguration protocol) {
    ByteString value = ByteString.copyFromUtf8(hostPort((InetSocketAddress) address));
    HeaderMutation.Builder mutation = HeaderMutation.newBuilder().addSetHeaders(headerOption(config.headerNames().destination(), value));
    config.headerNames().strip().forEach(mutation::addRemoveHeaders);
    CommonResponse common =
        CommonResponse.newBuilder().setHeaderMutation(mutation).setClearRouteCache(true).build();
    ProcessingResponse.Builder reply = ProcessingResponse.newBuilder();
    if (inBody) {
      reply.setRequestBody(BodyResponse.newBuilder().setResponse(common));
    } else {
      reply.setRequestHeaders(HeadersResponse.newBuilder().setResponse(common));
      if (config.askForResponses()) {
        reply.setModeOverride(ProcessingMode.newBuilder().setResponseHeaderMode(HeaderSendMode.SEND)
            .setRequestBodyMode(protocol.getRequestBodyMode()).setResponseBodyMode(protocol.getResponseBodyMode()));
      }
    }
    Struct destination = Struct.newBuilder().putFields(config.headerNames().destination(),
        Value.newBuilder().setStringValueBytes(value).build()).build();
    return new EncodedResponse(reply.setDynamicMetadata(Struct.newBuilder().putFields(config.headerNames().metadata(),
        Value.newBuilder().setStructValue(destination).build())).build());
  }

  private static String hostPort(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + address.getPort();
  }

  private static HeaderValueOption.Builder headerOption(String name, ByteString value) {
    return HeaderValueOption.newBuilder().setAppendAction(HeaderAppendAction.OVERWRITE_IF_EXISTS_OR_ADD)
        .setHeader(HeaderValue.newBuilder().setKey(name).setRawValue(value));
  }

  /** A rejection (429) or a failure (502, which unlike 503 does not imply that a retry is safe). */
  EncodedResponse localReply(LocalReply reply, boolean grpc) {
    HeaderMutation.Builder headers =
        HeaderMutation.newBuilder().addSetHeaders(headerOption(REASON, ByteString.copyFromUtf8(reply.reason().code())));
    if (reply.retryAfterNanos() > 0) {
      String seconds = BigDecimal.valueOf((long) Math.ceil(reply.retryAfterNanos() / 1e6), 3).toPlainString();
      headers.addSetHeaders(headerOption("retry-after", ByteString.copyFromUtf8(seconds)));
    }
    return immediate(reply.rejected() ? TOO_MANY_REQUESTS : BAD_GATEWAY, headers, reply.reason().code(),
        reply.reason().code(), grpc, reply.rejected() ? GRPC_EXHAUSTED : GRPC_UNKNOWN);
  }

  /** An immediate response to a call that can't be accepted. */
  EncodedResponse invalid(int status, String message, String reason, boolean grpc) {
    return immediate(status, HeaderMutation.newBuilder().addSetHeaders(headerOption(REASON, ByteString.copyFromUtf8(reason))), message,
        reason, grpc, GRPC_INVALID);
  }

  private static EncodedResponse immediate(int status, HeaderMutation.Builder headers, String text, String details,
      boolean grpc, int grpcStatus) {
    ImmediateResponse.Builder reply = ImmediateResponse.newBuilder().setStatus(HttpStatus.newBuilder().setCode(status))
        .setHeaders(headers).setBody(ByteString.copyFromUtf8(text + "\n")).setDetails("ashdeck_" + details);
    if (grpc) {
      reply.setGrpcStatus(GrpcStatus.newBuilder().setStatus(grpcStatus));
    }
    return new EncodedResponse(ProcessingResponse.newBuilder().setImmediateResponse(reply).build());
  }

  /**
   * Passes a chunk of a body on unchanged. In full duplex mode the caller has handed the chunk over and forwards only what it receives
   * back; in all other modes it keeps the chunk and waits for an empty reply.
   */
  static EncodedResponse body(HttpBody chunk, boolean isRequest, BodySendMode mode) {
    if (mode != BodySendMode.FULL_DUPLEX_STREAMED) {
      return isRequest ? REQUEST_BODY : RESPONSE_BODY;
    }
    StreamedBodyResponse echo = StreamedBodyResponse.newBuilder().setBody(chunk.getBody())
        .setEndOfStream(chunk.getEndOfStream()).build();
    BodyResponse reply = BodyResponse.newBuilder().setResponse(CommonResponse.newBuilder()
        .setBodyMutation(BodyMutation.newBuilder().setStreamedResponse(echo))).build();
    return new EncodedResponse(isRequest ? ProcessingResponse.newBuilder().setRequestBody(reply).build()
        : ProcessingResponse.newBuilder().setResponseBody(reply).build());
  }
}
