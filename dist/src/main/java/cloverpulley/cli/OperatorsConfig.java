package cloverpulley.cli;

import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.Settings;
import cloverpulley.agree.AgreeConfig;
import cloverpulley.config.ConfigFile;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.config.Section;
import cloverpulley.config.ServiceSection;
import cloverpulley.dns.DnsConfig;
import cloverpulley.dnssd.DnsSdConfig;
import cloverpulley.dnssd.PublishConfig;
import cloverpulley.fleet.FleetSource;
import cloverpulley.processor.ProcessorConfig;
import cloverpulley.quota.service.QuotaConfig;
import cloverpulley.records.RecordsConfig;
import java.nio.file.Path;

/**
 * The parsed operators' file. Every command reads all of it, so that errors are reported whichever command is started.
 *
 * @param fleet where servers come from; null, as is the processor, if the file configures only DNS
 * @param dns the DNS front end; null if not configured
 * @param dnssd DNS-SD discovery of the fleet, for the tools; null if the fleet does not use it
 * @param records where event records are written
 * @param quota the quotas; null if not configured
 * @param balance the HTTP balancer; null if not configured
 * @param agree the fleet's shared disruption ledger; null if not configured
 * @param log logging
 * @param publish self-registration in DNS-SD; null if not configured
 */
record OperatorsConfig(Settings settings, FleetSource fleet, ProcessorConfig processor, DnsConfig dns, DnsSdConfig dnssd,
    PublishConfig publish, RecordsConfig records, LogConfig log,
    QuotaConfig quota, BalanceConfig balance, AgreeConfig agree) {

  static OperatorsConfig read(Path path) throws InvalidConfigException {
    return ConfigFile.read(path, OperatorsConfig::read);
  }

  static OperatorsConfig read(Section file) {
    // A file that configures only DNS needs no fleet of quote servers and no request classes.
    if (file.has("dns") && !file.has("class") && !file.has("fleet") && !file.has("processor")) {
      DnsConfig dns = DnsConfig.read(file.table("dns"), null);
      return new OperatorsConfig(dns.settings(), null, null, dns, null, publish(file), records(file), LogConfig.read(file.table("log")),
          quota(file), null, null);
    }
    Settings settings = ServiceSection.read(file);
    long retentionNanos = settings.classes().stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0)
        + settings.classes().stream().mapToLong(RequestClass::dedupWindowNanos).max().orElse(0);
    Section fleet = file.table("fleet");
    return new OperatorsConfig(settings, FleetSource.read(fleet),
        ProcessorConfig.read(file.table("processor"), retentionNanos),
        file.has("dns") ? DnsConfig.read(file.table("dns"), settings) : null,
        fleet.has("dnssd") ? DnsSdConfig.read(fleet.table("dnssd")) : null, publish(file), records(file), LogConfig.read(file.table("log")),
        quota(file), file.has("balance") ? BalanceConfig.read(file.table("balance")) : null,
        file.has("agree") ? AgreeConfig.read(file.table("agree"), settings.zone()) : null);
  }

  private static QuotaConfig quota(Section file) {
    return file.has("quota") ? QuotaConfig.read(file.table("quota")) : null;
  }

  private static RecordsConfig records(Section file) {
    return RecordsConfig.read(file.table("records"));
  }

  private static PublishConfig publish(Section file) {
    return file.has("publish") ? PublishConfig.read(file.table("publish")) : null;
  }
}
