package cloverpulley.dnssd;

import cloverpulley.config.Section;
import cloverpulley.fleet.ListProvider;
import java.security.SecureRandom;

/** Provides the server list configured by {@code [fleet.dnssd]} in the operators' file. */
public final class DnsSdProvider implements ListProvider {

  @Override
  public String key() {
    return "dnssd";
  }

  @Override
  public SourceFactory read(Section s) {
    DnsSdConfig config = DnsSdConfig.read(s);
    return (loop, cached, revision, updates) -> new DnsSdSource(loop, config, cached, revision, updates, new SecureRandom().nextLong());
  }
}
