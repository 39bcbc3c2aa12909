package cloverpulley.cli;

import cloverpulley.config.BadFileException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(name = "check", mixinStandardHelpOptions = true,
    description = "Reads an operators' file and says all that is wrong with it: key, line and what was expected.")
final class CheckCommand implements Callable<Integer> {

  @Parameters(paramLabel = "FILE", description = "the operators' file, such as deploy/operators.toml")
  private Path file;

  @Override
  public Integer call() throws BadFileException {
    OperatorsConfig read = OperatorsConfig.read(file);
    String servers = read.fleet() == null ? "DNS alone" : read.fleet().isWritten()
        ? read.fleet().list().members().size() + " servers" : read.fleet().opener() == null ? "servers from discovery"
        : "servers found by a source of its own";
    System.out.println(file + ": ok, " + read.settings().classes().size() + " classes, "
        + read.settings().tenants().size() + " tenants, " + servers);
    if (read.agree() != null) {
      OutsCommand.neverGrant(read).forEach(g -> System.out.println(file + ": agree.group " + g + ": its limit lets nobody out, ever"));
    }
    return 0;
  }
}
