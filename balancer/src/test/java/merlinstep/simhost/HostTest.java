package merlinstep.simhost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Test;

class HostTest {

    private static final String ATTACH =
            "ATTACH\tbalancer=3\tnonce64=5\taz=a\tclasses.count=1\tclasses.0.effect=retryable"
                    + "\tclasses.0.group=all\tclasses.0.hard_limit=2500000\tclasses.0.name=view\tclasses.0.on_time=800000"
                    + "\textra.mode=aside\textra.origin_kind=1\tlimits.max_attempts=6\tme=0\tsiblings=1\tskus=std,origin"
                    + "\ttick=5000\tunknown.setting=7\n";
    private static final String SERVER_LIST =
            "PAGE\tpage=0\trows=1\nENTRY\thost=7\tsize=1.5\tshape=std\tstage_state=live"
                    + "\track_zone=a\tblock=0\nSYNC\tbalancer=3\tkind=cached\trevision=1\tpage=0\n";
    private static final String REQUEST =
            "INBOUND\tbalancer=3\ttxn=id-1\tgrade=view\troute_key=91f03b7c55d20a64\tdeadline=2000000\tmore=1\n";

    private record Result(int status, String out, String err) {}

    private static Result run(String input) throws IOException {
        return run(input.getBytes(StandardCharsets.UTF_8));
    }

    private static Result run(byte[] input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int status = new Host(new ByteArrayInputStream(input), out, new PrintStream(err, true)).run();
        return new Result(status, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void emptyRoundGetsReadyOnly() throws IOException {
        assertEquals(new Result(0, "READY\n", ""), run("ROUND\tat_time=1\nFLUSH\n"));
    }

    @Test
    void requestIsDispatchedToTheListedServer() throws IOException {
        Result result = run("ROUND\tat_time=1\n" + ATTACH + SERVER_LIST + REQUEST + "FLUSH\n");
        assertEquals("", result.err());
        assertTrue(result.out().contains("DISPATCH\tbalancer=3\ttxn=id-1\ttimeout=800000\thost=7\n"), result.out());
        assertTrue(result.out().endsWith("READY\n"), result.out());
    }

    @Test
    void serverListUsesTheLatestContentOfItsPage() throws IOException {
        String secondList = SERVER_LIST.replace("host=7", "host=8").replace("cached", "full");
        Result result = run("ROUND\tat_time=1\n" + ATTACH + SERVER_LIST + secondList + REQUEST + "FLUSH\n");
        assertTrue(result.out().contains("host=8"), result.out());
    }

    @Test
    void restartWithinOneRoundDiscardsAllState() throws IOException {
        Result result = run("ROUND\tat_time=1\n" + ATTACH + SERVER_LIST + "POWER_OFF\tbalancer=3\n" + REQUEST + ATTACH
                + SERVER_LIST.replace("host=7", "host=9") + REQUEST.replace("id-1", "id-2") + "FLUSH\n");
        assertTrue(
                !result.out().contains("id-1") && result.out().contains("txn=id-2\ttimeout=800000\thost=9"),
                result.out());
    }

    @Test
    void malformedLineIsReportedWithNumberTypeAndField() throws IOException {
        String[][] cases = {
            {"FLUSH\n", "line 1: FLUSH"},
            {"ROUND\n", "line 1: ROUND: at_time"},
            {"ROUND\tat_time=1\nNONSENSE\tbalancer=3\n", "line 2: NONSENSE"},
            {"ROUND\tat_time=1\nINBOUND\tbalancer=3\n", "line 2: INBOUND: txn"},
            {"ROUND\tat_time=1\nWAKEUP\tbalancer=x\tkey_back=1\n", "line 2: WAKEUP: balancer"},
            {"ROUND\tat_time=1\nSYNC\tbalancer=3\tkind=full\tpage=4\n", "line 2: SYNC: page"},
            {"ROUND\tat_time=1\nMAIL\tbalancer=3\tfrom=1\tcontent=%%\n", "line 2: MAIL: content"},
            {"ROUND\tat_time=1\n", "FLUSH"},
        };
        for (String[] testCase : cases) {
            Result result = run(testCase[0]);
            assertEquals(2, result.status(), testCase[0]);
            assertEquals("", result.out(), testCase[0]);
            assertTrue(
                    result.err().contains(testCase[1]) && result.err().lines().count() == 1, result.err());
        }
    }

    @Test
    void invalidSettingsStopOnlyTheInstance() throws IOException {
        Result result = run("ROUND\tat_time=1\n" + ATTACH.replace("siblings=1", "siblings=0") + "FLUSH\n");
        assertEquals(0, result.status());
        assertTrue(
                result.out().contains("BAIL_OUT\tbalancer=3\twhat=")
                        && result.out().endsWith("READY\n"),
                result.out());
        assertTrue(result.err().contains("IllegalArgumentException"), result.err());
    }

    @Test
    void corruptedInputYieldsCompleteRepliesAndADocumentedExitStatus() throws IOException {
        byte[] validInput = ("ROUND\tat_time=1\n" + ATTACH + SERVER_LIST + REQUEST + "FLUSH\nROUND\tat_time=9000\n"
                        + "WAKEUP\tbalancer=3\tkey_back=1\nFLUSH\n")
                .getBytes(StandardCharsets.UTF_8);
        Random random = new Random(3);
        for (int round = 0; round < 3_000; round++) {
            byte[] corrupted = java.util.Arrays.copyOf(validInput, 1 + random.nextInt(validInput.length));
            for (int i = random.nextInt(4); i > 0; i--) {
                corrupted[random.nextInt(corrupted.length)] = (byte) "\t\n=x9-".charAt(random.nextInt(6));
            }
            Result result = run(corrupted);
            assertTrue(result.status() == 0 || result.status() == 2, "status " + result.status());
            assertTrue(result.out().isEmpty() || result.out().endsWith("READY\n"), result.out());
        }
    }
}
