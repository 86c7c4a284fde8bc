package baymoor.north;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import baymoor.FakeLink;
import baymoor.memory.ClientMemory;
import baymoor.memory.ClientMemory.Part;
import baymoor.resp.Resp;
import baymoor.resp.RespException;
import baymoor.resp.RespWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.Test;

/** How much memory partial commands take, and what happens to those that there is none for. */
public class CommandInputTest {

    private static final int LARGE = 60_000;
    private final ClientMemory memory = new ClientMemory(1 << 20, 64);
    private final FakeLink link = new FakeLink();

    private static byte[] largeCommand() {
        return RespWriter.command(RespWriter.utf8("OBJ.SET"), new byte[LARGE]);
    }

    private static byte[] smallCommand() {
        return RespWriter.command(RespWriter.utf8("PING"));
    }

    private CommandInput startOf(byte[] command) throws RespException {
        CommandInput input = new CommandInput(link, memory);
        input.feed(Arrays.copyOf(command, 2_000));
        assertNull(input.next());
        return input;
    }

    private static void feedRest(CommandInput input, byte[] command) {
        input.feed(Arrays.copyOfRange(command, 2_000, command.length));
    }

    /** Guards against a heap filled by partial commands: past their part of it, the content of further ones is not kept. */
    @Test
    public void partialCommandsPastTheLimitAreSkippedAndTheConnectionGoesOn() throws RespException {
        byte[] command = largeCommand();
        long limit = memory.limit(Part.PARTIAL_COMMANDS);
        List<CommandInput> inputs = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            inputs.add(startOf(command));
            assertTrue(memory.held(Part.PARTIAL_COMMANDS) <= limit);
        }
        int kept = (int) (limit / command.length);
        for (int i = 0; i < inputs.size(); i++) {
            CommandInput input = inputs.get(i);
            assertTrue("a partial command is not idle", input.hasPartialCommand());
            feedRest(input, command);
            Resp parsed = input.next();
            assertEquals("command " + i, i >= kept, parsed instanceof Resp.SkippedCommand);
            input.feed(smallCommand());
            assertTrue(input.next() instanceof Resp.Array);
            assertNull(input.next());
        }
        assertEquals(0, memory.held(Part.PARTIAL_COMMANDS));
    }

    @Test
    public void theWindowIsAsLargeAsTheRestOfTheCommandAndThenAsBefore() throws RespException {
        byte[] command = largeCommand();
        CommandInput input = startOf(command);
        assertEquals(command.length - 2_000, link.receiveWindow);
        feedRest(input, command);
        assertTrue(input.next() instanceof Resp.Array);
        assertNull(input.next());
        assertEquals(memory.connectionWindowBytes(), link.receiveWindow);
    }

    @Test
    public void aClosedConnectionReleasesWhatItsPartialCommandHad() throws RespException {
        CommandInput input = startOf(largeCommand());
        assertTrue(memory.held(Part.PARTIAL_COMMANDS) > LARGE);
        input.release();
        assertEquals(0, memory.held(Part.PARTIAL_COMMANDS));
    }

    @Test
    public void aSkippedCommandEndsWhereItsLengthsSayHoweverItIsSplit() throws RespException {
        memory.add(Part.PARTIAL_COMMANDS, memory.limit(Part.PARTIAL_COMMANDS));
        byte[] command = largeCommand();
        byte[] small = smallCommand();
        byte[] both = Arrays.copyOf(command, command.length + small.length);
        System.arraycopy(small, 0, both, command.length, small.length);
        for (int pieceLength : new int[] {1, 7, 1_000, 2_048, 59_000, both.length}) {
            CommandInput input = new CommandInput(link, memory);
            List<Resp> parsed = new ArrayList<>();
            for (int from = 0; from < both.length; from += pieceLength) {
                input.feed(Arrays.copyOfRange(both, from, Math.min(both.length, from + pieceLength)));
                for (Resp next = input.next(); next != null; next = input.next()) {
                    parsed.add(next);
                }
            }
            assertEquals("pieces of " + pieceLength, 2, parsed.size());
            assertEquals(
                    "pieces of " + pieceLength,
                    pieceLength < both.length,
                    parsed.get(0) instanceof Resp.SkippedCommand);
            assertFalse(input.hasPartialCommand());
        }
    }

    @Test
    public void aSkippedCommandThatIsNotValidFailsAsOthersDo() throws RespException {
        memory.add(Part.PARTIAL_COMMANDS, memory.limit(Part.PARTIAL_COMMANDS));
        byte[] command = largeCommand();
        command[command.length - 1] = 'x';
        CommandInput input = startOf(command);
        feedRest(input, command);
        try {
            input.next();
            throw new AssertionError("not reported");
        } catch (RespException e) {
            assertEquals("bulk string without its end", e.getMessage());
        }
    }
}
