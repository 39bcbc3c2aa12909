package cloverpulley.cli;

import cloverpulley.Balancer.RequestClass;
import cloverpulley.Balancer.Settings;
import cloverpulley.config.BadFileException;
import cloverpulley.config.OperatorsFile;
import cloverpulley.config.Section;
import cloverpulley.config.ServiceSection;
import cloverpulley.processor.FleetSource;
import cloverpulley.processor.ProcessorConfig;
import java.nio.file.Path;

/** The operators' file, whole: every command reads all of it, so that what is wrong shows whichever is started. */
record Operators(Settings settings, FleetSource fleet, ProcessorConfig processor) {

  static Operators read(Path path) throws BadFileException {
    return OperatorsFile.read(path, Operators::read);
  }

  static Operators read(Section file) {
    Settings settings = ServiceSection.read(file);
    long longest = settings.classes().stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0)
        + settings.classes().stream().mapToLong(RequestClass::dedupWindowNanos).max().orElse(0);
    return new Operators(settings, FleetSource.read(file.table("fleet")),
        ProcessorConfig.read(file.table("processor"), longest));
  }
}
