package baymoor.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import net.logstash.logback.encoder.LogstashEncoder;
import net.logstash.logback.fieldnames.LogstashFieldNames;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sets up the tools' log on standard error: text for people, or one JSON object a line for programs. */
final class Logging {

    enum Format {
        text,
        json
    }

    private Logging() {}

    static void set(Format format, Level level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(format == Format.json ? json(context) : text(context));
        appender.start();
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(level);
        root.addAppender(appender);
        context.getLogger("org.apache.mina").setLevel(Level.ERROR);
    }

    private static Encoder<ILoggingEvent> text(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern("%d{\"yyyy-MM-dd'T'HH:mm:ss.SSSXXX\", UTC} %-5level %msg %kvp{NONE}%n");
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> json(LoggerContext context) {
        LogstashEncoder encoder = new LogstashEncoder();
        encoder.setContext(context);
        LogstashFieldNames names = encoder.getFieldNames();
        names.setTimestamp("time");
        names.setMessage("event");
        names.setVersion("[ignore]");
        names.setLevelValue("[ignore]");
        names.setThread("[ignore]");
        names.setLogger("[ignore]");
        encoder.setTimeZone("UTC");
        encoder.start();
        return encoder;
    }
}
