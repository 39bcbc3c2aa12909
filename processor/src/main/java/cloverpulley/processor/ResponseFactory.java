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

/** The protocol's messages for each thing that is to be said. */
final class ResponseFactory {

  /** Where records and callers find why. */
  static final String REASON = "x-ashdeck-reason";
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int BAD_GATEWAY = 502;
  /** gRPC's RESOURCE_EXHAUSTED, UNKNOWN, INVALID_ARGUMENT: a failure promises nothing, so it is not UNAVAILABLE. */
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

  /** The destination, as the reply to the request's headers or, where {@code inBody}, to its buffered body. */
  EncodedResponse send(SocketAddress address, boolean inBody, ProtocolConfiguration protocol) {
    ByteString value = ByteString.copyFromUtf8(text((InetSocketAddress) address));
    HeaderMutation.Builder mutation = HeaderMutation.newBuilder().addSetHeaders(set(config.names().destination(), value));
    config.names().strip().forEach(mutation::addRemoveHeaders);
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
    Struct destination = Struct.newBuilder().putFields(config.names().destination(),
        Value.newBuilder().setStringValueBytes(value).build()).build();
    return new EncodedResponse(reply.setDynamicMetadata(Struct.newBuilder().putFields(config.names().metadata(),
        Value.newBuilder().setStructValue(destination).build())).build());
  }

  private static String text(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + address.getPort();
  }

  private static HeaderValueOption.Builder set(String name, ByteString value) {
    return HeaderValueOption.newBuilder().setAppendAction(HeaderAppendAction.OVERWRITE_IF_EXISTS_OR_ADD)
        .setHeader(HeaderValue.newBuilder().setKey(name).setRawValue(value));
  }

  /** A refusal (429) or a failure (502: unlike 503 it does not tell the caller that trying again is harmless). */
  EncodedResponse end(LocalReply verdict, boolean grpc) {
    HeaderMutation.Builder headers =
        HeaderMutation.newBuilder().addSetHeaders(set(REASON, ByteString.copyFromUtf8(verdict.reason().code())));
    if (verdict.retryAfterNanos() > 0) {
      String seconds = BigDecimal.valueOf((long) Math.ceil(verdict.retryAfterNanos() / 1e6), 3).toPlainString();
      headers.addSetHeaders(set("retry-after", ByteString.copyFromUtf8(seconds)));
    }
    return immediate(verdict.rejected() ? TOO_MANY_REQUESTS : BAD_GATEWAY, headers, verdict.reason().code(),
        verdict.reason().code(), grpc, verdict.rejected() ? GRPC_EXHAUSTED : GRPC_UNKNOWN);
  }

  /** What can't be read is answered at once. */
  EncodedResponse bad(int status, String what, String reason, boolean grpc) {
    return immediate(status, HeaderMutation.newBuilder().addSetHeaders(set(REASON, ByteString.copyFromUtf8(reason))), what,
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
   * A piece of a body, untouched. In full duplex mode the caller has let go of it and takes only what it is sent back; in all
   * others it keeps it and waits for the word to go on.
   */
  static EncodedResponse body(HttpBody piece, boolean request, BodySendMode mode) {
    if (mode != BodySendMode.FULL_DUPLEX_STREAMED) {
      return request ? REQUEST_BODY : RESPONSE_BODY;
    }
    StreamedBodyResponse same = StreamedBodyResponse.newBuilder().setBody(piece.getBody())
        .setEndOfStream(piece.getEndOfStream()).build();
    BodyResponse reply = BodyResponse.newBuilder().setResponse(CommonResponse.newBuilder()
        .setBodyMutation(BodyMutation.newBuilder().setStreamedResponse(same))).build();
    return new EncodedResponse(request ? ProcessingResponse.newBuilder().setRequestBody(reply).build()
        : ProcessingResponse.newBuilder().setResponseBody(reply).build());
  }
}
