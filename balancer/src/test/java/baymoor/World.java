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
final class World implements Closeable {

    private static final int PATIENCE_MILLIS = 20_000;
    private final List<Closeable> open = new CopyOnWriteArrayList<>();
    private final List<OutputStream> watches = new CopyOnWriteArrayList<>();
    private final List<String> endpoints = new ArrayList<>();
    private final CountDownLatch watched = new CountDownLatch(1);
    private final BlockingQueue<Integer> watchedAt = new LinkedBlockingQueue<>();
    private final Socket reserved = reservedPort();
    private final int port = reserved.getLocalPort();
    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
    private volatile boolean scripted;
    private boolean pushed;
    private boolean ignoresSighup;
    private final Map<String, String> replaced = new LinkedHashMap<>();
    private Process process;
    private BufferedReader errors;
    private Path file;

    /** One message that a router or the origin got, and when. */
    record Got(List<String> words, long nanos) {}

    /** A router or origin: {@code answer} gives its answer, null for silence, "close" to break the connection. */
    final class Server {
        final List<Got> got = new CopyOnWriteArrayList<>();
        final int port;
        volatile Function<List<String>, String> answer;

        Server(boolean http, Function<List<String>, String> answer) throws IOException {
            this.answer = answer;
            port = listen(socket -> {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    List<String> words = http ? request(in) : command(in);
                    got.add(new Got(words, System.nanoTime()));
                    String text = this.answer.apply(words);
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

    /** A router or origin whose machine takes no connection up until {@link #answers} is counted down. */
    final class Late {
        final BlockingQueue<List<String>> got = new LinkedBlockingQueue<>();
        final CountDownLatch answers = new CountDownLatch(1);

        /** A router. */
        Late(String name, String answer) throws IOException {
            this(name, "two-core", words -> answer);
        }

        /** @param type the type that discovery tells, {@code origin} for one that speaks HTTP */
        Late(String name, String type, Function<List<String>, String> answer) throws IOException {
            boolean http = type.equals("origin");
            ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            open.add(server);
            // So many fill its queue: further calls are passed over, and come again after a second.
            for (int i = 0; i < 2; i++) {
                open.add(new Socket(server.getInetAddress(), server.getLocalPort()));
            }
            endpoints.add(endpoint(name, server.getLocalPort(), type, "in_service", 0));
            daemon(() -> {
                try {
                    answers.await();
                } catch (InterruptedException e) {
                    return;
                }
                while (true) {
                    Socket socket = server.accept();
                    open.add(socket);
                    daemon(() -> {
                        InputStream in = new BufferedInputStream(socket.getInputStream());
                        while (true) {
                            List<String> words = http ? request(in) : command(in);
                            got.add(words);
                            socket.getOutputStream().write(answer.apply(words).getBytes(StandardCharsets.ISO_8859_1));
                        }
                    });
                }
            });
        }

        /** The first command that comes, or null. */
        List<String> first() throws InterruptedException {
            return got.poll(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @FunctionalInterface
    private interface Talk {
        void with(Socket socket) throws IOException;
    }

    private int listen(Talk talk) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        open.add(server);
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                open.add(socket);
                daemon(() -> {
                    try (socket) {
                        talk.with(socket);
                    }
                });
            }
        });
        return server.getLocalPort();
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The other side, or the end of the test, has closed it.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    Server router(String name, long sinceMillis, Function<List<String>, String> answer) throws IOException {
        Server server = new Server(false, answer);
        endpoints.add(endpoint(name, server.port, "two-core", "in_service", sinceMillis));
        return server;
    }

    Server origin(Function<List<String>, String> answer) throws IOException {
        Server server = new Server(true, answer);
        endpoints.add(endpoint("s-origin", server.port, "origin", "in_service", 0));
        return server;
    }

    static String endpoint(String name, int port, String type, String status, long since) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"a\",\"type\":\"" + type
                + "\",\"group\":0,\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":" + since + "}";
    }

    /** Tells a change on every watch, once there is one. */
    void tell(int index, String endpoint) throws IOException, InterruptedException {
        if (!watched.await(PATIENCE_MILLIS, TimeUnit.MILLISECONDS)) {
            throw new IOException("the program does not watch");
        }
        for (OutputStream watch : watches) {
            line(watch, "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[" + endpoint + "]}\n");
        }
    }

    private static void line(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** A call for the list that a test answers by itself. */
    final class Call {
        final long nanos = System.nanoTime();
        final String target;
        private final Socket socket;

        Call(String target, Socket socket) {
            this.target = target;
            this.socket = socket;
        }

        /** Ends it with no answer. */
        void refuse() throws IOException {
            socket.close();
        }

        /** Where it was called. */
        int port() {
            return socket.getLocalPort();
        }

        /** The head of a watch. */
        Call watched() throws IOException {
            head(socket.getOutputStream());
            return this;
        }

        Call says(String object) throws IOException {
            World.line(socket.getOutputStream(), object + "\n");
            return this;
        }
    }

    /** The list with all routers and origins in service. */
    String whole(int index) {
        return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + String.join(",", endpoints) + "]}";
    }

    /** From now on the calls for lists are answered by the test, each got from here. */
    World scripted() {
        scripted = true;
        return this;
    }

    /** The next call for the list. */
    Call called() throws InterruptedException {
        return calls.poll(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void head(OutputStream out) throws IOException {
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    /** Another discovery, which tells the same list; its port. */
    private int discovery() throws IOException {
        return listen(socket -> {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String target = request(in).get(0);
            if (scripted) {
                calls.add(new Call(target, socket));
                in.read();
                return;
            }
            OutputStream out = socket.getOutputStream();
            head(out);
            line(out, whole(1) + "\n");
            watches.add(out);
            watched.countDown();
            watchedAt.add(socket.getLocalPort());
            in.read();
        });
    }

    String config() throws IOException {
        String config =
                "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + discovery()
                        + "\","
                        + "\"seed\":\"1f\",\"limits\":{\"sockets\":1024,\"memory_mb\":128},\"known\":{\"index\":0,\"endpoints\":["
                        + String.join(",", endpoints) + "]},\"settings\":"
                        + Files.readString(Path.of("balancer/src/test/resources/settings.json"))
                                .replace("subscribe", pushed ? "automatic" : "subscribe")
                        + "}";
        for (Map.Entry<String, String> each : replaced.entrySet()) {
            config = config.replace(each.getKey(), each.getValue());
        }
        return config;
    }

    /** From now on configurations hold another text in the place of one of theirs. */
    World with(String was, String is) {
        replaced.put(was, is);
        return this;
    }

    /** From now on programs are started as nohup would: with SIGHUP ignored. */
    World ignoringSighup() {
        ignoresSighup = true;
        return this;
    }

    /** From now on configurations say that lists are pushed: the discovery is the agent of this machine. */
    World pushed() {
        pushed = true;
        return this;
    }

    /** Starts the built program by the deploy file's own line, with assertions on, and waits until it answers. */
    World start() throws IOException {
        process = launch(config());
        return awaited();
    }

    /** How many descriptors the program holds. */
    long descriptors() throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return all.count();
        }
    }

    /** Whether somebody listens where the program is to. */
    boolean listens() {
        try (Client client = client()) {
            return client.socket().isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until the program that was launched answers. */
    World awaited() throws IOException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MILLIS);
        while (true) {
            try (Client client = client()) {
                client.send("PING");
                if (client.line().equals("+PONG")) {
                    return this;
                }
            } catch (IOException e) {
                if (!process.isAlive() || System.nanoTime() > until) {
                    throw e;
                }
                Thread.onSpinWait();
            }
        }
    }

    Process launch(String config) throws IOException {
        file = Files.createTempFile("config", ".json");
        Path made = file;
        open.add(() -> Files.deleteIfExists(made));
        Files.writeString(file, config);
        String signals = ignoresSighup ? "trap '' HUP; " : "";
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", signals + deployed("run"));
        builder.environment().put("ROUTER_CONFIG", file.toString());
        process = builder.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        errors = new BufferedReader(new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8));
        return process;
    }

    /** A command of the deploy file, with assertions on. */
    static String deployed(String name) throws IOException {
        String start = name + " = \"";
        return Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith(start))
                .findFirst()
                .orElseThrow()
                .substring(start.length())
                .replace("exec java", "exec java -ea")
                .replaceAll("\"$", "");
    }

    /** Replaces the configuration file and sends SIGHUP. */
    void reload(String config) throws IOException, InterruptedException {
        Files.writeString(file, config);
        new ProcessBuilder("/bin/kill", "-HUP", Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** The port of the next discovery that is watched. */
    int watchedAt() throws InterruptedException {
        Integer port = watchedAt.poll(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        return port == null ? -1 : port;
    }

    /** The next line on the program's standard error that holds a text. */
    String said(String text) throws IOException {
        String line = errors.readLine();
        while (line != null && !line.contains(text)) {
            line = errors.readLine();
        }
        return line;
    }

    /** Waits until the program's counters hold a line. */
    void counted(String line) throws IOException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MILLIS);
        try (Client client = client()) {
            String counters = client.ask("INFO");
            while (!counters.contains(line + "\n")) {
                if (System.nanoTime() > until) {
                    throw new IOException("no " + line + " in " + counters);
                }
                counters = client.ask("INFO");
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
                socket.setSoTimeout(PATIENCE_MILLIS);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        static String text(String... words) {
            StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
            for (String w : words) {
                text.append('$').append(w.length()).append("\r\n").append(w).append("\r\n");
            }
            return text.toString();
        }

        void send(String... words) throws IOException {
            raw(text(words));
        }

        void raw(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        String line() throws IOException {
            return World.line(socket.getInputStream());
        }

        /** An answer: an error line, or the text of a bulk string. */
        String answer() throws IOException {
            String head = line();
            if (!head.startsWith("$")) {
                return head;
            }
            return bulk(socket.getInputStream(), head);
        }

        String ask(String... words) throws IOException {
            send(words);
            return answer();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("closed after '" + text + "'");
            }
            text.append((char) b);
        }
        return text.toString().trim();
    }

    private static String bulk(InputStream in, String head) throws IOException {
        byte[] bytes = in.readNBytes(Integer.parseInt(head.substring(1)));
        in.readNBytes(2);
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private static List<String> command(InputStream in) throws IOException {
        int count = Integer.parseInt(line(in).substring(1));
        List<String> words = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            words.add(bulk(in, line(in)));
        }
        return words;
    }

    /** The request line, the headers in small letters, and the body. */
    private static List<String> request(InputStream in) throws IOException {
        List<String> words = new ArrayList<>(List.of(line(in)));
        int length = 0;
        for (String h = line(in); !h.isEmpty(); h = line(in)) {
            words.add(h.substring(0, h.indexOf(':')).toLowerCase(java.util.Locale.ROOT) + h.substring(h.indexOf(':')));
            length = h.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")
                    ? Integer.parseInt(h.substring(15).trim())
                    : length;
        }
        words.add(new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
        return words;
    }

    /**
     * Keeps a free port for the program. Seen: between the choice of a port and the program's start another test of the machine
     * took it, and one's client spoke with the other's program. A socket that is bound and does not listen keeps the port from
     * being chosen again, and the program, which reuses addresses as well, may still listen there.
     */
    private static Socket reservedPort() {
        try {
            Socket reserved = new Socket();
            reserved.setReuseAddress(true);
            reserved.bind(new InetSocketAddress("127.0.0.1", 0));
            return reserved;
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
        }
        reserved.close();
        for (Closeable c : open) {
            c.close();
        }
    }
}
