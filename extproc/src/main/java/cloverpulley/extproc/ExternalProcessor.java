package cloverpulley.extproc;

import cloverpulley.extproc.ExtProc.ProcessingRequest;
import cloverpulley.extproc.ExtProc.ProcessingResponse;
import io.grpc.MethodDescriptor;
import io.grpc.MethodDescriptor.MethodType;
import io.grpc.protobuf.ProtoUtils;

/** The service {@code envoy.service.ext_proc.v3.ExternalProcessor} and its only method. */
public final class ExternalProcessor {

  public static final String SERVICE = "envoy.service.ext_proc.v3.ExternalProcessor";

  /** One stream for each request that a proxy processes. */
  public static final MethodDescriptor<ProcessingRequest, ProcessingResponse> PROCESS =
      MethodDescriptor.<ProcessingRequest, ProcessingResponse>newBuilder()
          .setType(MethodType.BIDI_STREAMING)
          .setFullMethodName(MethodDescriptor.generateFullMethodName(SERVICE, "Process"))
          .setSampledToLocalTracing(false)
          .setRequestMarshaller(ProtoUtils.marshaller(ProcessingRequest.getDefaultInstance()))
          .setResponseMarshaller(ProtoUtils.marshaller(ProcessingResponse.getDefaultInstance()))
          .build();

  /** The same method for a server that encodes its responses itself. */
  public static final MethodDescriptor<ProcessingRequest, EncodedResponse> PROCESS_ENCODED =
      PROCESS.toBuilder(PROCESS.getRequestMarshaller(), EncodedResponse.MARSHALLER).build();

  private ExternalProcessor() {}
}
