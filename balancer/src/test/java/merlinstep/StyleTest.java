package merlinstep;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The limits within which the operators read and approve the module. */
class StyleTest {

    private static final Path RULES = Path.of("balancer/src/main/java/merlinstep/Rules.java");

    @Test
    void theModuleStaysShort() throws IOException {
        long lines = Files.readAllLines(RULES).stream()
                .filter(line -> !line.isBlank())
                .count();
        assertTrue(lines <= 940, lines + " lines that are not blank");
    }

    @Test
    void itsLinesStayShort() throws IOException {
        List<String> tooLong = Files.readAllLines(RULES).stream()
                .filter(line -> line.length() > 110)
                .toList();
        assertTrue(tooLong.isEmpty(), tooLong.toString());
    }

    @Test
    void itsTopNamesTheInterface() throws IOException {
        assertTrue(Files.readAllLines(RULES).stream().limit(25).anyMatch(line -> line.contains("Decisions.java")));
    }
}
