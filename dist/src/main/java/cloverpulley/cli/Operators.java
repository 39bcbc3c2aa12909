package cloverpulley.cli;

import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.Settings;
import cloverpulley.config.BadFileException;
import cloverpulley.config.OperatorsFile;
import cloverpulley.config.Section;
import cloverpulley.config.ServiceSection;
import cloverpulley.dns.DnsConfig;
import cloverpulley.fleet.FleetSource;
import cloverpulley.processor.ProcessorConfig;
import java.nio.file.Path;

/**
 * The operators' file, whole: every command reads all of it, so that what is wrong shows whichever is started.
 *
 * @param fleet null, as the processor, where the file speaks of DNS alone
 * @param dns null where the file does not speak of it
 */
record Operators(Settings settings, FleetSource fleet, ProcessorConfig processor, DnsConfig dns) {

  static Operators read(Path path) throws BadFileException {
    return OperatorsFile.read(path, Operators::read);
  }

  static Operators read(Section file) {
    // A file that speaks of nothing but DNS needs no fleet of quote servers and no classes of quotes.
    if (file.has("dns") && !file.has("class") && !file.has("fleet") && !file.has("processor")) {
      DnsConfig dns = DnsConfig.read(file.table("dns"), null);
      return new Operators(dns.settings(), null, null, dns);
    }
    Settings settings = ServiceSection.read(file);
    long longest = settings.classes().stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0)
        + settings.classes().stream().mapToLong(RequestClass::dedupWindowNanos).max().orElse(0);
    return new Operators(settings, FleetSource.read(file.table("fleet")),
        ProcessorConfig.read(file.table("processor"), longest),
        file.has("dns") ? DnsConfig.read(file.table("dns"), settings) : null);
  }
}
