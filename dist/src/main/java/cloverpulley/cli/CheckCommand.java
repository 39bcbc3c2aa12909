package cloverpulley.cli;

import cloverpulley.config.InvalidConfigException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(name = "check", mixinStandardHelpOptions = true,
    description = "Validates an operators' file and prints every error with its key, its line and what was expected.")
final class CheckCommand implements Callable<Integer> {

  @Parameters(paramLabel = "FILE", description = "the operators' file, such as deploy/operators.toml")
  private Path file;

  @Override
  public Integer call() throws InvalidConfigException {
    OperatorsConfig operators = OperatorsConfig.read(file);
    String servers = operators.fleet() == null ? "DNS only" : operators.fleet().isStatic()
        ? operators.fleet().list().members().size() + " servers" : operators.fleet().sourceFactory() == null ? "servers from discovery"
        : "servers from a list provider";
    System.out.println(file + ": ok, " + operators.settings().classes().size() + " classes, "
        + operators.settings().tenants().size() + " tenants, " + servers);
    if (operators.agree() != null) {
      OutsCommand.neverGrant(operators).forEach(g -> System.out.println(file + ": agree.group " + g
          + ": its limit never allows any member to be out"));
    }
    return 0;
  }
}
