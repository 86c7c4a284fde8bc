import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins and helpers shared by the cases: balancer process, routers, origin, discovery, clients, record. */
final class Kit {

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private Kit() {}

    // ---------------------------------------------------------------- record

    private static final long START = System.nanoTime();
    private static PrintWriter record;

    static long nowMs() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void openRecord(String file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(file)));
    }

    static synchronized void log(String line) {
        record.printf("%8d ms  %s%n", nowMs(), line);
        record.flush();
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(String name, Body body) {
        Thread t = new Thread(
                () -> {
                    try {
                        body.run();
                    } catch (IOException e) {
                        // The other side has ended the connection.
                    }
                },
                name);
        t.setDaemon(true);
        t.start();
        return t;
    }

    interface Body {
        void run() throws IOException;
    }

    /** Runs a case and exits: 0 the rule held, 1 it was broken, 2 the case could not run. */
    static void runCase(String recordFile, CaseBody body) {
        int code = 2;
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::endProcesses));
        daemon("watchdog", () -> {
            sleep(112_000);
            log("RESULT: could not run, not done after 112 s");
            endProcesses();
            Runtime.getRuntime().halt(2);
        });
        try {
            openRecord(recordFile);
            log("TROUBLE=" + (TROUBLE ? "1" : "0"));
            code = body.run() ? 1 : 0;
        } catch (Throwable t) {
            if (record != null) {
                log("the case could not run: " + t);
            }
            t.printStackTrace();
        }
        if (record != null) {
            log(code == 1 ? "RESULT: rule broken" : code == 0 ? "RESULT: rule held" : "RESULT: could not run");
        }
        endProcesses();
        Runtime.getRuntime().halt(code);
    }

    private static final List<Process> processes = new CopyOnWriteArrayList<>();
    private static final List<Process> guards = new CopyOnWriteArrayList<>();

    /** Ends whatever process of the case still runs, and lets the guards remove the folders. */
    private static void endProcesses() {
        for (Process process : processes) {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
        for (Process guard : guards) {
            endGuard(guard);
        }
    }

    /** Starts a process that ends another one and removes its folder when its input ends, so also after a SIGKILL of this one. */
    private static Process guard(long pid, Path folder) throws IOException {
        Process guard = new ProcessBuilder(
                        "/bin/sh",
                        "-c",
                        "trap '' TERM INT HUP; ended=; while read -r line; do ended=1; done; [ -n \"$ended\" ] || kill -9 \"$1\"; sleep 0.2; rm -rf \"$2\"",
                        "guard",
                        Long.toString(pid),
                        folder.toString())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        guards.add(guard);
        return guard;
    }

    private static void endGuard(Process guard) {
        try {
            try (OutputStream input = guard.getOutputStream()) {
                input.write("ended\n".getBytes(StandardCharsets.US_ASCII)); // so that it does not end a process with a reused id
            }
            guard.waitFor(3, TimeUnit.SECONDS);
        } catch (IOException e) {
            // It has ended already.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    interface CaseBody {
        /** Returns whether the rule was broken. */
        boolean run() throws Exception;
    }

    // ---------------------------------------------------------------- addresses

    static ServerSocket listen(int backlog) throws IOException {
        return new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
    }

    static int freePort() throws IOException {
        try (ServerSocket s = listen(1)) {
            return s.getLocalPort();
        }
    }

    // ---------------------------------------------------------------- configuration

    /** One entry of discovery's list. */
    record Entry(String name, int port, String type, String status, long sinceMs) {
        String json() {
            return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port
                    + "\",\"zone\":\"vancouver\",\"type\":\"" + type + "\",\"group\":0,\"status\":\"" + status
                    + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + "}";
        }
    }

    static String list(long index, boolean snapshot, List<Entry> entries) {
        StringBuilder out = new StringBuilder(
                "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[");
        for (int i = 0; i < entries.size(); i++) {
            out.append(i == 0 ? "" : ",").append(entries.get(i).json());
        }
        return out.append("]}").toString();
    }

    /** The settings of the wire page's example, for a deployment of one balancer. */
    static final String SETTINGS = "{\"me\":0,\"siblings\":1,\"az\":\"vancouver\","
            + "\"failure_domains\":[\"vancouver\",\"kamloops\",\"kelowna\",\"prince-george\"],"
            + "\"skus\":[\"two-core\",\"three-core\",\"origin\"],\"layers\":[\"map-cache\"],\"layer\":0,"
            + "\"domain_type\":\"cache\",\"membership_mode\":\"subscribe\",\"weights\":\"rough\",\"counted_by\":\"work\","
            + "\"tick\":5000,\"over_share_worth\":0.1,"
            + "\"extra\":{\"mode\":\"aside\",\"origin_kind\":2,\"origin_fall\":3000000,\"origin_fall_multiple\":2.5,"
            + "\"report_x0\":\"share of hits, lately\",\"report_x1\":\"fetches out\"},"
            + "\"classes\":["
            + "{\"name\":\"map-read\",\"effect\":\"retryable\",\"group\":\"all\",\"on_time\":800000,"
            + "\"hard_limit\":1500000,\"key_ttl\":5000000,\"late_worth\":0.0,\"streamed\":false,\"value\":1.0},"
            + "{\"name\":\"search-order\",\"effect\":\"fragile\",\"group\":\"all\",\"on_time\":750000,"
            + "\"hard_limit\":1500000,\"key_ttl\":5000000,\"late_worth\":0.0,\"streamed\":false,\"value\":2.0},"
            + "{\"name\":\"parcel-watch\",\"effect\":\"dedup\",\"group\":\"all\",\"on_time\":1200000,"
            + "\"hard_limit\":5000000,\"key_ttl\":25000000,\"late_worth\":0.0,\"streamed\":false,\"value\":2.0}],"
            + "\"client_habits\":{\"marks_retry\":true},"
            + "\"tenants\":[{\"name\":\"fraser-surveyors\",\"share\":0.7,\"quota_per_s\":181.0},"
            + "{\"name\":\"coastline-notaries\",\"share\":0.3,\"quota_per_s\":77.0}],"
            + "\"limits\":{\"connect_timeout\":250000,\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":400000,"
            + "\"idle_close\":30000000,\"max_attempts\":5,\"max_retry_after\":2000000,\"may_cancel\":true,"
            + "\"may_probe\":true,\"may_tell\":true,\"open_cap\":20000,\"retry_after\":true,"
            + "\"second_copies\":false,\"streams_per_conn\":32},"
            + "\"load_info\":{\"how\":\"off\",\"names\":[]},"
            + "\"prices\":{\"connection\":0.0,\"cross_zone\":0.03,\"handshake\":0.0,\"late_fail\":0.03,"
            + "\"membership_mode\":0.0,\"moves\":0.0,\"origin\":0.03,\"peer\":0.01,\"probe\":0.01,\"waste\":0.08},"
            + "\"rules\":{\"answer_slack\":20000,\"ask_within\":10000000,\"cold\":23000000,\"drain_grace\":500000,"
            + "\"overload_for\":3000000,\"start_capacity\":0.13,\"tip_multiple\":3.0},"
            + "\"scoring_mix\":{\"whole\":0.25,\"worst_class\":0.2,\"worst_tenant\":0.1,\"worst_window\":0.45}}";

    static String config(int listen, int discovery, String known, String settings) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + listen + "\",\"discovery\":\"127.0.0.1:" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":128,\"sockets\":1024},"
                + "\"known\":" + known + ",\"settings\":" + settings + "}";
    }

    // ---------------------------------------------------------------- balancer process

    /** One balancer, started by the deploy file's `run` from the root, as the platform starts it. */
    static final class Balancer implements Closeable {
        final Process process;
        final Path folder;
        final int port;
        private final Process guard;

        Balancer(int port, String config) throws IOException {
            this.port = port;
            folder = Files.createTempDirectory("review");
            Path configFile = folder.resolve("config.json");
            Files.writeString(configFile, config);
            Path root = Path.of("").toAbsolutePath();
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(root));
            builder.directory(root.toFile());
            Map<String, String> env = builder.environment();
            env.put("ROUTER_CONFIG", configFile.toString());
            env.put("ROUTER_NAME", "n0");
            env.put("ROUTER_LISTEN", "127.0.0.1:" + port);
            env.put("TMPDIR", Files.createDirectory(folder.resolve("tmp")).toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(folder.resolve("log").toFile());
            process = builder.start();
            processes.add(process);
            guard = guard(process.pid(), folder);
            log("balancer started, listens on 127.0.0.1:" + port);
        }

        private static String runCommand(Path root) throws IOException {
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                Matcher m = Pattern.compile("run = \"(.*)\"").matcher(line.trim());
                if (m.matches()) {
                    return m.group(1).replace("\\\"", "\"");
                }
            }
            throw new IOException("no `run` in deploy/balancer.toml");
        }

        /** Waits until the balancer answers PING, at most 30 s. */
        void awaitReady() throws IOException {
            long until = nowMs() + 30_000;
            while (nowMs() < until && process.isAlive()) {
                try (Client c = new Client(port)) {
                    c.socket.setSoTimeout(1000);
                    c.write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    if ("+PONG".equals(c.readLine())) {
                        log("balancer is ready");
                        return;
                    }
                } catch (IOException e) {
                    sleep(50);
                }
            }
            throw new IOException("the balancer did not become ready");
        }

        /** Ends the process and copies its log into the record. */
        @Override
        public void close() throws IOException {
            try {
                process.descendants().forEach(ProcessHandle::destroyForcibly);
                process.destroyForcibly();
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            List<String> lines = Files.readAllLines(folder.resolve("log"), StandardCharsets.ISO_8859_1);
            for (String line : lines.subList(0, Math.min(60, lines.size()))) {
                log("balancer's log: " + line);
            }
            endGuard(guard);
        }
    }

    // ---------------------------------------------------------------- RESP and HTTP reading

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException();
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a command, an array of bulk strings; returns its words in ISO 8859-1. */
    static List<String> readCommand(InputStream in) throws IOException {
        String head = readLine(in);
        if (!head.startsWith("*")) {
            throw new IOException("not a command: " + head);
        }
        List<String> words = new ArrayList<>();
        int count = Integer.parseInt(head.substring(1));
        for (int i = 0; i < count; i++) {
            int length = Integer.parseInt(readLine(in).substring(1));
            byte[] word = in.readNBytes(length);
            if (word.length < length) {
                throw new EOFException();
            }
            readLine(in);
            words.add(new String(word, StandardCharsets.ISO_8859_1));
        }
        return words;
    }

    static byte[] command(String... words) {
        StringBuilder out = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            out.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        return out.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] hit(String value) {
        return ("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$3\r\nhit\r\n$-1\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    static final byte[] MISS = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n".getBytes(StandardCharsets.ISO_8859_1);

    /** A request that the origin got over HTTP. */
    record HttpRequest(String method, String target, Map<String, String> headers, byte[] body) {}

    static HttpRequest readHttp(InputStream in) throws IOException {
        String[] start = readLine(in).split(" ");
        Map<String, String> headers = new java.util.TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        return new HttpRequest(start[0], start[1], headers, in.readNBytes(length));
    }

    static byte[] http(int status, String headers, String body) {
        return ("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---------------------------------------------------------------- servers

    interface Serve {
        void connection(Socket socket, InputStream in, OutputStream out) throws IOException;
    }

    /** A TCP server on a free loopback port, with a thread for each connection. */
    static final class Server {
        final ServerSocket socket;
        final int port;

        Server(String name, Serve serve) throws IOException {
            socket = listen(512);
            port = socket.getLocalPort();
            daemon(name, () -> {
                while (true) {
                    Socket accepted = socket.accept();
                    accepted.setTcpNoDelay(true);
                    daemon(name + "-connection", () -> {
                        try (accepted) {
                            serve.connection(
                                    accepted,
                                    new BufferedInputStream(accepted.getInputStream()),
                                    accepted.getOutputStream());
                        }
                    });
                }
            });
        }
    }

    /** Many TCP servers with one handler, each on a port of its own; fewer if the machine allows fewer descriptors. */
    static int[] listenAtMany(String name, int wanted, Serve serve) throws IOException {
        Selector selector = Selector.open();
        List<Integer> ports = new ArrayList<>();
        try {
            while (ports.size() < wanted) {
                ServerSocketChannel channel = ServerSocketChannel.open();
                channel.bind(new InetSocketAddress("127.0.0.1", 0), 64);
                channel.configureBlocking(false);
                channel.register(selector, SelectionKey.OP_ACCEPT);
                ports.add(channel.socket().getLocalPort());
            }
        } catch (IOException e) {
            log("only " + ports.size() + " listeners of " + wanted + ": " + e);
            if (ports.size() < 200) {
                throw e;
            }
        }
        daemon(name, () -> {
            while (true) {
                selector.select();
                for (SelectionKey key : selector.selectedKeys()) {
                    SocketChannel accepted = ((ServerSocketChannel) key.channel()).accept();
                    if (accepted != null) {
                        Socket socket = accepted.socket();
                        socket.setTcpNoDelay(true);
                        daemon(name + "-connection", () -> {
                            try (socket) {
                                serve.connection(
                                        socket,
                                        new BufferedInputStream(socket.getInputStream()),
                                        socket.getOutputStream());
                            }
                        });
                    }
                }
                selector.selectedKeys().clear();
            }
        });
        return ports.stream().mapToInt(i -> i).toArray();
    }

    /** Discovery: answers a call for the list, and a watch with a first object and then an empty line every 2 s. */
    static final class Discovery {
        final Server server;
        /** How long a watch call waits for its first object. */
        volatile long watchDelayMs;
        final List<OutputStream> watches = new CopyOnWriteArrayList<>();
        volatile String current;

        /** @param first the whole list, in the form in which it is written, without its line end */
        Discovery(String first) throws IOException {
            current = first;
            server = new Server("discovery", (socket, in, out) -> {
                while (true) {
                    HttpRequest request = readHttp(in);
                    log("discovery got " + request.target());
                    if (!request.target().contains("watch=1")) {
                        out.write(http(200, "", current));
                        continue;
                    }
                    sleep(watchDelayMs);
                    out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(
                            StandardCharsets.ISO_8859_1));
                    chunk(out, current + "\n");
                    log("discovery has written the whole list on the watch, " + current.length() + " bytes, "
                            + current.lines().count() + " lines");
                    watches.add(out);
                    while (true) {
                        sleep(2000);
                        chunk(out, "\n");
                    }
                }
            });
        }

        static void chunk(OutputStream out, String text) throws IOException {
            synchronized (out) {
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
            }
        }
    }

    // ---------------------------------------------------------------- client

    /** A client's connection. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
        }

        String readLine() throws IOException {
            return Kit.readLine(in);
        }

        /** Reads one answer; a bulk string as "$" and its content. */
        String readAnswer() throws IOException {
            String line = readLine();
            if (line.startsWith("$") && !line.equals("$-1")) {
                int length = Integer.parseInt(line.substring(1));
                byte[] content = in.readNBytes(length);
                if (content.length < length) {
                    throw new EOFException();
                }
                readLine();
                return "$" + new String(content, StandardCharsets.ISO_8859_1);
            }
            return line;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
