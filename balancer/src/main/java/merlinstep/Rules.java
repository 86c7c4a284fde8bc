package merlinstep;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import merlinstep.Cache.Area;
import merlinstep.Job.Waiting;

/**
 * Implements the decision interface of {@code Decisions.java}: routes requests to caches by a slot map, and
 * limits fetches from the origin by distributed credits (DoWSS, docs/design.md).
 *
 * <p>One credit pays for one fetch after a miss; misses without a credit are held. Each nested class owns the
 * state of one concern; all share the time and the sink of the event being handled. Not thread-safe.
 */
final class Rules implements Decisions {

    /** Length of a period (T of the paper); quotas count per second. */
    static final long PERIOD_MICROS = 1_000_000;
    /** A round trip between zones: no peer state is fresher than that. */
    static final long MIN_SUBPERIOD_MICROS = 50_000;
    /** The aim at which times apply as given here; shorter aims scale them down. */
    static final double AIM_MICROS = 750_000;
    /** Fraction of the CPU allowance that reading peer messages may use. */
    static final double PEER_CPU_PART = 0.1;

    static final double PEER_MESSAGE_CPU_MICROS = 4;
    /** V of equation 6: work in microseconds that is done in a second. */
    static final double SPEED = 1e8;
    /** Periods without a message after which a peer counts as silent; tolerates two lost heartbeats. */
    static final int SILENT_PERIODS = 3;
    /** Initial X as a fraction of the sum of the quotas. */
    static final double FIRST_X_OF_QUOTA = 0.25;
    /** Largest growth of X in a period, and of the delay between list calls that fail. */
    static final double GROWTH = 1.5;
    /** X after a cut, relative to the rate that was answered; below 1 so that the origin's queue drains. */
    static final double CUT = 0.85;
    /** X grows while the mean latency is below this multiple of the lowest one. */
    static final double QUICK_LATENCY = 1.6;
    /** Fraction of the shortest aim that a fetch may take; the rest is left for the miss before it. */
    static final double TARGET_PART = 0.5;
    /** Outstanding fetches relative to those before a cut, below which the cut has taken effect. */
    static final double SAME = 0.8;
    /** Bound of X relative to the best answered rate, while demand has not tested it. */
    static final double UNTESTED = 2;
    /** One in this many of the peers' estimates is ignored as too low by chance. */
    static final int NOISY = 8;
    /** Growth per period of the lowest mean latency, so that it follows an origin that has become slower. */
    static final double EASING = 1.1;
    /** Decay per tested period of the best answered rate. */
    static final double FADING = 0.97;

    static final int SLOTS = 4096;
    /** Caches ranked for each slot; also the most caches that serve one key. */
    static final int RANKED = 12;
    /** A key with more than this part of a mean cache's requests is served by several caches. */
    static final double HOT_PART = 0.5;

    static final long COUNT_HALF_LIFE_MICROS = 4_000_000;
    /** Counters in each row of the key sketch; a power of two. */
    static final int COUNTERS = 2048;
    /** Work of answering a miss relative to a hit. */
    static final double MISS_COST = 0.2;
    /** Attempts that may be outstanding at a cache before its answers have adjusted the limit. */
    static final double FIRST_LIMIT = 16;
    /** Least time between messages while there are requests. */
    static final long LOADS_MICROS = 200_000;
    /** Fraction of the worth of the requests that peer messages may cost. */
    static final double TELLING_PART = 0.01;
    /** Multiple of the mean load above which a cache gives up some of its slots. */
    static final double SPILL = 1.25;
    /** Attempts added to that bound, so that small numbers do not move slots. */
    static final double SPILL_SLACK = 2;
    /** Factor on a cache's concurrency limit after an answer slower than half its aim. */
    static final double LIMIT_CUT = 0.85;
    /** Consecutive unanswered attempts after which a cache may be suspected. */
    static final int SILENT_ATTEMPTS = 3;
    /** Multiple of the mean latency without an answer after which a cache is suspected. */
    static final double SILENT_LATENCIES = 3;
    /** Error rate above which a cache is taken out of use. */
    static final double FAILING = 0.5;
    /** Error rate up to which a failed request may return to the same cache, which may hold its value. */
    static final double DOUBTFUL = 0.25;
    /** Requests over which the clients' own deadlines are averaged. */
    static final int GIVEN_SEEN = 64;
    /** Answers over which a cache's error rate is averaged. */
    static final int ANSWERS_SEEN = 8;
    /** Least timeout of an attempt at a suspected server, in mean latencies. */
    static final double DOUBTFUL_LATENCIES = 1.25;
    /** Bound of the expected answer time relative to the shortest aim; some reads are always admitted. */
    static final double MOST_NEED = 0.75;
    /** Fraction of the load at which a cold cache falls that all balancers together may send it. */
    static final double FALL_PART = 0.5;
    /** First delay between trials of a server out of use; it doubles. */
    static final long TRIAL_MICROS = 500_000;
    /** Balancers whose trials a cold cache can take; with more of them each tries less often. */
    static final double TRIAL_CROWD = 8;

    static final long MAX_TRIAL_MICROS = 4_000_000;
    /** First delay after a failed list call. */
    static final long ASK_MICROS = 500_000;
    /** Longest delay after failed list calls. */
    static final long MOST_ASK_MICROS = 2_000_000;

    private static final long NEVER = Long.MIN_VALUE;
    private static final long TICK = 1;
    private static final double GOLDEN = 0.6180339887498949;

    private final Settings settings;
    private final Random random;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final long shortestAimMicros;
    /** Aims against those that the times above were chosen for: shorter ones leave less time to find out. */
    private final double pace;

    private final boolean aside;
    private final int maxAttempts;
    private Sink out;
    private boolean started;
    private long now;
    private long logAllowedMicros;
    final Ledger ledger;
    final Budget budget;
    final Peers peers;
    final Slots slots;
    final Held held;
    final Attempts attempts;
    final Membership membership;

    Rules(Settings settings) {
        if (settings == null) {
            throw new IllegalArgumentException("setting settings is missing");
        }
        this.settings = settings;
        random = new Random(settings.seed());
        long shortest = Long.MAX_VALUE;
        for (RequestClass c : settings.classes()) {
            classes.put(c.name(), c);
            shortest = Math.min(shortest, c.aimMicros() > 0 ? c.aimMicros() : c.deadlineMicros());
        }
        shortestAimMicros = shortest == Long.MAX_VALUE ? PERIOD_MICROS : shortest;
        pace = Math.min(1, shortestAimMicros / AIM_MICROS);
        aside = settings.origin().mode() == Mode.ASIDE;
        maxAttempts = settings.limits().maxAttempts();
        ledger = new Ledger();
        budget = new Budget();
        peers = new Peers();
        slots = new Slots();
        held = new Held();
        attempts = new Attempts();
        membership = new Membership();
    }

    @Override
    public void decide(long nowMicros, Event event, Sink sink) {
        now = nowMicros;
        out = sink;
        if (!started) {
            started = true;
            ledger.periodStartMicros = now;
            ledger.tick();
            membership.askMicros = now + (long) (random.nextDouble() * PERIOD_MICROS);
        }
        if (event instanceof AttemptEnded e) {
            attempts.ended(e);
        } else if (event instanceof Request e) {
            attempts.arrived(e);
        } else if (event instanceof TimerFired e && e.token() == TICK) {
            ledger.tick();
            slots.tick();
            held.tick();
            peers.tell();
            membership.tick();
        } else if (event instanceof PeerMessage e) {
            peers.heard(e.from(), e.content());
        } else if (event instanceof RequestGone e) {
            Job job = attempts.jobs.remove(e.request());
            if (job != null) {
                held.remove(job);
            }
        } else if (event instanceof ServerList e) {
            membership.listed(e);
        }
    }

    /** One line a second at most: a flood of lines hides the one that matters. */
    private void log(String text) {
        if (now < logAllowedMicros) {
            return;
        }
        logAllowedMicros = now + PERIOD_MICROS;
        out.accept(new Log(text));
    }

    /** Splits the period's allowance into credits, subperiod by subperiod (equations 3 to 10). */
    final class Ledger {
        final int subperiods;
        final long subperiodMicros;
        int period;
        int fetched;
        boolean contended;
        private long periodStartMicros;
        private int subperiod;
        private int credits;
        private int kept;
        private int outstandingCap;
        private boolean bound;

        Ledger() {
            double cpu = settings.limits().cpuMicrosPerSecond();
            // With B balancers each reads B - 1 messages a subperiod, so that it grows with B.
            double each = cpu > 0 ? 1e6 * PEER_MESSAGE_CPU_MICROS / (PEER_CPU_PART * cpu) : 0;
            double micros = Math.max(each * (settings.balancers() - 1), pace * MIN_SUBPERIOD_MICROS);
            subperiods = Math.max(2, (int) (PERIOD_MICROS / Math.max(micros, settings.tickMicros())));
            subperiodMicros = PERIOD_MICROS / subperiods;
        }

        /** Moves on to the present subperiod; a late tick skips what it missed. */
        void tick() {
            while (now - periodStartMicros >= PERIOD_MICROS) {
                periodStartMicros += PERIOD_MICROS;
                budget.endOfPeriod(bound);
                bound = false;
                period = period + 1 & 0xffff;
                fetched = 0;
            }
            subperiod = (int) Math.min(subperiods - 1, (now - periodStartMicros) / subperiodMicros);
            deal();
            long next = periodStartMicros + (subperiod + 1) * subperiodMicros - now;
            out.accept(new SetTimer(TICK, next > 0 ? next : subperiodMicros));
        }

        int positionMillis() {
            return (int) ((now - periodStartMicros) / 1000);
        }

        /**
         * Takes over the phase of the lowest-numbered peer heard: that needs no common clock. Danger: where
         * its word of a new period came first, the old one ended unseen and taught nothing; so ticks end it.
         */
        void follow(int peerPeriod, int positionMillis) {
            long position = positionMillis * 1000L;
            long ahead = (short) (peerPeriod - period) * PERIOD_MICROS + position - (now - periodStartMicros);
            if (Math.abs(ahead) <= subperiodMicros / 2) {
                return;
            }
            if (Math.abs(ahead) < PERIOD_MICROS) {
                periodStartMicros = Math.min(now, periodStartMicros - ahead);
            } else {
                periodStartMicros = now - position;
                period = peerPeriod;
                fetched = 0;
            }
        }

        private void deal() {
            int b = settings.balancers();
            int me = settings.index();
            double x = budget.effective() * peers.refresh() / b;
            double[] weights = new double[b];
            int[] draws = new int[b];
            int queued = held.queued();
            int spent = 0;
            int outstanding = 0;
            int idle = 0;
            boolean dry = false;
            boolean before = contended;
            for (int j = 0; j < b; j++) {
                Figures f = peers.all[j].said;
                if (!peers.all[j].fresh) {
                    continue; // its even share stays aside
                }
                weights[j] = f.queue() == 0 ? weight(1) : f.weight();
                draws[j] = f.draw();
                queued += j == me ? 0 : f.queue();
                spent += f.period() == period ? f.fetched() : 0;
                outstanding += f.outstanding();
                idle += f.queue() == 0 ? 1 : 0; // credits that an idle peer keeps are not outstanding
                dry |= f.queue() > 0 && f.credits() == 0;
            }
            // Whole credits of fractional ones: an X under one credit a period still buys one now and then.
            long total = (long) Math.floor(x * (period + 1)) - (long) Math.floor(x * period);
            // Danger: a slow origin would get credits long before it fails; what it holds counts.
            double window = x * Math.max(budget.targetMicros(), subperiodMicros) / 1e6;
            long left = Math.max(0, total - spent);
            long room = (long) Math.ceil(window) + idle - outstanding;
            long d = Math.max(0, Math.min(left, room));
            double pace = x / subperiods;
            contended = queued > Math.max(Math.ceil(pace), b);
            bound |= queued > 0 && (contended || d == 0 || dry);
            boolean even = !contended && (subperiod == 0 || queued == 0);
            if (even) {
                for (int j = 0; j < b; j++) {
                    weights[j] = peers.all[j].fresh ? 1 : 0;
                }
            }
            long step = (long) period * subperiods + subperiod;
            int share = contended ? contention(d, pace, weights, me, step) : share(left, weights, draws, me);
            double sum = Arrays.stream(weights).sum();
            outstandingCap = (int) Math.max(2, Math.ceil(sum > 0 ? window * weights[me] / sum : window));
            // Dealt on what was told, and paid from it: of the period what went out, of the room what is out.
            Figures told = peers.me.said;
            int since = fetched - (told.period() == period ? told.fetched() : 0);
            int open = share(room, weights, draws, me) - attempts.originOutstanding + told.outstanding();
            // Danger: of a hundred, most have no miss when their turn comes. Each keeps one credit for its
            // next, so that the tier is over a period's allowance by one each at most.
            kept = contended && before ? Math.min(kept, Math.max(0, credits)) : 0;
            if (contended && held.keys.isEmpty()) {
                kept = Math.min(1, kept + share);
            }
            credits = !contended ? Math.min(share - since, open) : held.keys.isEmpty() ? kept : kept + share;
        }

        /** Equation 8 with a ceiling; the surplus of equation 9 goes back by lowest draw, then number. */
        static int share(long d, double[] weights, int[] draws, int me) {
            double sum = Arrays.stream(weights).sum();
            if (sum <= 0 || d <= 0) {
                return 0;
            }
            long surplus = -d;
            int mine = 0;
            int lower = 0;
            for (int j = 0; j < weights.length; j++) {
                int x = (int) Math.ceil(d * weights[j] / sum - 1e-9);
                surplus += x;
                if (j == me) {
                    mine = x;
                }
                if (x > 0 && (draws[j] < draws[me] || draws[j] == draws[me] && j < me)) {
                    lower++;
                }
            }
            return mine > 0 && lower < surplus ? mine - 1 : mine;
        }

        /** Equation 10; what F leaves of the subperiod's pace rotates along the weights. */
        static int contention(long d, double pace, double[] weights, int me, long step) {
            long first = (long) Math.floor(step * pace);
            long count = Math.min(d, (long) Math.floor((step + 1) * pace) - first);
            if (weights[me] <= 0 || count <= 0) {
                return 0;
            }
            int members = (int) Arrays.stream(weights).filter(w -> w > 0).count();
            double low = Arrays.stream(weights, 0, me).sum();
            double sum = Arrays.stream(weights).sum();
            int mine = (int) Math.min(Math.floor(pace / members), count / members);
            for (long c = first + (long) mine * members; c < first + count; c++) {
                double at = (c * GOLDEN - Math.floor(c * GOLDEN)) * sum;
                mine += at >= low && at < low + weights[me] ? 1 : 0;
            }
            return mine;
        }

        /** Weight of a queued miss (equation 6), zero if it takes longer than a subperiod. */
        double weight(double size) {
            return Math.max(0, Math.log10(subperiodMicros / 1e6 * SPEED / Math.max(1, size)));
        }

        boolean mayFetch() {
            return credits > 0 && attempts.originOutstanding < outstandingCap;
        }

        /** A write is worth most and may overdraw: its credit is paid from the next share. */
        boolean mayWrite() {
            return credits > -outstandingCap && attempts.originOutstanding < 2 * outstandingCap;
        }

        void spend() {
            credits--;
            fetched++;
        }
    }

    /** Learns X, the fetches a second that the origin answers in good time, from all balancers' answers. */
    final class Budget {
        private double x;
        private double best;
        private double rateBefore;
        private double cutMean;
        private double leastLatencyMicros = shortestAimMicros / 4.0; // until seen: a usable one is quicker
        private boolean learnt;
        private boolean grown;
        private long answers;
        private long latencyMillis;
        private long failures;

        Budget() {
            double quota = settings.tenants().stream()
                    .mapToDouble(Tenant::quotaPerSecond)
                    .sum();
            best = Math.max(settings.balancers(), FIRST_X_OF_QUOTA * quota);
            x = best;
        }

        /** The mean time of an answer up to which X grows: past it misses come too late for their aims. */
        double targetMicros() {
            return Math.max(QUICK_LATENCY * leastLatencyMicros, TARGET_PART * shortestAimMicros);
        }

        /** The lowest of this estimate and of those that fresh peers have learnt, but for the noisiest. */
        double effective() {
            double[] told = Arrays.stream(peers.all)
                    .filter(p -> p != peers.me)
                    .mapToDouble(Peer::allowance)
                    .filter(a -> a < Double.MAX_VALUE)
                    .sorted()
                    .toArray();
            double low = told.length == 0 ? Double.MAX_VALUE : told[told.length / NOISY];
            // Danger: most restart at once, and what they have not learnt yet would bind them and then all.
            return learnt || low == Double.MAX_VALUE ? Math.min(x, low) : low;
        }

        void ended(Outcome outcome, long latencyMicros) {
            if (outcome == Outcome.SERVED) {
                answers++;
                latencyMillis += latencyMicros / 1000;
            } else if (outcome == Outcome.FULL // no connection is the link's fault, and no sign of load
                    || outcome == Outcome.TIMED_OUT && latencyMicros > QUICK_LATENCY * leastLatencyMicros) {
                failures++; // nor is a time-out where the client had too little time left for any answer
            }
        }

        /** Once a period, on what all fresh peers saw: one sees too little. What failed counts as slow. */
        void endOfPeriod(boolean bound) {
            long n = 0;
            long millis = 0;
            long bad = 0;
            long heard = 0;
            for (Peer p : peers.all) {
                heard += p.fresh ? 1 : 0;
                n += p.said.answers() - p.counted.answers();
                millis += p.said.latencyMillis() - p.counted.latencyMillis();
                bad += p.said.failures() - p.counted.failures();
                p.counted = p.said;
            }
            double delivered = (double) n * settings.balancers() / heard;
            double target = targetMicros();
            double mean = n + bad > 0 ? (1000.0 * millis + 2 * bad * target) / (n + bad) : 0;
            x = Math.min(learnt ? x : Math.max(x, effective()), effective() * GROWTH); // to test a peer's
            double most = Math.max(delivered, rateBefore); // one period alone may have been a thin one
            boolean known = n + bad > Math.min(1, x / 2);
            boolean tested = known && bound && n > 0;
            boolean late = known && mean > target;
            // Danger: a slowed origin looks like a queue, and cuts would go on to nothing. Where fewer out
            // cost rate rather than time, the time is its own.
            double rate = delivered / rateBefore;
            double time = mean / cutMean;
            boolean itself = late && n > 0 && cutMean > 0 && rate * time < SAME && time > rate;
            rateBefore = delivered;
            cutMean = late && !itself ? mean : 0;
            if (late && !itself) {
                if (grown) {
                    best = Math.min(best, x); // a step up that was too much
                }
                x = Math.max(1, Math.min(x, Math.max(CUT * most, x / 2)));
                log("origin slow: allowance down to " + Math.round(x) + " fetches a second");
            } else if (known) {
                best = Math.max(1, Math.max(tested ? best * FADING : best, delivered));
                // Half of the way back to what it has answered before, past that by how quick it is.
                double step = x * Math.min(GROWTH, Math.sqrt(target / mean));
                step = itself ? most : x < CUT * best ? (x + best) / 2 : step;
                x = Math.min(tested ? Math.max(x, step) : x, UNTESTED * best + settings.balancers());
            }
            grown = !late && tested;
            learnt |= late || tested;
            double eased = itself ? Math.min(mean, shortestAimMicros) : leastLatencyMicros * EASING;
            if (n >= 4 || itself) {
                leastLatencyMicros = Math.min(1000.0 * millis / n, eased);
            }
        }
    }

    /** Tells and hears figures; a silent peer has no say, but its even share of the allowance stays aside. */
    final class Peers {
        final Peer[] all = new Peer[settings.balancers()];
        final Peer me;
        private int told = Figures.BYTES;

        Peers() {
            for (int i = 0; i < all.length; i++) {
                all[i] = new Peer();
            }
            me = all[settings.index()];
            me.incarnation = random.nextInt(1 << 16);
        }

        /** Marks who is fresh, and counts them, this balancer included. */
        int refresh() {
            int n = 0;
            for (Peer p : all) {
                p.fresh = p == me || now < p.heardMicros + SILENT_PERIODS * PERIOD_MICROS;
                n += p.fresh ? 1 : 0;
            }
            return n;
        }

        /** Sends on change, in quiet times only heartbeats: messages cost with the square of the fleet. */
        void tell() {
            Figures f = me.said;
            boolean pressed = held.queued() > 0 || f.queue() > 0 || ledger.contended || ledger.credits <= 1;
            boolean changed = ledger.fetched != f.fetched()
                    || held.queued() != f.queue()
                    || attempts.originOutstanding != f.outstanding()
                    || ledger.period != f.period();
            long calm = attempts.jobs.isEmpty() ? PERIOD_MICROS / 2 : LOADS_MICROS;
            long gap = !changed ? PERIOD_MICROS : pressed ? ledger.subperiodMicros / 2 : calm;
            // Danger: each hears all others, and what a few tell freely costs a hundred a tenth of the worth.
            double cost = (all.length - 1) * settings.prices().peer() * told / Loads.FULL_MESSAGE;
            double requests = Math.max(1, slots.counts.total()) / (1.5 * COUNT_HALF_LIFE_MICROS);
            double dear = Math.min(PERIOD_MICROS, cost / (TELLING_PART * requests));
            gap = Math.max(gap, (long) dear);
            if (me.heardMicros != NEVER && now < me.heardMicros + gap) {
                return;
            }
            // Danger: told in step, all hear of a queue at once, leave it, and come back at the next word.
            me.heardMicros = now + (long) ((random.nextDouble() - 0.5) * dear);
            me.said = new Figures(
                    ledger.period,
                    ledger.positionMillis(),
                    ledger.fetched,
                    held.queued(),
                    (float) held.weight(),
                    Math.max(0, ledger.credits),
                    random.nextInt(1 << 16),
                    attempts.originOutstanding,
                    budget.learnt ? (float) budget.x : 0,
                    (int) budget.answers,
                    budget.latencyMillis,
                    (int) budget.failures);
            if (all.length == 1 || !settings.limits().mayTellPeers()) {
                return;
            }
            byte[] loads = Loads.of(slots.caches);
            told = Figures.BYTES + loads.length;
            out.accept(new TellPeer(TellPeer.EVERYONE, me.said.encode(me.incarnation, ++me.sequence, loads)));
        }

        void heard(int from, byte[] content) {
            if (from < 0
                    || from >= all.length
                    || from == settings.index()
                    || content == null
                    || content.length < Figures.BYTES
                    || content[0] != Figures.VERSION) {
                return;
            }
            ByteBuffer b = ByteBuffer.wrap(content, 1, content.length - 1);
            int incarnation = b.getShort() & 0xffff;
            int sequence = b.getInt();
            Figures f = Figures.decode(b);
            Peer p = all[from];
            boolean known = p.heardMicros != NEVER && incarnation == p.incarnation;
            if (!f.possible() || known && sequence <= p.sequence) {
                return; // foreign, repeated or overtaken
            }
            p.hear(incarnation, sequence, now, f, Arrays.copyOfRange(content, b.position(), content.length));
            for (int i = 0; i < from; i++) {
                if (all[i].fresh) {
                    return;
                }
            }
            ledger.follow(f.period(), f.positionMillis());
        }
    }

    /** Slot map by highest hash among the ready caches; each has a part of its slots by size and warmth. */
    final class Slots {
        private final List<Cache> caches = new ArrayList<>();
        private final Map<Long, Cache> byId = new HashMap<>();
        private final Map<Integer, Cache> byTag = new HashMap<>();
        private final Map<String, Area> areas = new HashMap<>();
        private final Map<String, Double> largestOfKind = new HashMap<>();
        private final Cache[] ranked = new Cache[SLOTS * RANKED];
        private final long[] scores = new long[SLOTS * RANKED];
        private Cache origin;
        private final KeyCounts counts = new KeyCounts(COUNTERS);
        private final boolean live = settings.weights() == Weights.LIVE; // then sizes fall with load
        private double usable;
        private double meanLoad;
        private double mostTaken;
        private double hitMicros = shortestAimMicros / 4;
        private double needMicros = hitMicros;
        private long halvedMicros = NEVER;
        private long heardMicros = NEVER / 2;

        /** Takes a list in; slots are ranked anew only where caches came or went. */
        void listed(ServerList list) {
            Set<Cache> seen = new HashSet<>();
            Set<Cache> came = new LinkedHashSet<>();
            Set<Cache> went = new HashSet<>();
            for (Server s : list.servers()) {
                Cache c = byId.get(s.id());
                if (c == null && s.state() != State.RUNNING) {
                    continue;
                }
                if (c == null) {
                    int kind = settings.kinds().indexOf(s.kind());
                    c = new Cache(
                            s.id(),
                            aside && kind >= 0 && kind == settings.origin().kind());
                    byId.put(c.id, c);
                    caches.add(c);
                    if (!c.origin) {
                        came.add(c);
                    }
                }
                if (s.startedMicros() != c.startedMicros) {
                    c.restore(); // what was held against the process before is void
                    c.tokens = random.nextDouble();
                    c.limit = Math.min(c.limit, FIRST_LIMIT);
                }
                c.listed(s, areas.computeIfAbsent(s.zone() == null ? "" : s.zone(), z -> new Area()));
                seen.add(c);
            }
            for (Cache c : List.copyOf(caches)) {
                c.running &= list.kind() == ListKind.CHANGES || seen.contains(c);
                if (c.running) {
                    continue; // draining or gone: nothing new from now on, the grace is not used
                }
                if (c.origin) {
                    attempts.originOutstanding = 0;
                }
                c.restore();
                caches.remove(c);
                byId.remove(c.id);
                if (!c.origin && !came.remove(c)) {
                    went.add(c);
                }
            }
            caches.sort(Comparator.comparingLong(c -> c.id));
            origin = caches.stream().filter(c -> c.origin).findFirst().orElse(null);
            byTag.clear();
            for (Cache c : caches) {
                byTag.put(Loads.tag(c.id), c);
            }
            rank(came, went);
            weigh();
        }

        /** Who came is put in place in each slot; only slots that held one that went are ranked from all. */
        private void rank(Set<Cache> came, Set<Cache> went) {
            for (int s = 0; s < SLOTS && !(came.isEmpty() && went.isEmpty()); s++) {
                int base = s * RANKED;
                boolean anew = false;
                for (int r = 0; r < RANKED && !went.isEmpty(); r++) {
                    anew |= went.contains(ranked[base + r]);
                }
                if (anew) {
                    Arrays.fill(ranked, base, base + RANKED, null);
                }
                if (anew) {
                    Arrays.fill(scores, base, base + RANKED, 0);
                }
                for (Cache c : anew ? caches : came) {
                    if (!c.origin) {
                        place(s, base, c);
                    }
                }
            }
        }

        private void place(int slot, int base, Cache c) {
            long score = Hash.mix(slot * 0x9e3779b97f4a7c15L + c.id) >>> 1;
            if (score <= scores[base + RANKED - 1]) {
                return;
            }
            int r = base + RANKED - 1;
            for (; r > base && score > scores[r - 1]; r--) {
                ranked[r] = ranked[r - 1];
                scores[r] = scores[r - 1];
            }
            ranked[r] = c;
            scores[r] = score;
        }

        private double size(Cache c) {
            return live ? largestOfKind.getOrDefault(c.kind, c.size) : c.size;
        }

        /** Each cache's part of its slots: its size against the largest, times how warm it is at least. */
        private void weigh() {
            double largest = 0;
            double taken = 0;
            double load = 0;
            usable = 0;
            for (Cache c : caches) {
                c.elsewhere = 0;
            }
            for (Peer p : peers.all) {
                if (now < p.heardMicros + 2 * PERIOD_MICROS) {
                    Loads.add(p.loads, byTag);
                }
            }
            for (Cache c : caches) {
                if (c.origin) {
                    continue;
                }
                if (live) {
                    largestOfKind.merge(c.kind, c.size, Math::max);
                }
                largest = Math.max(largest, size(c));
            }
            for (Cache c : caches) {
                boolean sized = settings.weights() != Weights.NONE && largest > 0;
                c.part = (sized ? Math.max(0.05, size(c) / largest) : 1) * warmth(c);
                if (c.origin || out(c)) {
                    continue;
                }
                taken += c.taken;
                load += c.load();
                usable += c.part;
            }
            meanLoad = usable > 0 ? load / usable : 0;
            // Danger: misses come back fast, so a cold cache looks idle and would draw all until it falls.
            // It gets no more than its part of what warm ones get, times a part of that multiple.
            double decay = Math.exp(-(double) ledger.subperiodMicros / COUNT_HALF_LIFE_MICROS);
            double most = FALL_PART * settings.rules().fallMultiple();
            // Danger: warm ones that are crowded answer less, and cold ones would get less just then.
            mostTaken = Math.max(mostTaken * (1 - (1 - decay) / 8), usable > 0 ? taken / usable : 0);
            double fill = mostTaken * (1 - decay) * most;
            for (Cache c : caches) {
                c.tokens = Math.min(Math.max(1, 4 * fill * c.part), c.tokens + fill * c.part);
                c.sent *= decay;
                c.taken *= decay;
            }
        }

        private boolean cold(Cache c) {
            return c.startedMicros != 0
                    && now - c.startedMicros < settings.rules().coldMicros();
        }

        /** The part of its capacity that a cache has at least, growing evenly since its start. */
        private double warmth(Cache c) {
            double least = settings.rules().coldCapacity();
            double age = Math.max(0, now - c.startedMicros);
            return cold(c)
                    ? Math.min(1, least + (1 - least) * age / settings.rules().coldMicros())
                    : 1;
        }

        void tick() {
            if (halvedMicros == NEVER || now - halvedMicros >= COUNT_HALF_LIFE_MICROS) {
                halvedMicros = now;
                counts.halve();
            }
            double silence = silence();
            for (Cache c : caches) {
                // Danger: a vanished machine sends no reset; each request to it would wait out its time.
                boolean silent = c.unanswered >= SILENT_ATTEMPTS && now - c.quietSinceMicros >= silence;
                if (!silent || c.suspect || c.origin || deaf()) {
                    continue;
                }
                suspect(c);
                attempts.abandon(c);
            }
            weigh();
        }

        private double silence() {
            return Math.max(SILENT_LATENCIES * hitMicros, shortestAimMicros / 2.0);
        }

        /** Danger: a balancer that is held up itself hears nobody, and would put every server out of use. */
        private boolean deaf() {
            return now - heardMicros >= silence() / 2;
        }

        /** Counts a request for the key and gives how many caches shall serve it. */
        int spread(long key) {
            return (int) Math.max(1, Math.min(RANKED, Math.ceil(counts.add(key) * usable / HOT_PART)));
        }

        private boolean out(Cache c) {
            return c.suspect || c.area.down;
        }

        boolean usable(Cache c) {
            return c != null && c.running && !out(c) && room(c);
        }

        boolean room(Cache c) {
            return c.load() < c.limit && now >= c.closedUntilMicros && (!cold(c) || c.tokens >= 1);
        }

        /**
         * The part of its slots that a cache keeps. Danger: each balancer has little out where a queue is
         * long, as keys fall alike at all. The same slots go to the next cache at each, and find keys there.
         */
        private double kept(Cache c) {
            double most = SPILL * meanLoad * c.part + SPILL_SLACK;
            return c.elsewhere > 0 && c.load() > most ? Math.pow(most / c.load(), 2) : 1;
        }

        /** The cache for a key: its slot's first, or of {@code spread} the least busy; null to wait. */
        Cache pick(long key, int spread, Cache shunned) {
            int slot = (int) (Hash.mix(key) & SLOTS - 1);
            int found = 0;
            int ties = 0;
            Cache best = null;
            Cache last = null;
            for (int r = 0; r < RANKED && found < spread; r++) {
                Cache c = ranked[slot * RANKED + r];
                if (c == null || c == shunned || out(c) && !trial(c)) {
                    continue;
                }
                if (out(c)) {
                    return c;
                }
                last = c;
                // A part of the slots, not of time: the same ones at every balancer, and few move.
                double place = (Hash.mix(slot * 31L ^ c.id * 0x9e3779b97f4a7c15L) >>> 11) * 0x1p-53;
                if (place >= c.part * kept(c)) {
                    continue;
                }
                if (cold(c) && c.tokens < 1) {
                    continue; // the next one takes what a cold cache can't
                }
                // Danger: one that turns away all, with nothing of ours there, keeps its keys waiting for it.
                if (now < c.closedUntilMicros && c.outstanding == 0 && c.limit < 2) {
                    continue;
                }
                found++;
                if (!room(c)) {
                    continue;
                }
                double busy = (c.sent + c.load()) / c.part;
                double lead = best == null ? 1 : (best.sent + best.load()) / best.part - busy;
                ties = lead > 0 ? 1 : ties + 1;
                if (lead > 0 || lead == 0 && random.nextInt(ties) == 0) {
                    best = c;
                }
            }
            if (found > 0) {
                return best;
            }
            for (Cache c : caches) {
                last = last == null && !c.origin && !out(c) ? c : last;
            }
            return usable(last) ? last : null;
        }

        /** Whether a request may try a server out of use: one now and then, so that its return is noticed. */
        boolean trial(Cache c) {
            if (now < (c.area.down ? c.area.trialMicros : c.trialMicros)) {
                return false;
            }
            c.area.trialMicros = now + (long) (pace * TRIAL_MICROS);
            delayTrial(c);
            return true;
        }

        /** Health from outcomes: any answer clears a server, silence and no connection speak against it. */
        void ended(Cache c, AttemptEnded e, double aimMicros) {
            Outcome outcome = e.outcome();
            long latencyMicros = e.latencyMicros();
            c.outstanding = Math.max(0, c.outstanding - 1);
            boolean silent = outcome == Outcome.TIMED_OUT || outcome == Outcome.NOT_CONNECTED;
            boolean served = outcome == Outcome.SERVED;
            boolean failed = outcome == Outcome.ERROR; // a reset says more of the connection
            if (!c.origin && (failed || served || outcome == Outcome.MISS)) {
                c.answered(failed);
            }
            boolean late = (served || outcome == Outcome.TIMED_OUT) && latencyMicros > aimMicros / 2;
            if ((late || outcome == Outcome.FULL) && now >= c.limitCutMicros) {
                c.limitCutMicros = now + latencyMicros;
                c.limit = Math.max(1, Math.min(c.limit, c.load() + 1) * LIMIT_CUT);
            } else if (served && !late && c.load() + 1 >= c.limit) {
                c.limit += 1 / c.limit;
            }
            // Danger: what is turned away or times out is no measure of what a cache takes.
            c.taken += served ? 1 : outcome == Outcome.MISS ? MISS_COST : 0;
            if (outcome == Outcome.MISS) {
                c.sent -= Math.min(c.sent, 1 - MISS_COST);
            }
            if (outcome == Outcome.MISS) {
                c.tokens += 1 - MISS_COST; // what it cost, not what it might have
            }
            if (outcome == Outcome.FULL) {
                c.gapMicros = (long) Math.min(pace * PERIOD_MICROS, Math.max(2 * c.gapMicros, hitMicros / 4));
                c.closedUntilMicros = now + (long) ((0.5 + random.nextDouble()) * c.gapMicros);
            }
            if (served) {
                c.gapMicros /= 2;
            }
            double need = Math.min(MOST_NEED * shortestAimMicros, served ? latencyMicros : 2 * latencyMicros);
            if (!c.origin && (served || outcome == Outcome.TIMED_OUT)) {
                needMicros += (need - needMicros) / 16;
            }
            if (silent) {
                boolean unheard = now - c.area.heardMicros > settings.limits().connectTimeoutMicros();
                unheard &= outcome == Outcome.NOT_CONNECTED;
                if (c.suspect || c.unanswered >= SILENT_ATTEMPTS && !deaf() || unheard) {
                    suspect(c);
                }
            } else if (outcome != Outcome.CANCELLED && outcome != Outcome.NOT_SENT) {
                // A link is back: each server behind it would else wait for a trial of its own.
                if (c.area.down) {
                    for (Cache other : caches) {
                        if (other.area == c.area) {
                            other.restore();
                        }
                    }
                }
                c.heard(now);
                heardMicros = now;
                if (c.suspect && !failed) {
                    c.trialMicros = now; // one more trial tells whether it serves again
                }
                // Danger: one that fails at once looks idle, and draws its requests till their tries end.
                if (failed && c.failing > FAILING && !c.origin && mostWell()) {
                    suspect(c);
                }
                if (served && !c.origin) {
                    hitMicros += (latencyMicros - hitMicros) / 64;
                }
            }
        }

        /** Errors everywhere are no server's own: out of use, they would only crowd the rest. */
        private boolean mostWell() {
            return caches.stream().filter(this::out).count() < caches.size() / 2;
        }

        /** Danger: trials of many balancers, in step, would push a cache over when it is back. */
        private void delayTrial(Cache c) {
            double times = Math.max(1, settings.balancers() / TRIAL_CROWD) * (0.5 + random.nextDouble() / 2);
            c.trialMicros = now + (long) (pace * c.trialGapMicros * times);
        }

        private void suspect(Cache c) {
            if (c.suspect) {
                c.trialGapMicros = Math.min(2 * c.trialGapMicros, MAX_TRIAL_MICROS);
            } else {
                log("server " + c.id + (c.failing > FAILING ? " fails" : " is silent") + ": out of use");
            }
            c.suspect();
            delayTrial(c);
            // Danger: behind a cut link every server would have to fail by itself, one time-out each.
            boolean quiet = now - c.area.heardMicros > PERIOD_MICROS / 2;
            if (!c.area.down && quiet && c.area.suspects >= SILENT_ATTEMPTS) {
                c.area.down = true;
                c.area.trialMicros = now + (long) (pace * TRIAL_MICROS);
                log("nothing answers in a whole zone: its servers are out of use");
            }
        }
    }

    /** Misses and writes that wait for credits, and requests that wait for room at a cache. */
    final class Held {
        private final List<Waiting> keys = new ArrayList<>();
        private final List<Job> writes = new ArrayList<>();
        private final List<Job> parked = new ArrayList<>();

        /** Fetches wanted: one a key, since a fetch serves all that wait for it. */
        int queued() {
            return writes.size() + (int) keys.stream().filter(Waiting::free).count();
        }

        double weight() {
            double sum = writes.stream()
                    .mapToDouble(j -> ledger.weight(j.request.workMicros()))
                    .sum();
            for (Waiting w : keys) {
                sum += w.free() ? ledger.weight(w.workMicros()) : 0;
            }
            return sum;
        }

        void missed(Job job, boolean fetchedElsewhere) {
            Waiting w = job.waiting;
            for (Waiting other : keys) {
                w = w == null && other.key == job.key ? other : w;
            }
            if (w == null) {
                w = new Waiting(job.key, now);
                keys.add(w);
                // Danger: balancers that all miss a key would all fetch it. Each waits its turn, by key and
                // number; who has waited asks the cache again before it buys.
                double b = settings.balancers();
                double turn = Long.remainderUnsigned(Hash.mix(job.key) + settings.index(), (long) b) / b;
                double wait = b == 1 ? 0 : (fetchedElsewhere ? 1 : 0) + (ledger.contended ? turn : 0);
                w.readyMicros += (long) (wait * budget.leastLatencyMicros);
            }
            if (w.leader == job) {
                w.leader = null; // asked again in vain: now it is for a credit
            }
            if (job.waiting == null) {
                w.jobs.add(job);
            }
            job.waiting = w;
            release();
            answerIfDue(job);
        }

        void write(Job job) {
            writes.add(job);
            release();
            answerIfDue(job);
        }

        void hold(Job job, List<Job> where) {
            where.add(job);
            answerIfDue(job);
        }

        /** Danger: a client's last try may have less time left than to the next tick, and be lost. */
        void answerIfDue(Job job) {
            boolean due = job.heldUntilMicros() < now + ledger.subperiodMicros + settings.tickMicros();
            if (due && job.at == null) {
                attempts.finish(job);
            }
        }

        /** Spends what credits there are: writes first, then the key whose waiters are worth most. */
        void release() {
            Cache origin = slots.origin;
            if (origin == null || slots.out(origin) && !(queued() > 0 && slots.trial(origin))) {
                return;
            }
            while (!writes.isEmpty() && ledger.mayWrite()) {
                ledger.spend();
                attempts.send(writes.remove(0), origin, 0);
            }
            while (true) {
                Waiting best = null;
                double most = 0;
                for (Waiting w : keys) {
                    double worth = w.leader == null && w.readyMicros <= now ? w.worth() : -1;
                    best = worth >= most ? w : best;
                    most = Math.max(worth, most);
                }
                if (best == null) {
                    return;
                }
                // The one with least time takes the answer of the fetch, the others ask the cache after it.
                Job leader = best.mostUrgent();
                boolean stale = now - best.sinceMicros >= budget.leastLatencyMicros;
                // Another balancer may have filled the cache meanwhile: asking again costs no credit.
                boolean ask = stale
                        && peers.all.length > 1
                        && !leader.askedAgain
                        && leader.attempts + 2 < maxAttempts
                        && slots.usable(leader.missedAt);
                if (!ask && !ledger.mayFetch()) {
                    return;
                }
                best.leader = leader;
                leader.askedAgain |= ask;
                if (!ask) {
                    best.sinceMicros = now;
                    ledger.spend();
                }
                attempts.send(leader, ask ? leader.missedAt : origin, 0);
            }
        }

        /** A request was served: what else waits for its key finds the object where that one missed. */
        void served(Job job) {
            Waiting w = job.waiting;
            remove(job);
            if (w == null || w.leader != job) {
                return;
            }
            keys.remove(w);
            for (Job j : w.jobs) {
                j.waiting = null;
                j.home = job.missedAt;
                if (j.attempts + 1 < maxAttempts) {
                    attempts.ask(j);
                } else {
                    missed(j, false);
                }
            }
        }

        /** Takes a request out of what it waits in; a key that loses its leader waits for another credit. */
        void remove(Job job) {
            Waiting w = job.waiting;
            if (w != null) {
                w.jobs.remove(job);
                if (w.leader == job && !job.served) {
                    w.leader = null;
                }
                if (w.jobs.isEmpty()) {
                    keys.remove(w);
                }
            }
            writes.remove(job);
            parked.remove(job);
        }

        /** A cache has room again: of those that wait for it, what is worth most goes first. */
        void unpark(Cache c) {
            Job best = parked.stream()
                    .filter(j -> j.parkedFor == c)
                    .min(this::before)
                    .orElse(null);
            if (best == null || !slots.room(c)) {
                return;
            }
            parked.remove(best);
            attempts.ask(best);
        }

        private int before(Job a, Job b) {
            // Danger: first come, first served, all are late where more come than can be served.
            long back = now + (long) slots.hitMicros;
            int byWorth = Double.compare(b.worthAt(back), a.worthAt(back));
            return byWorth != 0 ? byWorth : Long.compare(a.usefulUntilMicros, b.usefulUntilMicros);
        }

        /** Answers what can no longer be served in time, while a refusal still spares the client a wait. */
        void tick() {
            long until = now + ledger.subperiodMicros + settings.tickMicros();
            double fetch = until + budget.leastLatencyMicros;
            List<Job> late = new ArrayList<>();
            for (Waiting w : keys) {
                double last = w.leader == null ? fetch : until;
                for (Job j : w.jobs) {
                    if (j != w.leader && j.usefulUntilMicros < last) {
                        late.add(j);
                    }
                }
            }
            for (Job j : writes) {
                if (j.heldUntilMicros() < fetch) {
                    late.add(j);
                }
            }
            for (Job j : late) {
                attempts.finish(j);
            }
            List<Job> again = parked.stream().sorted(this::before).toList();
            parked.clear();
            for (Job j : again) {
                attempts.ask(j);
            }
            release();
        }
    }

    /** Sends, judges outcomes and gives final answers, within the effect rules. */
    final class Attempts {
        private final Map<String, Job> jobs = new LinkedHashMap<>(); // hash order must decide nothing
        private final RequestClass unknownClass =
                new RequestClass("", 0, 0, 1, Effect.UNSAFE, Group.CELL, 0, 0, 0, false);
        int originOutstanding;
        private double given = 1; // part of its aim that a client leaves: it may give up long before

        void arrived(Request r) {
            RequestClass kind = classes.getOrDefault(r.requestClass(), unknownClass);
            Job job = new Job(r, kind, now);
            long aim = kind.aimMicros() + (long) (kind.aimPerWork() * r.workMicros());
            job.inTimeUntilMicros = aim > 0 ? Math.min(now + aim, r.deadlineMicros()) : r.deadlineMicros();
            job.usefulUntilMicros = kind.lateWorth() == 0 ? job.inTimeUntilMicros : r.deadlineMicros();
            given += (Math.min(1, (r.deadlineMicros() - now) / (aim + 1.0)) - given) / GIVEN_SEEN;
            jobs.put(r.id(), job);
            job.spread = slots.spread(job.key);
            if (r.write() && aside) {
                held.write(job);
            } else {
                ask(job);
            }
        }

        /** Asks the key's cache, or parks the request while there is no room. */
        void ask(Job job) {
            // A wait for a quarter of the time there is makes the next cache of the slot worth a fetch.
            boolean waited = now - job.arrivedMicros > (job.usefulUntilMicros - job.arrivedMicros) / 4;
            int spread = job.spread + (waited ? 1 : 0);
            // Danger: what can't be back in time costs a cache the same work, and comes again with less.
            long left = job.usefulUntilMicros - now;
            if (left < slots.needMicros && job.attempts == 0 && job.kind.effect() == Effect.SAFE) {
                finish(job);
                return;
            }
            Cache c = slots.usable(job.home) ? job.home : slots.pick(job.key, spread, job.shunned);
            job.home = null;
            if (c == null) {
                job.parkedFor = slots.ranked[(int) (Hash.mix(job.key) & SLOTS - 1) * RANKED];
                held.hold(job, held.parked);
            } else {
                boolean doubtful = slots.out(c) || c.unanswered >= SILENT_ATTEMPTS;
                // Danger: less than an answer takes, and none that is back could ever show it.
                long third = (long) Math.max(DOUBTFUL_LATENCIES * slots.hitMicros, left / 3.0);
                send(job, c, doubtful ? Math.max(1, Math.min(third, left)) : 0);
            }
        }

        void send(Job job, Cache to, long timeoutMicros) {
            if (!maySend(job, to)) {
                finish(job);
                return;
            }
            job.attempts++;
            job.at = to;
            job.sentMicros = now;
            to.sent(now);
            originOutstanding += to.origin ? 1 : 0;
            // Past its aim an answer may be worth nothing: an attempt that may be repeated ends there.
            boolean ends = job.kind.effect() == Effect.SAFE && !to.origin && timeoutMicros == 0;
            long timeout = ends ? Math.max(1, job.usefulUntilMicros - now) : timeoutMicros;
            out.accept(new Send(job.request.id(), to.id, timeout));
        }

        /** Danger: an effect twice. After one that may have run only the class's repeats are harmless. */
        private boolean maySend(Job job, Cache to) {
            boolean over = now >= job.request.deadlineMicros() || job.attempts >= maxAttempts;
            if (over || job.at != null) {
                return false;
            }
            if (job.ranMicros == NEVER || job.kind.effect() == Effect.SAFE) {
                return true;
            }
            over |= now >= job.ranMicros + job.kind.windowMicros() - 2 * settings.tickMicros();
            return job.kind.effect() == Effect.KEYED
                    && !over
                    && switch (job.kind.group()) {
                        case ALL -> true;
                        case ZONE -> to.area == job.ranAt.area;
                        case CELL -> to.cell == job.ranAt.cell;
                    };
        }

        void ended(AttemptEnded e) {
            Job job = jobs.get(e.request());
            Cache at = job != null && job.at != null ? job.at : slots.byId.get(e.server());
            long aim = job == null ? shortestAimMicros : job.kind.aimMicros();
            if (at != null) {
                slots.ended(at, e, aim * given);
            }
            if (at != null && at.origin) {
                originOutstanding = Math.max(0, originOutstanding - 1);
                budget.ended(e.outcome(), e.latencyMicros());
            }
            if (job != null) {
                settle(job, at, e);
            }
            if (at != null && at.origin) {
                held.release();
            } else if (at != null) {
                held.unpark(at);
            }
        }

        private void settle(Job job, Cache at, AttemptEnded e) {
            job.at = null;
            if (!e.outcome().provesNothingRan() && job.ranMicros == NEVER) {
                job.ranMicros = job.sentMicros;
                job.ranAt = at;
            }
            if (e.done()) {
                job.served = e.outcome() == Outcome.SERVED;
                jobs.remove(e.request());
                held.served(job);
            } else if (now >= job.usefulUntilMicros || at == null) {
                finish(job);
            } else if (e.outcome() == Outcome.MISS && !at.origin) {
                job.missedAt = at;
                held.missed(job, e.note() == 3);
            } else if (at.origin && job.waiting != null && job.attempts < maxAttempts) {
                job.waiting.leader = null;
                held.answerIfDue(job);
            } else {
                held.remove(job);
                job.waiting = null;
                job.parkedFor = at;
                job.shunned = at.failing > DOUBTFUL ? at : null;
                // Danger: asking on at once after a full answer is a storm that fills every cache.
                if (!maySend(job, at)) {
                    finish(job);
                } else if (at.origin) {
                    held.hold(job, held.writes);
                } else if (e.outcome() == Outcome.FULL) {
                    held.hold(job, held.parked);
                } else {
                    ask(job);
                }
            }
        }

        /** The final answer of a request that is not served: a refusal wherever that is allowed. */
        void finish(Job job) {
            if (jobs.remove(job.request.id()) == null) {
                return;
            }
            held.remove(job);
            boolean harmless = job.ranMicros == NEVER
                    || job.kind.effect() == Effect.SAFE
                    || job.kind.effect() == Effect.KEYED && job.kind.group() == Group.ALL;
            // Its aim is past by the time a retry could be served: the longest advice keeps that load away.
            long wait = settings.limits().retryAfter() ? settings.limits().maxRetryAfterMicros() : 0;
            String id = job.request.id();
            out.accept(harmless && job.at == null ? new Refuse(id, wait) : new Fail(id));
        }

        /** Calls off what waits at a silent cache, so that it can go elsewhere while there is time. */
        void abandon(Cache c) {
            if (!settings.limits().mayCancel()) {
                return;
            }
            for (Job job : jobs.values()) {
                if (job.at == c && job.kind.effect() == Effect.SAFE) {
                    out.accept(new Cancel(job.request.id(), job.attempts - 1));
                }
            }
        }
    }

    /** Keeps up with the server list: hears it where it is pushed, watches it where it must be asked for. */
    final class Membership {
        private final boolean asks = settings.membership() == Decisions.Membership.ASK;
        private boolean watching;
        private long askMicros;
        private long waitMicros;

        void tick() {
            if (!asks || watching || now < askMicros) {
                return;
            }
            watching = true; // until the call is said to have failed
            out.accept(new WatchServers(true));
        }

        void listed(ServerList list) {
            if (list.kind() == ListKind.FAILED) {
                // Danger: all asking again at once keep the list service down; each waits its own time.
                watching = false;
                waitMicros = (long) Math.max(ASK_MICROS, Math.min(GROWTH * waitMicros, MOST_ASK_MICROS));
                askMicros = now + (long) ((0.5 + random.nextDouble() / 2) * waitMicros);
                return;
            }
            watching |= list.kind() != ListKind.LAST_KNOWN;
            waitMicros = 0;
            slots.listed(list);
        }
    }
}
