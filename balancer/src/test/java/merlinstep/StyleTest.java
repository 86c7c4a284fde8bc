package merlinstep;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Checks the source layout of the decision module. */
class StyleTest {

    private static final Path RULES = Path.of("balancer/src/main/java/merlinstep/Rules.java");
    private static final Pattern SUPPRESS_ELEMENT = Pattern.compile("<suppress\\b[^>]*>");
    private static final Pattern PLAIN_CHECKS_ATTRIBUTE = Pattern.compile("\\schecks=\"[A-Za-z]+(\\|[A-Za-z]+)*\"");
    private static final Pattern FILES_ATTRIBUTE = Pattern.compile("files=\"([^\"]+)\"");

    @Test
    void formatterIncludesTheModule() throws IOException {
        String pom = Files.readString(Path.of("pom.xml"));
        int formatterIndex = pom.indexOf("<artifactId>spotless-maven-plugin</artifactId>");
        assertTrue(formatterIndex >= 0, "no formatter in pom.xml");
        String configuration = pom.substring(formatterIndex, pom.indexOf("</plugin>", formatterIndex));
        assertTrue(configuration.contains("<include>src/main/java/**/*.java</include>"), configuration);
        assertFalse(configuration.contains("<exclude>"), configuration);
    }

    /** A suppression that matches Rules.java lists plain names of checks and uses no other pattern. */
    @Test
    void noSuppressionDisablesAllChecksForRules() throws IOException {
        String suppressions = Files.readString(Path.of("checkstyle-suppressions.xml"));
        List<String> blanketSuppressions = SUPPRESS_ELEMENT
                .matcher(suppressions)
                .results()
                .map(MatchResult::group)
                .filter(element -> matchesRules(element)
                        && !PLAIN_CHECKS_ATTRIBUTE.matcher(element).find())
                .toList();
        assertTrue(blanketSuppressions.isEmpty(), blanketSuppressions.toString());
    }

    private static boolean matchesRules(String element) {
        Matcher files = FILES_ATTRIBUTE.matcher(element);
        return !files.find()
                || Pattern.compile(files.group(1)).matcher(RULES.toString()).find();
    }

    @Test
    void linesHaveAtMost110Characters() throws IOException {
        List<String> tooLong = Files.readAllLines(RULES).stream()
                .filter(line -> line.length() > 110)
                .toList();
        assertTrue(tooLong.isEmpty(), tooLong.toString());
    }

    @Test
    void headerNamesTheDecisionsInterface() throws IOException {
        assertTrue(Files.readAllLines(RULES).stream().limit(25).anyMatch(line -> line.contains("Decisions.java")));
    }
}
