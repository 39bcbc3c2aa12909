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

/** TLS and mutual TLS from files. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class TlsTest {

  @TempDir
  Path folder;

  private final Rig rig = new Rig();
  private X509Bundle ca;
  private X509Bundle server;
  private X509Bundle client;

  @BeforeEach
  void certificates() throws Exception {
    ca = new CertificateBuilder().subject("CN=ca").setIsCertificateAuthority(true).buildSelfSigned();
    server = new CertificateBuilder().subject("CN=localhost").addSanDnsName("localhost").buildIssuedBy(ca);
    client = new CertificateBuilder().subject("CN=caller").buildIssuedBy(ca);
    Files.writeString(folder.resolve("server.pem"), server.getCertificatePathPEM());
    Files.writeString(folder.resolve("server.key"), server.getPrivateKeyPEM());
    Files.writeString(folder.resolve("ca.pem"), ca.getCertificatePathPEM());
  }

  @AfterEach
  void close() throws Exception {
    rig.close();
  }

  private String tls(boolean mutual) {
    return "[processor.tls]\ncertificate = \"" + folder.resolve("server.pem") + "\"\nkey = \"" + folder.resolve("server.key")
        + "\"\n" + (mutual ? "client_ca = \"" + folder.resolve("ca.pem") + "\"\n" : "");
  }

  private StandInCaller caller(X509Bundle own) throws Exception {
    SslContextBuilder context = GrpcSslContexts.forClient().trustManager(ca.getCertificate());
    if (own != null) {
      context.keyManager(own.getKeyPair().getPrivate(), own.getCertificatePath());
    }
    return rig.keep(new StandInCaller(NettyChannelBuilder.forAddress(rig.server.address()).overrideAuthority("localhost")
        .sslContext(context.build())));
  }

  private static void isServed(StandInCaller caller) throws Exception {
    assertTrue(caller.open().send(StandInCaller.request("x-qos", "safe")).next().hasRequestHeaders());
  }

  private static void isTurnedAway(StandInCaller caller) throws Exception {
    assertEquals(Status.Code.UNAVAILABLE, caller.open().send(StandInCaller.request("x-qos", "safe")).closed().getCode());
  }

  @Test
  void aCallerOverTlsIsServedAndOneInPlaintextIsNot() throws Exception {
    rig.start("", Rig.servers("127.0.0.1:1") + tls(false));
    isServed(caller(null));
    isTurnedAway(rig.keep(new StandInCaller(rig.server.address())));
  }

  @Test
  void mutualTlsWantsACertificateOfItsOwnAuthority() throws Exception {
    rig.start("", Rig.servers("127.0.0.1:1") + tls(true));
    isServed(caller(client));
    isTurnedAway(caller(null));
    isTurnedAway(caller(new CertificateBuilder().subject("CN=stranger").setIsCertificateAuthority(true).buildSelfSigned()));
  }

  @Test
  void plaintextIsForLoopbackAndFilesHaveToBeThere() {
    String text = Rig.CLASSES + "[processor]\nlisten = \"10.0.0.1:9002\"\n" + Rig.servers("127.0.0.1:1");
    InvalidConfigException e = assertThrows(InvalidConfigException.class,
        () -> cloverpulley.config.ConfigFile.parse("f", text, Rig.Told::read));
    assertTrue(e.getMessage().contains("processor.listen: expected [processor.tls]"), e.getMessage());
    InvalidConfigException missing = assertThrows(InvalidConfigException.class,
        () -> rig.start("", Rig.servers("127.0.0.1:1") + tls(false).replace("server.key", "none.key")));
    assertTrue(missing.getMessage().contains("processor.tls.key: expected a file"), missing.getMessage());
  }
}
