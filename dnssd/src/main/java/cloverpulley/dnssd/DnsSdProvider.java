package cloverpulley.dnssd;

import cloverpulley.config.Section;
import cloverpulley.fleet.ListProvider;
import java.security.SecureRandom;

/** {@code [fleet.dnssd]} of an operators' file. */
public final class DnsSdProvider implements ListProvider {

  @Override
  public String key() {
    return "dnssd";
  }

  @Override
  public SourceFactory read(Section s) {
    DnsSdConfig config = DnsSdConfig.read(s);
    return (loop, held, revision, news) -> new DnsSdSource(loop, config, held, revision, news, new SecureRandom().nextLong());
  }
}
