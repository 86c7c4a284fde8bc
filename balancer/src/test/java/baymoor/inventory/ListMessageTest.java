package baymoor.inventory;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.Test;

public class ListMessageTest {

    private static List<Integer> tags(int count) {
        return IntStream.range(0, count).map(i -> i * 0x9e3779b9).boxed().toList();
    }

    @Test
    public void encodedMessagesAreDecodedUnchanged() {
        for (ListMessage message : List.of(
                new ListMessage.Query(-7, 1234),
                new ListMessage.NoNewerList(Long.MIN_VALUE, ListMessage.NoNewerList.NOT_DOWN),
                new ListMessage.NoNewerList(3, 0),
                new ListMessage.Reply(5, 41, 0, 0, 1, List.of()),
                new ListMessage.Reply(5, 41, 99, 1, 2, tags(3)))) {
            assertEquals(message, ListMessage.decode(message.encode()));
        }
    }

    @Test
    public void replyIsSplitIntoDatagramsWithinTheSizeLimit() {
        for (int hosts : new int[] {0, 1, 58, 59, 200, 1_856}) {
            List<ListMessage.Reply> parts = ListMessage.toParts(1, 2, 3, tags(hosts));
            assertEquals(
                    tags(hosts),
                    parts.stream().flatMap(p -> p.runningTags().stream()).toList());
            for (ListMessage.Reply part : parts) {
                assertTrue(part.encode().length <= 256);
                assertEquals(part, ListMessage.decode(part.encode()));
            }
        }
        assertEquals("a list that is too long gets no reply", List.of(), ListMessage.toParts(1, 2, 3, tags(1_857)));
    }

    /** Guards compatibility: older versions check only the first byte, and ignore less than their own message of 45 bytes. */
    @Test
    public void datagramsOfTheDecisionModuleAreNotListMessages() {
        byte[] decisionDatagram = new byte[45];
        decisionDatagram[0] = 1;
        assertFalse(ListMessage.isListMessage(decisionDatagram));
        assertFalse(ListMessage.isListMessage(new byte[0]));
        assertTrue(ListMessage.isListMessage(new ListMessage.NoNewerList(1, 0).encode()));
    }

    @Test
    public void malformedDatagramsAreNotDecoded() {
        byte[] reply = new ListMessage.Reply(5, 41, 99, 1, 2, tags(3)).encode();
        for (int length = 0; length < reply.length; length++) {
            byte[] truncated = java.util.Arrays.copyOf(reply, length);
            assertEquals(
                    "cut to " + length, length >= 23 && (length - 23) % 4 == 0, ListMessage.decode(truncated) != null);
        }
        assertNull(ListMessage.decode(new ListMessage.Reply(5, 41, 99, 2, 2, tags(3)).encode()));
        assertNull(ListMessage.decode(new ListMessage.Reply(5, 41, 99, -1, 2, tags(3)).encode()));
        assertNull(ListMessage.decode(new ListMessage.Reply(5, 41, 99, 0, 2, tags(3)).encode()));
        assertNull(ListMessage.decode(new ListMessage.Reply(5, 41, -1, 0, 1, tags(3)).encode()));
        assertNull(ListMessage.decode(new ListMessage.Reply(5, -1, 0, 0, 1, tags(3)).encode()));
        assertNull(ListMessage.decode(new ListMessage.Reply(5, 1, 0, 0, 33, tags(58)).encode()));
        assertNull(ListMessage.decode(new ListMessage.Reply(5, 1, 0, 0, 1, tags(59)).encode()));
        assertNull(ListMessage.decode(new ListMessage.Query(5, -1).encode()));
        assertNull(ListMessage.decode(new ListMessage.NoNewerList(5, -2).encode()));
    }

    @Test
    public void randomBytesThatDecodeAreEncodedUnchanged() {
        Random random = new Random(20261202);
        for (int i = 0; i < 200_000; i++) {
            byte[] bytes = new byte[random.nextInt(300)];
            random.nextBytes(bytes);
            if (bytes.length > 0 && random.nextInt(4) > 0) {
                bytes[0] = (byte) (0x50 + random.nextInt(5));
            }
            ListMessage message = ListMessage.decode(bytes);
            if (message != null) {
                assertArrayEquals(bytes, message.encode());
            }
        }
    }
}
