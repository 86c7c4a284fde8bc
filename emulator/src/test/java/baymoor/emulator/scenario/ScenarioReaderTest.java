package baymoor.emulator.scenario;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.Test;

/** Defaults and units of scenario files, and the messages for invalid ones. */
public class ScenarioReaderTest {

    private static List<String> mistakes(String text) {
        return assertThrows(BadScenario.class, () -> ScenarioReader.parse(text, "f.toml")).mistakes().stream()
                .map(m -> m.text("f.toml"))
                .toList();
    }

    @Test
    public void emptyFileYieldsDefaultSite() throws BadScenario {
        Scenario s = ScenarioReader.parse("", "some/where/calm.toml");
        assertEquals("calm", s.name());
        assertEquals(4, s.balancers().count());
        assertEquals(12, s.routerCount());
        assertEquals(170, s.traffic().rate(), 0);
        assertEquals(
                List.of("map-read", "search-order", "parcel-watch"),
                s.classes().stream().map(Scenario.RequestClass::name).toList());
    }

    @Test
    public void parsesEveryUnit() throws BadScenario {
        Scenario s = ScenarioReader.parse("""
                duration = "1.5m"
                warm_up = "250ms"
                [net]
                same_zone = "300us"
                cross_zone = ["5ms", "0.01s"]
                [traffic]
                rate = "6000/m"
                retry = "12.5%"
                [keys]
                size = "2KiB"
                """, "f");
        assertEquals(90_000_000, s.durationMicros());
        assertEquals(250_000, s.warmUpMicros());
        assertEquals(300, s.net().same());
        assertEquals(new Span(5_000, 10_000), s.net().cross());
        assertEquals(100, s.traffic().rate(), 1e-9);
        assertEquals(0.125, s.traffic().retry(), 1e-9);
        assertEquals(2048, s.keys().size());
    }

    @Test
    public void timeWithoutUnitIsRejectedWithExample() {
        assertEquals(
                List.of(
                        "f.toml:1:1: duration = 60 has no unit; write a time such as \"800ms\" (units: us, ms, s, m, h)"),
                mistakes("duration = 60"));
        assertEquals(
                List.of(
                        "f.toml:1:1: duration = 60 has no unit; write a time such as \"800ms\" (units: us, ms, s, m, h)"),
                mistakes("duration = \"60\""));
    }

    @Test
    public void unquotedQuantityIsRejectedWithExample() {
        List<String> messages = mistakes("\nduration = 60s\n");
        assertTrue(
                messages.toString(),
                messages.get(0).startsWith("f.toml:2:") && messages.get(0).contains("write duration = \"60s\""));
    }

    @Test
    public void reportsAllMistakesWithPositions() {
        List<String> messages = mistakes("""
                durration = "60s"
                [balancers]
                count = 0
                [traffic]
                rate = "fast"
                retry = "150%"
                [[script]]
                at = "5s"
                do = "cut"
                for = "2s"
                [[script]]
                at = "900s"
                do = "surges"
                for = "1s"
                """);
        assertEquals(7, messages.size());
        assertTrue(
                messages.toString(),
                messages.stream()
                        .anyMatch(m -> m.startsWith("f.toml:1:1: durration is not a field; did you mean duration?")));
        assertTrue(
                messages.toString(),
                messages.stream().anyMatch(m -> m.startsWith("f.toml:3:1: balancers.count is 0, under 1")));
        assertTrue(
                messages.toString(),
                messages.stream().anyMatch(m -> m.startsWith("f.toml:5:1: traffic.rate = \"fast\" is not a rate")));
        assertTrue(
                messages.toString(),
                messages.stream().anyMatch(m -> m.startsWith("f.toml:6:1: traffic.retry is out of range")));
        assertTrue(messages.toString(), messages.stream().anyMatch(m -> m.contains("script[1].zone is missing")));
        assertTrue(messages.toString(), messages.stream().anyMatch(m -> m.contains("script[2].at is after the end")));
        assertTrue(
                messages.toString(),
                messages.stream().anyMatch(m -> m.contains("script[2].do = \"surges\" is none of surge, scan")));
    }

    @Test
    public void syntaxErrorIsReportedWithPosition() {
        assertTrue(mistakes("a = \n").get(0).startsWith("f.toml:1:"));
    }

    @Test
    public void sharesMustSumToOneHundredPercent() {
        assertTrue(mistakes("""
                [[tenants]]
                name = "a"
                share = "60%"
                """).get(0).contains("tenants have shares that sum to 60.0%"));
    }

    @Test
    public void malformedInputRaisesOnlyBadScenario() throws IOException {
        String validText = Files.readString(Path.of("examples/scenarios/bad-routers.toml"));
        for (int i = 0; i < validText.length(); i += 7) {
            String truncated = validText.substring(0, i);
            String corrupted = validText.substring(0, i) + "]" + validText.substring(i + 1);
            for (String text : new String[] {truncated, corrupted}) {
                try {
                    ScenarioReader.parse(text, "f");
                } catch (BadScenario e) {
                    assertTrue(e.mistakes().stream().allMatch(m -> !m.what().isEmpty()));
                }
            }
        }
    }

    @Test
    public void allExampleScenariosAreValid() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("examples/scenarios"))) {
            for (Path file : files.toList()) {
                ScenarioReader.read(file);
            }
        }
    }
}
