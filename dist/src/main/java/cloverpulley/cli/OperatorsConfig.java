package cloverpulley.cli;

import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.Settings;
import cloverpulley.agree.AgreeConfig;
import cloverpulley.config.BadFileException;
import cloverpulley.config.OperatorsFile;
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
 * The operators' file, whole: every command reads all of it, so that what is wrong shows whichever is started.
 *
 * @param fleet null, as the processor, where the file speaks of DNS alone
 * @param dns null where the file does not speak of it
 * @param dnssd what the fleet is found by, for the tools; null where it is not by DNS-SD
 * @param records where what happens is written down
 * @param quota who may have how much; null where the file does not speak of it
 * @param balance the HTTP balancer; null where the file does not speak of it
 * @param agree the fleet that agrees on who is out; null where it does not
 * @param log how the program speaks of itself
 * @param publish null where the program does not register itself
 */
record OperatorsConfig(Settings settings, FleetSource fleet, ProcessorConfig processor, DnsConfig dns, DnsSdConfig dnssd,
    PublishConfig publish, RecordsConfig records, LogConfig log,
    QuotaConfig quota, BalanceConfig balance, AgreeConfig agree) {

  static OperatorsConfig read(Path path) throws BadFileException {
    return OperatorsFile.read(path, OperatorsConfig::read);
  }

  static OperatorsConfig read(Section file) {
    // A file that speaks of nothing but DNS needs no fleet of quote servers and no classes of quotes.
    if (file.has("dns") && !file.has("class") && !file.has("fleet") && !file.has("processor")) {
      DnsConfig dns = DnsConfig.read(file.table("dns"), null);
      return new OperatorsConfig(dns.settings(), null, null, dns, null, publish(file), records(file), LogConfig.read(file.table("log")),
          quota(file), null, null);
    }
    Settings settings = ServiceSection.read(file);
    long longest = settings.classes().stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0)
        + settings.classes().stream().mapToLong(RequestClass::dedupWindowNanos).max().orElse(0);
    Section fleet = file.table("fleet");
    return new OperatorsConfig(settings, FleetSource.read(fleet),
        ProcessorConfig.read(file.table("processor"), longest),
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
