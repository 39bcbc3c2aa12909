package cloverpulley.processor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.config.InvalidConfigException;
import cloverpulley.standins.StandInCaller;
import io.grpc.Status;
import io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** TLS and mutual TLS with certificates from files. */
@Timeout(value = 2 * Rig.TIMEOUT_S, unit = TimeUnit.SECONDS)
class TlsTest {

  @TempDir
  Path directory;

  private final Rig rig = new Rig();
  private X509Bundle ca;
  private X509Bundle server;
  private X509Bundle client;

  @BeforeEach
  void certificates() throws Exception {
    ca = new CertificateBuilder().subject("CN=ca").setIsCertificateAuthority(true).buildSelfSigned();
    server = new CertificateBuilder().subject("CN=localhost").addSanDnsName("localhost").buildIssuedBy(ca);
    client = new CertificateBuilder().subject("CN=caller").buildIssuedBy(ca);
    Files.writeString(directory.resolve("server.pem"), server.getCertificatePathPEM());
    Files.writeString(directory.resolve("server.key"), server.getPrivateKeyPEM());
    Files.writeString(directory.resolve("ca.pem"), ca.getCertificatePathPEM());
  }

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  private String tls(boolean mutual) {
    return "[processor.tls]\ncertificate = \"" + directory.resolve("server.pem") + "\"\nkey = \"" + directory.resolve("server.key")
        + "\"\n" + (mutual ? "client_ca = \"" + directory.resolve("ca.pem") + "\"\n" : "");
  }

  private StandInCaller caller(X509Bundle certificate) throws Exception {
    SslContextBuilder context = GrpcSslContexts.forClient().trustManager(ca.getCertificate());
    if (certificate != null) {
      context.keyManager(certificate.getKeyPair().getPrivate(), certificate.getCertificatePath());
    }
    return rig.closeLater(new StandInCaller(NettyChannelBuilder.forAddress(rig.server.address()).overrideAuthority("localhost")
        .sslContext(context.build())));
  }

  private static void assertServed(StandInCaller caller) throws Exception {
    assertTrue(caller.open().send(StandInCaller.request("x-qos", "safe")).next().hasRequestHeaders());
  }

  private static void assertRejected(StandInCaller caller) throws Exception {
    assertEquals(Status.Code.UNAVAILABLE, caller.open().send(StandInCaller.request("x-qos", "safe")).closed().getCode());
  }

  @Test
  void servesTlsAndRejectsPlaintext() throws Exception {
    rig.start("", Rig.servers("127.0.0.1:1") + tls(false));
    assertServed(caller(null));
    assertRejected(rig.closeLater(new StandInCaller(rig.server.address())));
  }

  @Test
  void mutualTlsRequiresACertificateOfTheConfiguredAuthority() throws Exception {
    rig.start("", Rig.servers("127.0.0.1:1") + tls(true));
    assertServed(caller(client));
    assertRejected(caller(null));
    assertRejected(caller(new CertificateBuilder().subject("CN=stranger").setIsCertificateAuthority(true).buildSelfSigned()));
  }

  @Test
  void plaintextRequiresLoopbackAndTlsFilesMustExist() {
    String text = Rig.CLASSES + "[processor]\nlisten = \"10.0.0.1:9002\"\n" + Rig.servers("127.0.0.1:1");
    InvalidConfigException e = assertThrows(InvalidConfigException.class,
        () -> cloverpulley.config.ConfigFile.parse("f", text, Rig.ParsedConfig::read));
    assertTrue(e.getMessage().contains("processor.listen: expected [processor.tls]"), e.getMessage());
    InvalidConfigException missing = assertThrows(InvalidConfigException.class,
        () -> rig.start("", Rig.servers("127.0.0.1:1") + tls(false).replace("server.key", "none.key")));
    assertTrue(missing.getMessage().contains("processor.tls.key: expected a file"), missing.getMessage());
  }
}
