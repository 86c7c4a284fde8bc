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

/** What the built program needs round it, on free loopback ports: discovery, routers, an origin and clients. */
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

    /** One message that a router or the origin got, and when. */
    record ReceivedMessage(List<String> parts, long receivedNanos) {}

    /** A router or origin: {@code answer} gives its answer, null for silence, "close" to break the connection. */
    final class StubServer {
        final List<ReceivedMessage> received = new CopyOnWriteArrayList<>();
        final int port;
        volatile Function<List<String>, String> answer;

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
                }
            });
        }
    }

    /** A router or origin whose machine takes no connection up until {@link #acceptConnections} is counted down. */
    final class DelayedServer {
        final BlockingQueue<List<String>> received = new LinkedBlockingQueue<>();
        final CountDownLatch acceptConnections = new CountDownLatch(1);

        /** A router. */
        DelayedServer(String name, String answer) throws IOException {
            this(name, "two-core", parts -> answer);
        }

        /** @param type the type that discovery tells, {@code origin} for one that speaks HTTP */
        DelayedServer(String name, String type, Function<List<String>, String> answer) throws IOException {
            boolean http = type.equals("origin");
            ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            resources.add(server);
            // So many fill its queue: further calls are passed over, and come again after a second.
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

        /** The first command that comes, or null. */
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
                // The other side, or the end of the test, has closed it.
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

    static String endpoint(String name, int port, String type, String status, long since) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"a\",\"type\":\"" + type
                + "\",\"group\":0,\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":" + since + "}";
    }

    /** Tells a change on every watch, once there is one. */
    void publish(int index, String endpoint) throws IOException, InterruptedException {
        if (!watchStarted.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            throw new IOException("the program does not watch");
        }
        for (OutputStream watch : watchOutputs) {
            writeChunk(watch, "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[" + endpoint + "]}\n");
        }
    }

    private static void writeChunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** A call for the list that a test answers by itself. */
    final class DiscoveryCall {
        final long receivedNanos = System.nanoTime();
        final String target;
        private final Socket socket;

        DiscoveryCall(String target, Socket socket) {
            this.target = target;
            this.socket = socket;
        }

        /** Ends it with no answer. */
        void closeUnanswered() throws IOException {
            socket.close();
        }

        /** Where it was called. */
        int port() {
            return socket.getLocalPort();
        }

        /** The head of a watch. */
        DiscoveryCall startWatch() throws IOException {
            writeHeader(socket.getOutputStream());
            return this;
        }

        DiscoveryCall sendChunk(String object) throws IOException {
            BalancerEnvironment.writeChunk(socket.getOutputStream(), object + "\n");
            return this;
        }
    }

    /** The list with all routers and origins in service. */
    String fullList(int index) {
        return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + String.join(",", endpoints) + "]}";
    }

    /** From now on the calls for lists are answered by the test, each got from here. */
    BalancerEnvironment scriptingDiscovery() {
        scriptsDiscovery = true;
        return this;
    }

    /** The next call for the list. */
    DiscoveryCall awaitDiscoveryCall() throws InterruptedException {
        return discoveryCalls.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void writeHeader(OutputStream out) throws IOException {
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    /** Another discovery, which tells the same list; its port. */
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

    /** From now on configurations hold another text in the place of one of theirs. */
    BalancerEnvironment replacing(String oldText, String newText) {
        replacements.put(oldText, newText);
        return this;
    }

    /** From now on programs are started as nohup would: with SIGHUP ignored. */
    BalancerEnvironment ignoringSighup() {
        ignoresSighup = true;
        return this;
    }

    /** From now on configurations say that lists are pushed: the discovery is the agent of this machine. */
    BalancerEnvironment pushingLists() {
        pushesLists = true;
        return this;
    }

    /** Starts the built program by the deploy file's own line, with assertions on, and waits until it answers. */
    BalancerEnvironment start() throws IOException {
        process = launch(config());
        return awaitReady();
    }

    /** How many descriptors the program holds. */
    long openDescriptors() throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return all.count();
        }
    }

    /** Whether somebody listens where the program is to. */
    boolean isListening() {
        try (Client client = client()) {
            return client.socket().isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until the program that was launched answers. */
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

    /** A command of the deploy file, with assertions on. */
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

    /** The port of the next discovery that is watched. */
    int awaitWatchPort() throws InterruptedException {
        Integer port = watchPorts.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        return port == null ? -1 : port;
    }

    /** The next line on the program's standard error that holds a text. */
    String awaitLogLine(String text) throws IOException {
        String line = errorOutput.readLine();
        while (line != null && !line.contains(text)) {
            line = errorOutput.readLine();
        }
        return line;
    }

    /** Waits until the program's counters hold a line. */
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

    /** A client's connection. */
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

        /** An answer: an error line, or the text of a bulk string. */
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

    /** The request line, the headers in small letters, and the body. */
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
     * Keeps a free port for the program. Seen: between the choice of a port and the program's start another test of the machine
     * took it, and one's client spoke with the other's program. A socket that is bound and does not listen keeps the port from
     * being chosen again, and the program, which reuses addresses as well, may still listen there.
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
