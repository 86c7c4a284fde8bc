package baymoor.cli;

import ch.qos.logback.classic.Level;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** The command line {@code baymoor}. Exit codes: 0 done, 1 done and the result is bad, or it failed, 2 usage. */
@Command(
        name = "baymoor",
        mixinStandardHelpOptions = true,
        versionProvider = Versions.class,
        description = "Balances requests over cache routers and the origin behind them, and rehearses doing so.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:the result is bad (a rule broke, a file has mistakes), or it could not be done",
            "2:the command line could not be read"
        },
        subcommands = {
            Serve.class,
            Check.class,
            Demo.class,
            Emulate.class,
            KnowledgeCommand.class,
            ScaleCommand.class,
            Version.class,
            AutoComplete.GenerateCompletion.class
        })
public final class Main implements Runnable {

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--log-format",
            scope = ScopeType.INHERIT,
            defaultValue = "text",
            paramLabel = "FORMAT",
            description = "How log lines on standard error look: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE}).")
    private Logging.Format format;

    @Option(
            names = "--log-level",
            scope = ScopeType.INHERIT,
            defaultValue = "INFO",
            paramLabel = "LEVEL",
            description = "The least level that is logged: TRACE, DEBUG, INFO, WARN, ERROR, OFF (${DEFAULT-VALUE}).")
    private String level;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is missing");
    }

    private int configured(CommandLine.ParseResult parsed) {
        Level known = Level.toLevel(level, null);
        if (known == null) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--log-level: no such level: " + level);
        }
        Logging.set(format, known);
        return new CommandLine.RunLast().execute(parsed);
    }

    /** The whole command line, for the program and for tests. */
    static CommandLine commandLine() {
        Main main = new Main();
        CommandLine line = new CommandLine(main).setCaseInsensitiveEnumValuesAllowed(true);
        line.setExecutionStrategy(main::configured);
        line.setExecutionExceptionHandler((failure, command, parsed) -> {
            command.getErr()
                    .println(command.getCommandSpec().qualifiedName() + ": "
                            + (failure instanceof Failed ? failure.getMessage() : failure.toString()));
            return CommandLine.ExitCode.SOFTWARE;
        });
        line.getSubcommands()
                .get("generate-completion")
                .getCommandSpec()
                .usageMessage()
                .description(
                        "Print a completion script for bash and zsh; use it as: source <(baymoor generate-completion)");
        return line;
    }

    /** Runs the command line and exits with its code. */
    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }
}
