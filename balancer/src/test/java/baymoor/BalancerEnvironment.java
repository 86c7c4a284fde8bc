package baymoor;

import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Runs the built balancer in a process of its own, with stub discovery, routers, origin and clients on free loopback ports.
 */
final class BalancerEnvironment implements Closeable {

    private static final int TIMEOUT_MILLIS = 20_000;
    private final List<Closeable> resources = new CopyOnWriteArrayList<>();
    private final List<OutputStream> watchOutputs = new CopyOnWriteArrayList<>();
    private final List<String> endpoints = new ArrayList<>();
    private final CountDownLatch watchStarted = new CountDownLatch(1);
    private final BlockingQueue<Integer> watchPorts = new LinkedBlockingQueue<>();
    private final Socket reservedSocket = reservePort();
    private final int port = reservedSocket.getLocalPort();
    private final BlockingQueue<DiscoveryCall> discoveryCalls = new LinkedBlockingQueue<>();
    private volatile boolean scriptsDiscovery;
    private boolean pushesLists;
    private boolean ignoresSighup;
    private final Map<String, String> replacements = new LinkedHashMap<>();
    private Process process;
    private BufferedReader errorOutput;
    private Path configFile;

    /** A request that a router or the origin received, and when. */
    record ReceivedMessage(List<String> parts, long receivedNanos) {}

    /** What a stub server does with a connection once it has answered a request on it. */
    enum AfterAnswer {
        KEEP_OPEN,
        END_IN_ORDER,
        RESET
    }

    /** A router or origin; {@code answer} returns its response, null for none, {@code "close"} to close the connection. */
    final class StubServer {
        final List<ReceivedMessage> received = new CopyOnWriteArrayList<>();
        final int port;
        volatile Function<List<String>, String> answer;
        volatile AfterAnswer afterAnswer = AfterAnswer.KEEP_OPEN;

        StubServer(boolean http, Function<List<String>, String> answer) throws IOException {
            this.answer = answer;
            port = listen(socket -> {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    List<String> parts = http ? readHttpRequest(in) : readCommand(in);
                    received.add(new ReceivedMessage(parts, System.nanoTime()));
                    String text = this.answer.apply(parts);
                    if ("close".equals(text)) {
                        return;
                    }
                    if (text != null) {
                        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
                    }
                    if (afterAnswer != AfterAnswer.KEEP_OPEN) {
                        socket.setSoLinger(afterAnswer == AfterAnswer.RESET, 0);
                        return;
                    }
                }
            });
        }
    }

    /** A router or origin whose connections are not established until {@link #acceptConnections} is counted down. */
    final class DelayedServer {
        final BlockingQueue<List<String>> received = new LinkedBlockingQueue<>();
        final CountDownLatch acceptConnections = new CountDownLatch(1);

        /** Adds a router. */
        DelayedServer(String name, String answer) throws IOException {
            this(name, "two-core", parts -> answer);
        }

        /**
         * Adds a router or an origin.
         *
         * @param type the type in the list of discovery; {@code origin} speaks HTTP
         */
        DelayedServer(String name, String type, Function<List<String>, String> answer) throws IOException {
            boolean http = type.equals("origin");
            ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            resources.add(server);
            // Two connections fill the backlog of one: the kernel drops further SYNs, which are resent after a second.
            for (int i = 0; i < 2; i++) {
                resources.add(new Socket(server.getInetAddress(), server.getLocalPort()));
            }
            endpoints.add(endpoint(name, server.getLocalPort(), type, "in_service", 0));
            startDaemon(() -> {
                try {
                    acceptConnections.await();
                } catch (InterruptedException e) {
                    return;
                }
                while (true) {
                    Socket socket = server.accept();
                    resources.add(socket);
                    startDaemon(() -> {
                        InputStream in = new BufferedInputStream(socket.getInputStream());
                        while (true) {
                            List<String> parts = http ? readHttpRequest(in) : readCommand(in);
                            received.add(parts);
                            socket.getOutputStream().write(answer.apply(parts).getBytes(StandardCharsets.ISO_8859_1));
                        }
                    });
                }
            });
        }

        /** Returns the next request, or null if none arrives in time. */
        List<String> awaitRequest() throws InterruptedException {
            return received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @FunctionalInterface
    private interface ConnectionHandler {
        void handle(Socket socket) throws IOException;
    }

    private int listen(ConnectionHandler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        resources.add(server);
        startDaemon(() -> {
            while (true) {
                Socket socket = server.accept();
                resources.add(socket);
                startDaemon(() -> {
                    try (socket) {
                        handler.handle(socket);
                    }
                });
            }
        });
        return server.getLocalPort();
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startDaemon(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // Closed by the peer or at the end of the test.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    StubServer router(String name, long sinceMillis, Function<List<String>, String> answer) throws IOException {
        StubServer server = new StubServer(false, answer);
        endpoints.add(endpoint(name, server.port, "two-core", "in_service", sinceMillis));
        return server;
    }

    StubServer origin(Function<List<String>, String> answer) throws IOException {
        StubServer server = new StubServer(true, answer);
        endpoints.add(endpoint("s-origin", server.port, "origin", "in_service", 0));
        return server;
    }

    static String endpoint(String name, int port, String type, String status, long sinceMillis) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"a\",\"type\":\"" + type
                + "\",\"group\":0,\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":" + sinceMillis + "}";
    }

    /** Sends a changed endpoint on every watch, after waiting for the first watch. */
    void publish(int index, String endpoint) throws IOException, InterruptedException {
        if (!watchStarted.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            throw new IOException("the balancer does not watch discovery");
        }
        for (OutputStream watch : watchOutputs) {
            writeChunk(watch, "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[" + endpoint + "]}\n");
        }
    }

    private static void writeChunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** A request for the list, which the test answers. */
    final class DiscoveryCall {
        final long receivedNanos = System.nanoTime();
        final String target;
        private final Socket socket;

        DiscoveryCall(String target, Socket socket) {
            this.target = target;
            this.socket = socket;
        }

        /** Closes the connection without a response. */
        void closeUnanswered() throws IOException {
            socket.close();
        }

        /** Returns the local port of the discovery that was called. */
        int port() {
            return socket.getLocalPort();
        }

        /** Sends the header of a watch's response. */
        DiscoveryCall startWatch() throws IOException {
            writeHeader(socket.getOutputStream());
            return this;
        }

        DiscoveryCall sendChunk(String object) throws IOException {
            BalancerEnvironment.writeChunk(socket.getOutputStream(), object + "\n");
            return this;
        }
    }

    /** Returns a snapshot with all routers and origins in service. */
    String fullList(int index) {
        return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + String.join(",", endpoints) + "]}";
    }

    /** Lets the test answer requests for lists, as returned by {@link #awaitDiscoveryCall}. */
    BalancerEnvironment scriptingDiscovery() {
        scriptsDiscovery = true;
        return this;
    }

    /** Returns the next request for a list, or null if none arrives in time. */
    DiscoveryCall awaitDiscoveryCall() throws InterruptedException {
        return discoveryCalls.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void writeHeader(OutputStream out) throws IOException {
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    /** Starts another discovery with the same list and returns its port. */
    private int startDiscovery() throws IOException {
        return listen(socket -> {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String target = readHttpRequest(in).get(0);
            if (scriptsDiscovery) {
                discoveryCalls.add(new DiscoveryCall(target, socket));
                in.read();
                return;
            }
            OutputStream out = socket.getOutputStream();
            writeHeader(out);
            writeChunk(out, fullList(1) + "\n");
            watchOutputs.add(out);
            watchStarted.countDown();
            watchPorts.add(socket.getLocalPort());
            in.read();
        });
    }

    String config() throws IOException {
        String config =
                "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + startDiscovery()
                        + "\","
                        + "\"seed\":\"1f\",\"limits\":{\"sockets\":1024,\"memory_mb\":128},\"known\":{\"index\":0,\"endpoints\":["
                        + String.join(",", endpoints) + "]},\"settings\":"
                        + Files.readString(Path.of("balancer/src/test/resources/settings.json"))
                                .replace("subscribe", pushesLists ? "automatic" : "subscribe")
                        + "}";
        for (Map.Entry<String, String> replacement : replacements.entrySet()) {
            config = config.replace(replacement.getKey(), replacement.getValue());
        }
        return config;
    }

    /** Replaces a text in the configurations returned from now on. */
    BalancerEnvironment replacing(String oldText, String newText) {
        replacements.put(oldText, newText);
        return this;
    }

    /** Starts balancers with SIGHUP ignored from now on, as {@code nohup} does. */
    BalancerEnvironment ignoringSighup() {
        ignoresSighup = true;
        return this;
    }

    /** Configures pushed lists from now on, so that the discovery acts as the agent of this machine. */
    BalancerEnvironment pushingLists() {
        pushesLists = true;
        return this;
    }

    /** Starts the balancer and waits until it answers. */
    BalancerEnvironment start() throws IOException {
        process = launch(config());
        return awaitReady();
    }

    /** Returns the number of open file descriptors of the balancer. */
    long openDescriptors() throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return all.count();
        }
    }

    /** Returns whether the balancer's port accepts connections. */
    boolean isListening() {
        try (Client client = client()) {
            return client.socket().isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until the launched balancer answers a PING. */
    BalancerEnvironment awaitReady() throws IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (true) {
            try (Client client = client()) {
                client.send("PING");
                if (client.readLine().equals("+PONG")) {
                    return this;
                }
            } catch (IOException e) {
                if (!process.isAlive() || System.nanoTime() > deadlineNanos) {
                    throw e;
                }
                Thread.onSpinWait();
            }
        }
    }

    /** Starts the balancer by the command of the deploy file, without waiting for it. */
    Process launch(String config) throws IOException {
        configFile = Files.createTempFile("config", ".json");
        Path createdFile = configFile;
        resources.add(() -> Files.deleteIfExists(createdFile));
        Files.writeString(configFile, config);
        String signals = ignoresSighup ? "trap '' HUP; " : "";
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", signals + deployCommand("run"));
        builder.environment().put("ROUTER_CONFIG", configFile.toString());
        process = builder.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        errorOutput = new BufferedReader(new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8));
        return process;
    }

    /** Returns a command of the deploy file, with assertions enabled. */
    static String deployCommand(String name) throws IOException {
        String start = name + " = \"";
        return Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith(start))
                .findFirst()
                .orElseThrow()
                .substring(start.length())
                .replace("exec java", "exec java -ea")
                .replaceAll("\"$", "");
    }

    /** Replaces the configuration file and sends SIGHUP. */
    void reload(String config) throws IOException, InterruptedException {
        Files.writeString(configFile, config);
        new ProcessBuilder("/bin/kill", "-HUP", Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Returns the port of the next discovery that the balancer watches, or -1 if it watches none in time. */
    int awaitWatchPort() throws InterruptedException {
        Integer port = watchPorts.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        return port == null ? -1 : port;
    }

    /** Returns the next line on standard error that contains the text, or null at the end of the stream. */
    String awaitLogLine(String text) throws IOException {
        String line = errorOutput.readLine();
        while (line != null && !line.contains(text)) {
            line = errorOutput.readLine();
        }
        return line;
    }

    /** Waits until the balancer's counters contain a line, such as {@code relays:1}. */
    void awaitCounter(String line) throws IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        try (Client client = client()) {
            String counters = client.request("INFO");
            while (!counters.contains(line + "\n")) {
                if (System.nanoTime() > deadlineNanos) {
                    throw new IOException("no " + line + " in " + counters);
                }
                counters = client.request("INFO");
            }
        }
    }

    Process process() {
        return process;
    }

    Client client() throws IOException {
        return new Client(new Socket("127.0.0.1", port));
    }

    /** A connection of a client. */
    record Client(Socket socket) implements Closeable {
        Client {
            try {
                socket.setSoTimeout(TIMEOUT_MILLIS);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        static String encode(String... parts) {
            StringBuilder text = new StringBuilder("*" + parts.length + "\r\n");
            for (String part : parts) {
                text.append('$')
                        .append(part.length())
                        .append("\r\n")
                        .append(part)
                        .append("\r\n");
            }
            return text.toString();
        }

        void send(String... parts) throws IOException {
            sendRaw(encode(parts));
        }

        void sendRaw(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        String readLine() throws IOException {
            return BalancerEnvironment.readLine(socket.getInputStream());
        }

        /** Reads a response: an error line, or the text of a bulk string. */
        String readAnswer() throws IOException {
            String header = readLine();
            if (!header.startsWith("$")) {
                return header;
            }
            return readBulkString(socket.getInputStream(), header);
        }

        String request(String... parts) throws IOException {
            send(parts);
            return readAnswer();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("closed after '" + text + "'");
            }
            text.append((char) b);
        }
        return text.toString().trim();
    }

    private static String readBulkString(InputStream in, String header) throws IOException {
        byte[] bytes = in.readNBytes(Integer.parseInt(header.substring(1)));
        in.readNBytes(2);
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private static List<String> readCommand(InputStream in) throws IOException {
        int count = Integer.parseInt(readLine(in).substring(1));
        List<String> parts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            parts.add(readBulkString(in, readLine(in)));
        }
        return parts;
    }

    /** Returns the request line, the headers with names in lower case, and the body. */
    private static List<String> readHttpRequest(InputStream in) throws IOException {
        List<String> parts = new ArrayList<>(List.of(readLine(in)));
        int length = 0;
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            parts.add(line.substring(0, line.indexOf(':')).toLowerCase(java.util.Locale.ROOT)
                    + line.substring(line.indexOf(':')));
            length = line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")
                    ? Integer.parseInt(line.substring(15).trim())
                    : length;
        }
        parts.add(new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
        return parts;
    }

    /**
     * Reserves a free port for the balancer, so that no other process takes it before the balancer starts. A socket that is
     * bound and does not listen keeps the kernel from choosing the port again, while the balancer may still listen there, since
     * both set SO_REUSEADDR.
     */
    private static Socket reservePort() {
        try {
            Socket reservedSocket = new Socket();
            reservedSocket.setReuseAddress(true);
            reservedSocket.bind(new InetSocketAddress("127.0.0.1", 0));
            return reservedSocket;
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
        }
        reservedSocket.close();
        for (Closeable c : resources) {
            c.close();
        }
    }
}
