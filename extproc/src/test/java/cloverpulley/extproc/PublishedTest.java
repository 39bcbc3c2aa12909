package cloverpulley.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.EnumDescriptor;
import com.google.protobuf.Descriptors.EnumValueDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor.JavaType;
import io.envoyproxy.envoy.config.core.v3.BaseProto;
import io.envoyproxy.envoy.extensions.filters.http.ext_proc.v3.ProcessingModeProto;
import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorProto;
import io.envoyproxy.envoy.type.v3.HttpStatusProto;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** Compares each message with the published one in Envoy's own artifact. */
class PublishedTest {

  private static Descriptor findPublished(String name) {
    for (var file : List.of(ExternalProcessorProto.getDescriptor(), ProcessingModeProto.getDescriptor(),
        BaseProto.getDescriptor(), HttpStatusProto.getDescriptor())) {
      if (file.findMessageTypeByName(name) != null) {
        return file.findMessageTypeByName(name);
      }
    }
    return null;
  }

  @TestFactory
  List<DynamicTest> messagesMatchThePublishedDescriptors() {
    List<DynamicTest> tests = new ArrayList<>();
    for (Descriptor ours : ExtProc.getDescriptor().getMessageTypes()) {
      tests.add(DynamicTest.dynamicTest(ours.getName(), () -> compare(ours, findPublished(ours.getName()))));
    }
    assertTrue(tests.size() > 15);
    return tests;
  }

  private static void compare(Descriptor ours, Descriptor published) {
    assertNotNull(published, ours.getName() + " is published");
    for (FieldDescriptor field : ours.getFields()) {
      FieldDescriptor publishedField = published.findFieldByNumber(field.getNumber());
      assertNotNull(publishedField, field.getFullName());
      assertEquals(publishedField.getName(), field.getName());
      assertEquals(publishedField.isRepeated(), field.isRepeated(), field.getFullName());
      assertEquals(publishedField.isMapField(), field.isMapField(), field.getFullName());
      // An enum is encoded as a varint like an int32, and string and bytes have the same encoding.
      boolean isStatusCode = field.getFullName().endsWith("HttpStatus.code") && publishedField.getJavaType() == JavaType.ENUM;
      assertTrue(isStatusCode || publishedField.getJavaType() == field.getJavaType(), field.getFullName() + ": " + publishedField.getType());
      if (field.getJavaType() == JavaType.MESSAGE && !field.isMapField()) {
        assertEquals(publishedField.getMessageType().getName(), field.getMessageType().getName());
      }
      if (field.getContainingOneof() != null) {
        assertEquals(publishedField.getContainingOneof().getName(), field.getContainingOneof().getName());
      }
    }
    for (EnumDescriptor ourEnum : ours.getEnumTypes()) {
      EnumDescriptor publishedEnum = published.findEnumTypeByName(ourEnum.getName());
      for (EnumValueDescriptor value : ourEnum.getValues()) {
        assertEquals(publishedEnum.findValueByNumber(value.getNumber()).getName(), value.getName());
      }
    }
  }

  @Test
  void serviceMatchesThePublishedOne() {
    var service = ExternalProcessorProto.getDescriptor().findServiceByName("ExternalProcessor");
    assertEquals(service.getFullName() + "/" + service.getMethods().get(0).getName(),
        ExternalProcessor.PROCESS.getFullMethodName());
    assertTrue(service.getMethods().get(0).isClientStreaming() && service.getMethods().get(0).isServerStreaming());
  }
}
