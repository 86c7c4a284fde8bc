package baymoor;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;

/** The built balancer within its memory, while hundreds of clients make it hold as much as they can. */
public class ClientMemoryIT {

    private static final int USUAL_MEMORY_MB = 128;
    private static final int SMALL_MEMORY_MB = 96;
    private static final int ROUTERS = 30;
    private static final int ROUTER_MILLIS = 250;
    private static final int ORIGIN_MILLIS = 800;
    private static final int USUAL_REQUESTS = 100;
    private static final int USUAL_INTERVAL_MILLIS = 40;
    private static final int DEADLINE_MILLIS = 1200;
    /** Half a second after its deadline a request without an answer is lost; on sockets 50 ms later. */
    private static final long LOST_AFTER_MILLIS = DEADLINE_MILLIS + 500 + 50;

    private static final String LARGE_VALUE = "v".repeat(64 * 1024);

    private final BalancerEnvironment environment = new BalancerEnvironment();
    private final List<Socket> floodSockets = new ArrayList<>();
    private int maxMemoryMb;

    private void startBalancer(int memoryMb) throws IOException {
        environment.router("s-a", 0, ClientMemoryIT::answer);
        environment.origin(parts -> "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        start(memoryMb);
    }

    private void start(int memoryMb) throws IOException {
        maxMemoryMb = memoryMb;
        environment.replacing("\"memory_mb\":128", "\"memory_mb\":" + memoryMb).start();
    }

    private static String answer(List<String> command) {
        String value = command.get(1).startsWith("1a") ? LARGE_VALUE : "v";
        return "*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n";
    }

    private static String after(int millis, String answer) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return answer;
    }

    @After
    public void closeEnvironment() throws IOException {
        for (Socket socket : floodSockets) {
            socket.close();
        }
        environment.close();
    }

    private static byte[] command(String... parts) {
        StringBuilder text = new StringBuilder("*" + parts.length + "\r\n");
        for (String part : parts) {
            text.append('$').append(part.length()).append("\r\n").append(part).append("\r\n");
        }
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Supplies what one client of a flood sends as its n-th piece. */
    private interface Pieces {
        byte[] piece(int client, int number);
    }

    /** Opens connections that each send pieces as fast as they are taken, until they are closed. */
    private void flood(int clients, int pieces, Pieces content) throws IOException {
        for (int i = 0; i < clients; i++) {
            int client = i;
            Socket socket = environment.client().socket();
            floodSockets.add(socket);
            Thread thread = new Thread(() -> {
                try {
                    for (int n = 0; n < pieces; n++) {
                        socket.getOutputStream().write(content.piece(client, n));
                    }
                } catch (IOException e) {
                    // Closed by the balancer or at the end of the test.
                }
            });
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void assertUsualRequestsAreAnswered() throws IOException, InterruptedException {
        List<Thread> clients = new ArrayList<>();
        List<String> lost = java.util.Collections.synchronizedList(new ArrayList<>());
        CountDownLatch done = new CountDownLatch(USUAL_REQUESTS);
        for (int i = 0; i < USUAL_REQUESTS; i++) {
            String id = "usual" + i;
            Thread thread = new Thread(() -> {
                String result = usualRequest(id);
                if (result != null) {
                    lost.add(result);
                }
                done.countDown();
            });
            clients.add(thread);
            thread.start();
            Thread.sleep(USUAL_INTERVAL_MILLIS);
        }
        assertTrue(done.await(60, TimeUnit.SECONDS));
        assertEquals("lost", List.of(), lost);
        try (BalancerEnvironment.Client client = environment.client()) {
            assertEquals("+PONG", client.request("PING"));
            String counters = client.request("INFO");
            assertTrue(counters, counters.contains("task_failures:0\n") && counters.contains("invariants_broken:0\n"));
        }
        String status =
                Files.readString(Path.of("/proc/" + environment.process().pid() + "/status"));
        int peakMegabytes = Integer.parseInt(status.replaceAll("(?s).*VmHWM:\\s*([0-9]+) kB.*", "$1")) / 1024;
        assertTrue(peakMegabytes + " MB at the peak", peakMegabytes < maxMemoryMb);
    }

    /** Returns null, or what went wrong. A connection that is closed unread is tried once more, as clients do. */
    private String usualRequest(String id) {
        String problem = null;
        for (int attempt = 0; attempt < 2; attempt++) {
            try (BalancerEnvironment.Client client = environment.client()) {
                client.send("OBJ.GET", "0a", id, "c=map-read,t=fraser-surveyors,d=" + DEADLINE_MILLIS);
                long sentNanos = System.nanoTime();
                assertNotNull(client.readAnswer());
                long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
                return millis > LOST_AFTER_MILLIS ? id + " answered after " + millis + " ms" : null;
            } catch (IOException e) {
                problem = id + ": " + e;
            }
        }
        return problem;
    }

    /** Guards against a heap filled by commands received in part, which ended the I/O thread and left the process deaf. */
    @Test
    public void usualRequestsAreAnsweredWhileHundredsOfClientsSendLargeCommands() throws Exception {
        startBalancer(USUAL_MEMORY_MB);
        flood(400, 100, (client, number) -> {
            String id = "w" + client + "-" + number;
            return command("OBJ.SET", id, id, "c=search-order,t=fraser-surveyors,d=1400", LARGE_VALUE);
        });
        assertUsualRequestsAreAnswered();
    }

    /** Guards against a heap filled by commands whose end never comes. */
    @Test
    public void usualRequestsAreAnsweredWhileHundredsOfClientsStopInLargeCommands() throws Exception {
        startBalancer(USUAL_MEMORY_MB);
        byte[] whole = command("OBJ.SET", "0b", "half", "c=search-order,t=fraser-surveyors,d=1400", LARGE_VALUE);
        byte[] half = java.util.Arrays.copyOf(whole, whole.length - 100);
        flood(400, 1, (client, number) -> half);
        assertUsualRequestsAreAnswered();
    }

    /** Guards against a heap filled by answers that their clients do not read. */
    @Test
    public void usualRequestsAreAnsweredWhileHundredsOfClientsReadNothing() throws Exception {
        startBalancer(USUAL_MEMORY_MB);
        flood(
                300,
                100,
                (client, number) ->
                        command("OBJ.GET", "1a", "r" + client + "-" + number, "c=map-read,t=fraser-surveyors,d=1400"));
        assertUsualRequestsAreAnswered();
    }

    /** Opens connections that read all that they are sent, and send pieces as fast as they are taken until they are closed. */
    private void floodAndRead(int clients, Pieces content) throws IOException {
        int before = floodSockets.size();
        flood(clients, Integer.MAX_VALUE, content);
        for (Socket socket : floodSockets.subList(before, floodSockets.size())) {
            Thread thread = new Thread(() -> {
                try {
                    socket.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
                } catch (IOException e) {
                    // Closed by the balancer or at the end of the test.
                }
            });
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** Guards against a heap filled by answers that are being received, copies of values and open requests. */
    @Test
    public void usualRequestsAreAnsweredWhileHundredsOfClientsReadAndWriteLargeValues() throws Exception {
        for (int i = 0; i < ROUTERS; i++) {
            environment.router(
                    "s-" + i, 0, parts -> after(parts.get(1).startsWith("1a") ? ROUTER_MILLIS : 0, answer(parts)));
        }
        environment.origin(parts -> after(ORIGIN_MILLIS, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
        start(SMALL_MEMORY_MB);
        floodAndRead(200, (client, number) -> {
            String id = "w" + client + "-" + number;
            return command("OBJ.SET", id, id, "c=search-order,t=fraser-surveyors,d=4500", LARGE_VALUE);
        });
        floodAndRead(
                200,
                (client, number) -> command(
                        "OBJ.GET",
                        "1a" + Integer.toHexString(1000 * client + number),
                        "r" + client + "-" + number,
                        "c=map-read,t=fraser-surveyors,d=1400"));
        assertUsualRequestsAreAnswered();
    }

    /** Guards against a heap filled by the lists of names and values of open requests. */
    @Test
    public void usualRequestsAreAnsweredWhileHundredsOfClientsSendListsOfVeryManyShortFields() throws Exception {
        environment.router("s-a", 0, parts -> parts.get(1).equals("0a") ? answer(parts) : null);
        start(SMALL_MEMORY_MB);
        StringBuilder fields = new StringBuilder("c=map-read,t=fraser-surveyors,d=1400");
        for (int i = 0; fields.length() < 2000; i++) {
            fields.append(',')
                    .append(Integer.toString(i + 100, Character.MAX_RADIX))
                    .append('=');
        }
        floodAndRead(400, (client, number) -> command("OBJ.GET", "1a", "f" + client + "-" + number, fields.toString()));
        assertUsualRequestsAreAnswered();
    }
}
