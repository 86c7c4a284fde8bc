import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins for clients, routers, the origin and discovery, on loopback addresses and the real clock, and the start of real
 * balancers by the command of the deploy file. Written from the protocol pages.
 */
final class Kit {

    static final long START = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final Random RANDOM = new Random(46);
    private static PrintWriter record;
    private static final List<Process> processes = new CopyOnWriteArrayList<>();
    private static final List<Path> folders = new CopyOnWriteArrayList<>();
    private static final List<Process> guards = new CopyOnWriteArrayList<>();

    private Kit() {}

    /** Thrown where the case itself cannot run. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1;

        CannotRun(String message) {
            super(message);
        }
    }

    /** A case: returns null if the rule held, else what broke it. */
    interface Case {
        String run() throws Exception;
    }

    static void main(String folder, Case body) {
        int code = 2;
        // A case never runs past its time, whatever hangs.
        Thread limit = new Thread(() -> {
            sleep(112_000);
            end(2);
        });
        limit.setDaemon(true);
        limit.start();
        // A script that is told to end leaves no process behind.
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::cleanUp));
        try {
            record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
            log("TROUBLE=" + (TROUBLE ? 1 : 0));
            String broken = body.run();
            log(broken == null ? "RESULT the rule held" : "RESULT the rule was broken: " + broken);
            System.out.println(broken == null ? "held" : "broken: " + broken);
            code = broken == null ? 0 : 1;
        } catch (Throwable e) {
            log("CANNOT RUN " + e);
            e.printStackTrace();
        }
        end(code);
    }

    static synchronized void end(int code) {
        cleanUp();
        if (record != null) {
            record.flush();
        }
        Runtime.getRuntime().halt(code);
    }

    private static void cleanUp() {
        guards.forEach(Process::destroyForcibly); // before the balancers: their numbers may be given to others
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(2, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                break;
            }
        }
        for (Path folder : folders) {
            File[] files = folder.toFile().listFiles();
            for (File file : files == null ? new File[0] : files) {
                file.delete();
            }
            folder.toFile().delete();
        }
    }

    static long now() {
        return (System.nanoTime() - START) / 1000;
    }

    static void log(String line) {
        if (record != null) {
            synchronized (record) {
                record.printf("%10.3f %s%n", now() / 1000.0, line);
            }
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void sleepUntil(long micros) {
        sleep((micros - now()) / 1000);
    }

    static Thread spawn(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static InetAddress loopback() throws IOException {
        return InetAddress.getByName("127.0.0.1");
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, loopback())) {
            return socket.getLocalPort();
        }
    }

    static int freeUdpPort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, loopback())) {
            return socket.getLocalPort();
        }
    }

    static String id() {
        synchronized (RANDOM) {
            return HexFormat.of().toHexDigits(RANDOM.nextLong());
        }
    }

    // ---- RESP ----

    /** A command as it came in, with the times of its first and last byte. */
    static final class Command {
        final List<byte[]> words = new ArrayList<>();
        long firstByte;
        long lastByte;

        String word(int i) {
            return i < words.size() ? new String(words.get(i), StandardCharsets.UTF_8) : "";
        }

        Map<String, String> facts() {
            Map<String, String> facts = new LinkedHashMap<>();
            for (String pair : word(3).split(",")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    facts.put(pair.substring(0, equals), pair.substring(equals + 1));
                }
            }
            return facts;
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                throw new EOFException();
            }
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
    }

    static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException();
        }
        return bytes;
    }

    static Command readCommand(InputStream in) throws IOException {
        Command command = new Command();
        int first = in.read();
        if (first < 0) {
            throw new EOFException();
        }
        command.firstByte = now();
        if (first != '*') {
            throw new IOException("not a command");
        }
        int count = Integer.parseInt(line(in));
        for (int i = 0; i < count; i++) {
            int length = Integer.parseInt(line(in).substring(1));
            command.words.add(exactly(in, length));
            exactly(in, 2);
        }
        command.lastByte = now();
        return command;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static byte[] command(byte[]... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(bytes("*" + words.length + "\r\n"));
        for (byte[] word : words) {
            out.writeBytes(bytes("$" + word.length + "\r\n"));
            out.writeBytes(word);
            out.writeBytes(bytes("\r\n"));
        }
        return out.toByteArray();
    }

    static byte[] hit(byte[] value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(bytes("*3\r\n$" + value.length + "\r\n"));
        out.writeBytes(value);
        out.writeBytes(bytes("\r\n$3\r\nhit\r\n$-1\r\n"));
        return out.toByteArray();
    }

    static byte[] miss() {
        return bytes("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    }

    // ---- routers ----

    /** One attempt that a router or the origin received whole. */
    record Attempt(String server, String verb, String key, String id, String facts, long firstByte, long lastByte, byte[] value) {
        long d() {
            for (String pair : facts.split(",")) {
                if (pair.startsWith("d=")) {
                    return Long.parseLong(pair.substring(2));
                }
            }
            return -1;
        }
    }

    /** A connection at a router. */
    static final class Conn {
        final Socket socket;
        final OutputStream out;

        Conn(Socket socket) throws IOException {
            this.socket = socket;
            out = socket.getOutputStream();
        }

        void send(byte[] bytes) throws IOException {
            synchronized (out) {
                out.write(bytes);
                out.flush();
            }
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** What a router does with a command; by default it holds every key. */
    interface RouterBehaviour {
        void handle(Router router, Conn conn, Command command, Attempt attempt) throws Exception;
    }

    static final class Router {
        final String name;
        final ServerSocket listener;
        final List<Attempt> attempts = Collections.synchronizedList(new ArrayList<>());
        final AtomicLong connections = new AtomicLong();
        volatile RouterBehaviour behaviour;
        volatile long workMillis = 3;

        Router(String name) throws IOException {
            this(name, null);
        }

        Router(String name, RouterBehaviour behaviour) throws IOException {
            this.name = name;
            this.behaviour = behaviour;
            listener = new ServerSocket(0, 512, loopback());
            spawn("router " + name, this::accept);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    connections.incrementAndGet();
                    spawn("router connection", () -> serve(socket));
                }
            } catch (IOException e) {
                log("router " + name + " listens no more");
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                Conn conn = new Conn(socket);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 32 * 1024);
                while (true) {
                    Command command = readCommand(in);
                    String verb = command.word(0);
                    if (!verb.startsWith("OBJ.")) {
                        conn.send(bytes(verb.equals("PING") ? "+PONG\r\n" : "-NOPERM\r\n"));
                        continue;
                    }
                    Attempt attempt = new Attempt(
                            name,
                            verb,
                            command.word(1),
                            command.word(2),
                            command.word(3),
                            command.firstByte,
                            command.lastByte,
                            command.words.size() > 4 ? command.words.get(4) : null);
                    attempts.add(attempt);
                    log("router " + name + " got " + verb + " key=" + attempt.key + " id=" + attempt.id + " facts="
                            + attempt.facts);
                    RouterBehaviour now = behaviour;
                    if (now != null) {
                        now.handle(this, conn, command, attempt);
                    } else {
                        sleep(workMillis);
                        conn.send(hit(bytes(valueFor(attempt.key, attempt.id))));
                    }
                }
            } catch (Exception e) {
                // the connection ended
            }
        }
    }

    static String valueFor(String key, String id) {
        return "value of " + key + " for " + id;
    }

    // ---- origin ----

    interface OriginBehaviour {
        void handle(Origin origin, Conn conn, Attempt attempt) throws Exception;
    }

    static final class Origin {
        final ServerSocket listener;
        final List<Attempt> attempts = Collections.synchronizedList(new ArrayList<>());
        volatile OriginBehaviour behaviour;
        volatile long workMillis = 10;

        Origin() throws IOException {
            listener = new ServerSocket(0, 512, loopback());
            spawn("origin", this::accept);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    spawn("origin connection", () -> serve(socket));
                }
            } catch (IOException e) {
                log("the origin listens no more");
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                Conn conn = new Conn(socket);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 32 * 1024);
                while (true) {
                    in.mark(1);
                    if (in.read() < 0) {
                        return;
                    }
                    in.reset();
                    long first = now();
                    String[] request = line(in).split(" ");
                    Map<String, String> headers = headers(in);
                    byte[] body = exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
                    if (request[1].equals("/healthz") || request[1].equals("/load")) {
                        conn.send(response(200, "ok", ""));
                        continue;
                    }
                    Attempt attempt = new Attempt(
                            "origin",
                            request[0],
                            request[1].substring(1),
                            headers.getOrDefault("x-correlation-id", ""),
                            headers.getOrDefault("x-facts", ""),
                            first,
                            now(),
                            body);
                    attempts.add(attempt);
                    log("origin got " + attempt.verb + " key=" + attempt.key + " id=" + attempt.id + " facts="
                            + attempt.facts);
                    OriginBehaviour now = behaviour;
                    if (now != null) {
                        now.handle(this, conn, attempt);
                    } else {
                        sleep(workMillis);
                        conn.send(response(200, valueFor(attempt.key, attempt.id), ""));
                    }
                }
            } catch (Exception e) {
                // the connection ended
            }
        }
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String text = line(in); !text.isEmpty(); text = line(in)) {
            int colon = text.indexOf(':');
            if (colon > 0) {
                headers.put(text.substring(0, colon).toLowerCase(), text.substring(colon + 1).trim());
            }
        }
        return headers;
    }

    static byte[] response(int status, String body, String extraHeaders) {
        return bytes("HTTP/1.1 " + status + " X\r\n" + extraHeaders + "Content-Length: " + bytes(body).length + "\r\n\r\n"
                + body);
    }

    // ---- discovery ----

    static final class Entry {
        final String name;
        final String address;
        final String zone;
        final String type;
        String status = "in_service";
        long sinceMillis;
        long index;

        Entry(String name, String address, String zone, String type) {
            this.name = name;
            this.address = address;
            this.zone = zone;
            this.type = type;
        }

        String json() {
            return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone + "\",\"type\":\"" + type
                    + "\",\"group\":0,\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":" + sinceMillis + "}";
        }
    }

    /** The list that all fronts of discovery serve. */
    static final class Listing {
        long index = 41;
        final Map<String, Entry> entries = new LinkedHashMap<>();

        synchronized void add(Entry entry) {
            entry.index = index;
            entries.put(entry.name, entry);
        }

        synchronized long change(String name, String status) {
            Entry entry = entries.get(name);
            entry.status = status;
            entry.index = ++index;
            log("discovery: " + name + " is " + status + ", version " + index);
            notifyAll();
            return now();
        }

        synchronized String whole() {
            return object(-1, true);
        }

        synchronized String object(long from, boolean snapshot) {
            StringBuilder text = new StringBuilder();
            for (Entry entry : entries.values()) {
                if (snapshot ? !entry.status.equals("terminated") : entry.index > from) {
                    text.append(text.length() == 0 ? "" : ",").append(entry.json());
                }
            }
            return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[" + text + "]}";
        }
    }

    /** How discovery treats a call: returns false if it has answered or ended the call itself. */
    interface CallFilter {
        boolean pass(Discovery discovery, Conn conn, String target, String caller) throws Exception;
    }

    /** One address of discovery. */
    static final class Discovery {
        final String name;
        final Listing listing;
        final ServerSocket listener;
        volatile CallFilter filter;
        volatile boolean silent;
        final List<Conn> watches = new CopyOnWriteArrayList<>();
        /** Times at which a version was written to a caller. */
        final Map<Long, Long> firstWritten = new ConcurrentHashMap<>();

        Discovery(String name, Listing listing) throws IOException {
            this.name = name;
            this.listing = listing;
            listener = new ServerSocket(0, 512, loopback());
            spawn("discovery " + name, this::accept);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    spawn("discovery call", () -> serve(socket));
                }
            } catch (IOException e) {
                log(name + " accepts no more connections");
            }
        }

        /** Accepts no new connection; closes the open ones after the given time. */
        void retire(long millis) {
            spawn("retire", () -> {
                try {
                    listener.close();
                    sleep(millis);
                    for (Conn conn : watches) {
                        conn.socket.close();
                    }
                    log(name + " closed its open connections");
                } catch (IOException e) {
                    log("retire: " + e);
                }
            });
        }

        private void serve(Socket socket) {
            try (socket) {
                Conn conn = new Conn(socket);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                String target = line(in).split(" ")[1];
                Map<String, String> headers = headers(in);
                String caller = headers.getOrDefault("x-caller", "balancer");
                log(name + " got call " + target + " of a " + caller);
                CallFilter now = filter;
                if (now != null && !now.pass(this, conn, target, caller)) {
                    return;
                }
                if (target.contains("watch=1")) {
                    watch(conn, Long.parseLong(target.replaceAll(".*from=([0-9]+).*", "$1")));
                } else {
                    String list = listing.whole();
                    conn.send(response(200, list, "Content-Type: application/json\r\nConnection: close\r\n"));
                    log(name + " answered a call of a " + caller + " with the list");
                }
            } catch (Exception e) {
                // the connection ended
            }
        }

        private void watch(Conn conn, long from) throws Exception {
            watches.add(conn);
            try {
                conn.send(bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"));
                long told = from;
                boolean first = true;
                long nextBeat = now() + 2_000_000;
                while (true) {
                    String text = null;
                    long version = 0;
                    synchronized (listing) {
                        if (!silent && (first || listing.index > told)) {
                            text = listing.object(told, false);
                            version = listing.index;
                        }
                    }
                    if (text != null) {
                        chunk(conn, text + "\n");
                        log(name + " wrote version " + version + " to a watch");
                        firstWritten.putIfAbsent(version, now());
                        told = version;
                        first = false;
                        nextBeat = now() + 2_000_000;
                    } else if (!silent && now() >= nextBeat) {
                        chunk(conn, "\n");
                        nextBeat = now() + 2_000_000;
                    }
                    synchronized (listing) {
                        if (silent || listing.index <= told) {
                            listing.wait(10);
                        }
                    }
                }
            } finally {
                watches.remove(conn);
                log(name + ": a watch ended");
            }
        }

        private static void chunk(Conn conn, String text) throws IOException {
            conn.send(bytes(Integer.toHexString(bytes(text).length) + "\r\n" + text + "\r\n"));
        }
    }

    // ---- balancers ----

    /** The settings of a small deployment; fields may be changed before the start. */
    static final class Site {
        int balancers = 1;
        boolean pushed;
        String classes = "{\"name\":\"map-read\",\"effect\":\"retryable\",\"group\":\"all\",\"on_time\":800000,"
                + "\"hard_limit\":1500000,\"key_ttl\":0,\"value\":1,\"late_worth\":0,\"streamed\":false},"
                + "{\"name\":\"search-order\",\"effect\":\"fragile\",\"group\":\"all\",\"on_time\":750000,"
                + "\"hard_limit\":1500000,\"key_ttl\":0,\"value\":2,\"late_worth\":0,\"streamed\":false},"
                + "{\"name\":\"parcel-watch\",\"effect\":\"dedup\",\"group\":\"all\",\"on_time\":1200000,"
                + "\"hard_limit\":5000000,\"key_ttl\":25000000,\"value\":2,\"late_worth\":0,\"streamed\":false}";
        String zones = "\"vancouver\",\"kamloops\"";
        long drainGrace = 500_000;
        long connectTimeout = 250_000;
        int memoryMb = 128;
        int sockets = 1024;
        double quota = 200;
        String mode = "aside";
        final List<Integer> listenPorts = new ArrayList<>();
        final List<Integer> peerPorts = new ArrayList<>();

        void takePorts() throws IOException {
            for (int i = 0; i < balancers; i++) {
                listenPorts.add(freePort());
                peerPorts.add(freeUdpPort());
            }
        }

        String config(int me, String discovery, String known) {
            StringBuilder peers = new StringBuilder();
            for (int port : peerPorts) {
                peers.append(peers.length() == 0 ? "" : ",").append("\"127.0.0.1:").append(port).append('"');
            }
            return "{\"name\":\"n" + me + "\",\"listen\":\"127.0.0.1:" + listenPorts.get(me) + "\",\"discovery\":\"" + discovery
                    + "\",\"seed\":\"" + id() + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":"
                    + sockets + "},\"peer_listen\":\"127.0.0.1:" + peerPorts.get(me) + "\",\"peers\":[" + peers + "],\"known\":"
                    + known + ",\"settings\":{\"me\":" + me + ",\"siblings\":" + balancers
                    + ",\"az\":\"vancouver\",\"membership_mode\":\"" + (pushed ? "automatic" : "subscribe")
                    + "\",\"weights\":\"rough\",\"tick\":5000,\"counted_by\":\"request\",\"over_share_worth\":0.1,\"layer\":0,"
                    + "\"layers\":[\"map-cache\"],\"domain_type\":\"cache\",\"failure_domains\":[" + zones
                    + "],\"skus\":[\"two-core\",\"three-core\",\"origin\"],\"extra\":{\"mode\":\"" + mode
                    + "\",\"origin_kind\":" + (mode.equals("aside") ? 2 : -1)
                    + ",\"origin_fall_multiple\":2.5,\"origin_fall\":3000000},\"classes\":[" + classes
                    + "],\"tenants\":[{\"name\":\"fraser-surveyors\",\"share\":0.7,\"quota_per_s\":" + quota * 0.7
                    + "},{\"name\":\"coastline-notaries\",\"share\":0.3,\"quota_per_s\":" + quota * 0.3
                    + "}],\"limits\":{\"max_attempts\":5,\"open_cap\":20000,\"second_copies\":false,\"may_cancel\":true,"
                    + "\"may_probe\":true,\"may_tell\":true,\"retry_after\":true,\"max_retry_after\":2000000,\"connect_timeout\":"
                    + connectTimeout + ",\"idle_close\":30000000,\"streams_per_conn\":32,\"cpu_us_per_s\":400000,"
                    + "\"cpu_us_per_request\":0},\"rules\":{\"answer_slack\":20000,\"drain_grace\":" + drainGrace
                    + ",\"ask_within\":10000000,\"start_capacity\":0.13,\"cold\":23000000,\"tip_multiple\":3.0,"
                    + "\"overload_for\":3000000},\"prices\":{\"connection\":0,\"cross_zone\":0.03,\"handshake\":0,"
                    + "\"late_fail\":0.03,\"membership_mode\":0,\"moves\":0,\"origin\":0.03,\"peer\":0.01,\"probe\":0.01,"
                    + "\"waste\":0.08},\"scoring_mix\":{\"whole\":0.25,\"worst_class\":0.2,\"worst_tenant\":0.1,"
                    + "\"worst_window\":0.45},\"load_info\":{\"how\":\"off\",\"names\":[]},\"client_habits\":{\"marks_retry\":true}}}";
        }
    }

    static String runCommand() throws Exception {
        for (String text : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (text.startsWith("run = \"")) {
                return text.substring(7, text.lastIndexOf('"')).replace("\\\"", "\"").replace("\\\\", "\\");
            }
        }
        throw new CannotRun("no run command in the deploy file");
    }

    static final class Balancer {
        final Site site;
        final int me;
        final Path folder;
        final Path config;
        Process process;

        Balancer(Site site, int me, String discovery, String known) throws Exception {
            this.site = site;
            this.me = me;
            folder = Files.createTempDirectory("review-");
            folders.add(folder);
            config = folder.resolve("config.json");
            Files.writeString(config, site.config(me, discovery, known));
        }

        void start() throws Exception {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
            builder.environment().put("ROUTER_CONFIG", config.toString());
            builder.environment().put("ROUTER_NAME", "n" + me);
            builder.environment().put("TMPDIR", folder.toString());
            builder.redirectErrorStream(true);
            process = builder.start();
            processes.add(process);
            guard(process.pid(), folder);
            Process started = process;
            spawn("log of a balancer", () -> {
                try (var reader = started.inputReader()) {
                    for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                        log("n" + me + " says: " + text);
                    }
                } catch (IOException e) {
                    log("n" + me + ": " + e);
                }
            });
            log("n" + me + " started");
        }

        /** Ends the balancer when this program goes in any way, also by a SIGKILL: then the guard's input ends. */
        private static void guard(long pid, Path folder) throws IOException {
            guards.add(new ProcessBuilder(
                            "/bin/sh", "-c", "read line; kill -KILL \"$1\" 2>/dev/null; rm -rf \"$2\"", "guard", "" + pid, "" + folder)
                    .start());
        }

        /** Waits until it answers PING. */
        void awaitReady() throws Exception {
            long limit = now() + 30_000_000;
            while (now() < limit) {
                if (!process.isAlive()) {
                    throw new CannotRun("balancer ended at its start");
                }
                try (Socket socket = connect()) {
                    socket.setSoTimeout(1000);
                    socket.getOutputStream().write(command(bytes("PING")));
                    if (line(socket.getInputStream()).equals("+PONG")) {
                        log("n" + me + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    sleep(20);
                }
            }
            throw new CannotRun("balancer not ready in 30 s");
        }

        Socket connect() throws IOException {
            Socket socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(loopback(), site.listenPorts.get(me)), 1000);
            return socket;
        }

        void signal(String name) throws Exception {
            log("n" + me + " gets SIG" + name);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
        }

        /** Replaces the configuration file whole, as the platform does, and sends SIGHUP. */
        void reconfigure(String discovery, String known) throws Exception {
            Path next = folder.resolve("next.json");
            Files.writeString(next, site.config(me, discovery, known));
            Files.move(next, config, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
            signal("HUP");
        }
    }

    // ---- clients ----

    /** One request and what came back. */
    static final class Request {
        final String id = id();
        final String verb;
        final String key;
        final String type;
        final long d;
        final byte[] value;
        long sent;
        /** When the first line of the answer was whole, and its last byte. */
        long began;

        long answered;
        /** The first line of the answer, "EOF" or "RESET" if the connection ended without one, "NONE" if none came. */
        String answer = "NONE";

        byte[] content;

        Request(String verb, String key, String type, long d, byte[] value) {
            this.verb = verb;
            this.key = key;
            this.type = type;
            this.d = d;
            this.value = value;
        }

        byte[] encode() {
            String facts = "c=" + type + ",t=fraser-surveyors,d=" + d + (type.equals("parcel-watch") ? ",k=k" + id : "")
                    + ",h=3000";
            return value == null
                    ? command(bytes(verb), bytes(key), bytes(id), bytes(facts))
                    : command(bytes(verb), bytes(key), bytes(id), bytes(facts), value);
        }

        boolean served() {
            return answer.startsWith("$") || answer.startsWith("*");
        }

        boolean busy() {
            return answer.startsWith("-BUSY");
        }

        /** Whether a served answer is the value that was made for this request. */
        boolean right() {
            return content != null && new String(content, StandardCharsets.UTF_8).equals(valueFor(key, id));
        }

        @Override
        public String toString() {
            return verb + " " + type + " key=" + key + " id=" + id + " d=" + d + " answer=" + answer + " after "
                    + (answered - sent) / 1000 + " ms";
        }
    }

    /** A client connection that is used for one request at a time. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        final InputStream in;

        Client(Balancer balancer) throws IOException {
            socket = balancer.connect();
            in = new BufferedInputStream(socket.getInputStream());
        }

        Request ask(Request request) {
            return ask(request, request.d + 3000);
        }

        Request ask(Request request, long waitMillis) {
            try {
                request.sent = now();
                log("client sends " + request.verb + " " + request.type + " key=" + request.key + " id=" + request.id + " d="
                        + request.d);
                socket.getOutputStream().write(request.encode());
                request.sent = now();
                read(request, waitMillis);
            } catch (IOException e) {
                request.answer = "RESET";
            }
            request.answered = now();
            log("client has " + request);
            return request;
        }

        void read(Request request, long waitMillis) throws IOException {
            try {
                socket.setSoTimeout((int) waitMillis);
                String text = line(in);
                request.began = now();
                if (text.startsWith("$") && !text.equals("$-1")) {
                    request.content = exactly(in, Integer.parseInt(text.substring(1)));
                    exactly(in, 2);
                }
                request.answer = text;
            } catch (SocketTimeoutException e) {
                request.answer = "NONE";
            } catch (EOFException e) {
                request.answer = "EOF";
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static Request get(String key, long d) {
        return new Request("OBJ.GET", key, "map-read", d, null);
    }
}
