package baymoor;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** Answers of the origin without a length, at the built balancer: the end of the connection tells whether they are whole. */
public class OriginAnswersIT {

    private static final String MISS = "*3\r\n$-1\r\n$-1\r\n$-1\r\n";
    private final BalancerEnvironment environment = new BalancerEnvironment();
    private BalancerEnvironment.StubServer origin;

    @Before
    public void startEnvironment() throws IOException {
        environment.router("s-a", 0, parts -> MISS);
        origin = environment.origin(parts -> "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ntitle");
        environment.start();
    }

    @After
    public void closeEnvironment() throws IOException {
        environment.close();
    }

    private String read(String id) throws IOException {
        try (BalancerEnvironment.Client client = environment.client()) {
            return client.request("OBJ.GET", "0a", id, "c=map-read,t=fraser-surveyors,d=1400");
        }
    }

    private String write(String id) throws IOException {
        try (BalancerEnvironment.Client client = environment.client()) {
            return client.request("OBJ.SET", "0a", id, "c=search-order,t=fraser-surveyors,d=1400", "order");
        }
    }

    /** Guards against dropping the receipt of a write that has run, and against fetching a whole value again. */
    @Test
    public void anAnswerWithoutALengthThatEndsInOrderIsForwarded() throws IOException {
        origin.afterAnswer = BalancerEnvironment.AfterAnswer.END_IN_ORDER;
        assertEquals("title", read("0b"));
        assertEquals("title", write("0c"));
        assertEquals(2, origin.received.size());
    }

    /** Guards against taking a reset for the end of a value. */
    @Test
    public void anAnswerWithoutALengthThatIsResetIsNotForwarded() throws IOException {
        origin.afterAnswer = BalancerEnvironment.AfterAnswer.RESET;
        assertEquals("-ERR failed", write("0d"));
        assertEquals(1, origin.received.size());
    }
}
