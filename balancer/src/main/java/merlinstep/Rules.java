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
import merlinstep.Cache.Zone;
import merlinstep.Job.HeldMiss;

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
    static final double REFERENCE_AIM_MICROS = 750_000;
    /** Fraction of the CPU allowance that reading peer messages may use. */
    static final double PEER_CPU_FRACTION = 0.1;

    static final double PEER_MESSAGE_CPU_MICROS = 4;
    /** V of equation 6: work in microseconds that is done in a second. */
    static final double WORK_MICROS_PER_SEC = 1e8;
    /** Periods without a message after which a peer counts as silent; tolerates two lost heartbeats. */
    static final int PEER_TIMEOUT_PERIODS = 3;
    /** Initial X as a fraction of the sum of the quotas. */
    static final double INITIAL_ALLOWANCE_FRACTION = 0.25;
    /** Largest growth of X in a period, and of the delay between list calls that fail. */
    static final double GROWTH = 1.5;
    /** X after a cut, relative to the rate that was answered; below 1 so that the origin's queue drains. */
    static final double CUT_FACTOR = 0.85;
    /** X grows while the mean latency is below this multiple of the lowest one. */
    static final double LATENCY_MULTIPLE = 1.6;
    /** Fraction of the shortest aim that a fetch may take; the rest is left for the miss before it. */
    static final double AIM_FRACTION = 0.5;
    /** Outstanding fetches relative to those before a cut, below which the cut has taken effect. */
    static final double CUT_EFFECT_RATIO = 0.8;
    /** Bound of X relative to the best answered rate, while demand has not tested it. */
    static final double UNTESTED_ALLOWANCE_MULTIPLE = 2;
    /** One in this many of the peers' estimates is ignored as too low by chance. */
    static final int OUTLIER_DIVISOR = 8;
    /** Growth per period of the lowest mean latency, so that it follows an origin that has become slower. */
    static final double MIN_LATENCY_GROWTH = 1.1;
    /** Decay per tested period of the best answered rate. */
    static final double BEST_RATE_DECAY = 0.97;

    static final int SLOTS = 4096;
    /** Caches ranked for each slot; also the most caches that serve one key. */
    static final int SLOT_CACHES = 12;
    /** A key with more than this part of a mean cache's requests is served by several caches. */
    static final double HOT_PART = 0.5;

    static final long COUNT_HALF_LIFE_MICROS = 4_000_000;
    /** Counters in each row of the key sketch; a power of two. */
    static final int COUNTERS_PER_ROW = 2048;
    /** Work of answering a miss relative to a hit. */
    static final double MISS_COST = 0.2;
    /** Attempts that may be outstanding at a cache before its answers have adjusted the limit. */
    static final double INITIAL_CONCURRENCY_LIMIT = 16;
    /** Least time between messages while there are requests. */
    static final long LOAD_MESSAGE_GAP_MICROS = 200_000;
    /** Fraction of the worth of the requests that peer messages may cost. */
    static final double MESSAGE_COST_FRACTION = 0.01;
    /** Multiple of the mean load above which a cache gives up some of its slots. */
    static final double OVERLOAD_MULTIPLE = 1.25;
    /** Attempts added to that bound, so that small numbers do not move slots. */
    static final double OVERLOAD_SLACK = 2;
    /** Factor on a cache's concurrency limit after an answer slower than half its aim. */
    static final double LIMIT_CUT_FACTOR = 0.85;
    /** Consecutive unanswered attempts after which a cache may be suspected. */
    static final int SUSPECT_UNANSWERED = 3;
    /** Multiple of the mean latency without an answer after which a cache is suspected. */
    static final double SILENCE_LATENCY_MULTIPLE = 3;
    /** Error rate above which a cache is taken out of use. */
    static final double SUSPECT_ERROR_RATE = 0.5;
    /** Error rate up to which a failed request may return to the same cache, which may hold its value. */
    static final double HEALTHY_ERROR_RATE = 0.25;
    /** Requests over which the clients' own deadlines are averaged. */
    static final int PATIENCE_WINDOW_REQUESTS = 64;
    /** Answers over which a cache's error rate is averaged. */
    static final int ERROR_RATE_WINDOW_ANSWERS = 8;
    /** Least timeout of an attempt at a suspected server, in mean latencies. */
    static final double SUSPECT_TIMEOUT_MULTIPLE = 1.25;
    /** Bound of the expected answer time relative to the shortest aim; some reads are always admitted. */
    static final double MAX_AIM_SHARE = 0.75;
    /** Fraction of the load at which a cold cache falls that all balancers together may send it. */
    static final double COLD_LOAD_FRACTION = 0.5;
    /** First delay between trials of a server out of use; it doubles. */
    static final long TRIAL_GAP_MICROS = 500_000;
    /** Balancers whose trials a cold cache can take; with more of them each tries less often. */
    static final double TRIAL_PEERS = 8;

    static final long MAX_TRIAL_GAP_MICROS = 4_000_000;
    /** First delay after a failed list call. */
    static final long MIN_RETRY_MICROS = 500_000;
    /** Longest delay after failed list calls. */
    static final long MAX_RETRY_MICROS = 2_000_000;

    private static final long NEVER = Long.MIN_VALUE;
    private static final long TICK_TIMER_TOKEN = 1;
    private static final double GOLDEN_RATIO = 0.6180339887498949;

    private final Settings settings;
    private final Random random;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final long shortestAimMicros;
    /** Aims against those that the times above were chosen for: shorter ones leave less time to find out. */
    private final double scale;

    private final boolean cacheAside;
    private final int maxAttempts;
    private Sink out;
    private boolean started;
    private long now;
    private long nextLogMicros;
    final Ledger ledger;
    final Budget budget;
    final Peers peers;
    final SlotMap slots;
    final HeldRequests held;
    final Attempts attempts;
    final Membership membership;

    Rules(Settings settings) {
        if (settings == null) {
            throw new IllegalArgumentException("setting settings is missing");
        }
        this.settings = settings;
        random = new Random(settings.seed());
        long shortestMicros = Long.MAX_VALUE;
        for (RequestClass requestClass : settings.classes()) {
            classes.put(requestClass.name(), requestClass);
            shortestMicros = Math.min(
                    shortestMicros,
                    requestClass.aimMicros() > 0 ? requestClass.aimMicros() : requestClass.deadlineMicros());
        }
        shortestAimMicros = shortestMicros == Long.MAX_VALUE ? PERIOD_MICROS : shortestMicros;
        scale = Math.min(1, shortestAimMicros / REFERENCE_AIM_MICROS);
        cacheAside = settings.origin().mode() == Mode.ASIDE;
        maxAttempts = settings.limits().maxAttempts();
        ledger = new Ledger();
        budget = new Budget();
        peers = new Peers();
        slots = new SlotMap();
        held = new HeldRequests();
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
            ledger.advance();
            membership.nextWatchMicros = now + (long) (random.nextDouble() * PERIOD_MICROS);
        }
        if (event instanceof AttemptEnded e) {
            attempts.complete(e);
        } else if (event instanceof Request e) {
            attempts.admit(e);
        } else if (event instanceof TimerFired e && e.token() == TICK_TIMER_TOKEN) {
            ledger.advance();
            slots.tick();
            held.tick();
            peers.sendIfDue();
            membership.tick();
        } else if (event instanceof PeerMessage e) {
            peers.receive(e.from(), e.content());
        } else if (event instanceof RequestGone e) {
            Job job = attempts.jobs.remove(e.request());
            if (job != null) {
                held.remove(job);
            }
        } else if (event instanceof ServerList e) {
            membership.applyList(e);
        }
    }

    /** One line a second at most: a flood of lines hides the one that matters. */
    private void log(String text) {
        if (now < nextLogMicros) {
            return;
        }
        nextLogMicros = now + PERIOD_MICROS;
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
        private int savedCredits;
        private int outstandingCap;
        private boolean allowanceBound;

        Ledger() {
            double cpu = settings.limits().cpuMicrosPerSecond();
            // With B balancers each reads B - 1 messages a subperiod, so that it grows with B.
            double readMicros = cpu > 0 ? 1e6 * PEER_MESSAGE_CPU_MICROS / (PEER_CPU_FRACTION * cpu) : 0;
            double min = Math.max(readMicros * (settings.balancers() - 1), scale * MIN_SUBPERIOD_MICROS);
            subperiods = Math.max(2, (int) (PERIOD_MICROS / Math.max(min, settings.tickMicros())));
            subperiodMicros = PERIOD_MICROS / subperiods;
        }

        /** Moves on to the present subperiod; a late tick skips what it missed. */
        void advance() {
            while (now - periodStartMicros >= PERIOD_MICROS) {
                periodStartMicros += PERIOD_MICROS;
                budget.endPeriod(allowanceBound);
                allowanceBound = false;
                period = period + 1 & 0xffff;
                fetched = 0;
            }
            subperiod = (int) Math.min(subperiods - 1, (now - periodStartMicros) / subperiodMicros);
            assignCredits();
            long next = periodStartMicros + (subperiod + 1) * subperiodMicros - now;
            out.accept(new SetTimer(TICK_TIMER_TOKEN, next > 0 ? next : subperiodMicros));
        }

        int positionMillis() {
            return (int) ((now - periodStartMicros) / 1000);
        }

        /**
         * Takes over the phase of the lowest-numbered peer heard: that needs no common clock. Danger: where
         * its word of a new period came first, the old one ended unseen and taught nothing; so ticks end it.
         */
        void followPhase(int peerPeriod, int positionMillis) {
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

        private void assignCredits() {
            int balancers = settings.balancers();
            int self = settings.index();
            double allowed = budget.effectiveAllowance() * peers.refreshAndCount() / balancers;
            double[] weights = new double[balancers];
            int[] draws = new int[balancers];
            int queued = held.queued();
            int fetchedByAll = 0;
            int outstanding = 0;
            int idle = 0;
            boolean outOfCredits = false;
            boolean wasContended = contended;
            for (int i = 0; i < balancers; i++) {
                PeerStatus status = peers.all[i].state;
                if (!peers.all[i].fresh) {
                    continue; // its even share stays aside
                }
                weights[i] = status.queue() == 0 ? weight(1) : status.weight();
                draws[i] = status.draw();
                queued += i == self ? 0 : status.queue();
                fetchedByAll += status.period() == period ? status.fetched() : 0;
                outstanding += status.outstanding();
                idle += status.queue() == 0 ? 1 : 0; // credits that an idle peer keeps are not outstanding
                outOfCredits |= status.queue() > 0 && status.credits() == 0;
            }
            // Whole credits of fractional ones: an X under one credit a period still buys one now and then.
            long total = (long) Math.floor(allowed * (period + 1)) - (long) Math.floor(allowed * period);
            // Danger: a slow origin would get credits long before it fails; what it holds counts.
            double window = allowed * Math.max(budget.targetLatencyMicros(), subperiodMicros) / 1e6;
            long remaining = Math.max(0, total - fetchedByAll);
            long room = (long) Math.ceil(window) + idle - outstanding;
            long distributable = Math.max(0, Math.min(remaining, room));
            double perSubperiod = allowed / subperiods;
            contended = queued > Math.max(Math.ceil(perSubperiod), balancers);
            allowanceBound |= queued > 0 && (contended || distributable == 0 || outOfCredits);
            boolean splitEvenly = !contended && (subperiod == 0 || queued == 0);
            if (splitEvenly) {
                for (int i = 0; i < balancers; i++) {
                    weights[i] = peers.all[i].fresh ? 1 : 0;
                }
            }
            long step = (long) period * subperiods + subperiod;
            int share = contended
                    ? contendedShare(distributable, perSubperiod, weights, self, step)
                    : share(remaining, weights, draws, self);
            double sum = Arrays.stream(weights).sum();
            outstandingCap = (int) Math.max(2, Math.ceil(sum > 0 ? window * weights[self] / sum : window));
            // Dealt on what was told, and paid from it: of the period what went out, of the room what is out.
            PeerStatus last = peers.me.state;
            int fetchedSince = fetched - (last.period() == period ? last.fetched() : 0);
            int open = share(room, weights, draws, self) - attempts.originOutstanding + last.outstanding();
            // Danger: of a hundred, most have no miss when their turn comes. Each keeps one credit for its
            // next, so that the tier is over a period's allowance by one each at most.
            savedCredits = contended && wasContended ? Math.min(savedCredits, Math.max(0, credits)) : 0;
            if (contended && held.misses.isEmpty()) {
                savedCredits = Math.min(1, savedCredits + share);
            }
            credits = !contended
                    ? Math.min(share - fetchedSince, open)
                    : held.misses.isEmpty() ? savedCredits : savedCredits + share;
        }

        /** Equation 8 with a ceiling; the surplus of equation 9 goes back by lowest draw, then number. */
        static int share(long total, double[] weights, int[] draws, int self) {
            double totalWeight = Arrays.stream(weights).sum();
            if (totalWeight <= 0 || total <= 0) {
                return 0;
            }
            long surplus = -total;
            int own = 0;
            int lowerDraws = 0;
            for (int i = 0; i < weights.length; i++) {
                int roundedUp = (int) Math.ceil(total * weights[i] / totalWeight - 1e-9);
                surplus += roundedUp;
                if (i == self) {
                    own = roundedUp;
                }
                if (roundedUp > 0 && (draws[i] < draws[self] || draws[i] == draws[self] && i < self)) {
                    lowerDraws++;
                }
            }
            return own > 0 && lowerDraws < surplus ? own - 1 : own;
        }

        /** Equation 10; what F leaves of the subperiod's pace rotates along the weights. */
        static int contendedShare(long limit, double perSubperiod, double[] weights, int self, long step) {
            long firstCredit = (long) Math.floor(step * perSubperiod);
            long count = Math.min(limit, (long) Math.floor((step + 1) * perSubperiod) - firstCredit);
            if (weights[self] <= 0 || count <= 0) {
                return 0;
            }
            int members = (int) Arrays.stream(weights).filter(w -> w > 0).count();
            double lowerWeights = Arrays.stream(weights, 0, self).sum();
            double totalWeight = Arrays.stream(weights).sum();
            int own = (int) Math.min(Math.floor(perSubperiod / members), count / members);
            for (long credit = firstCredit + (long) own * members; credit < firstCredit + count; credit++) {
                double position = (credit * GOLDEN_RATIO - Math.floor(credit * GOLDEN_RATIO)) * totalWeight;
                own += position >= lowerWeights && position < lowerWeights + weights[self] ? 1 : 0;
            }
            return own;
        }

        /** Weight of a queued miss (equation 6), zero if it takes longer than a subperiod. */
        double weight(double size) {
            return Math.max(0, Math.log10(subperiodMicros / 1e6 * WORK_MICROS_PER_SEC / Math.max(1, size)));
        }

        boolean mayFetch() {
            return credits > 0 && attempts.originOutstanding < outstandingCap;
        }

        /** A write is worth most and may overdraw: its credit is paid from the next share. */
        boolean mayWrite() {
            return credits > -outstandingCap && attempts.originOutstanding < 2 * outstandingCap;
        }

        void spendCredit() {
            credits--;
            fetched++;
        }
    }

    /** Learns X, the fetches a second that the origin answers in good time, from all balancers' answers. */
    final class Budget {
        private double allowance;
        private double bestRate;
        private double previousRate;
        private double meanBeforeCut;
        private double minLatencyMicros = shortestAimMicros / 4.0; // until seen: a usable one is quicker
        private boolean learned;
        private boolean grewLastPeriod;
        private long answers;
        private long latencyMillis;
        private long failures;

        Budget() {
            double quota = settings.tenants().stream()
                    .mapToDouble(Tenant::quotaPerSecond)
                    .sum();
            bestRate = Math.max(settings.balancers(), INITIAL_ALLOWANCE_FRACTION * quota);
            allowance = bestRate;
        }

        /** The mean time of an answer up to which X grows: past it misses come too late for their aims. */
        double targetLatencyMicros() {
            return Math.max(LATENCY_MULTIPLE * minLatencyMicros, AIM_FRACTION * shortestAimMicros);
        }

        /** The lowest of this estimate and of those that fresh peers have learnt, but for the noisiest. */
        double effectiveAllowance() {
            double[] heard = Arrays.stream(peers.all)
                    .filter(peer -> peer != peers.me)
                    .mapToDouble(Peer::allowance)
                    .filter(a -> a < Double.MAX_VALUE)
                    .sorted()
                    .toArray();
            double lowest = heard.length == 0 ? Double.MAX_VALUE : heard[heard.length / OUTLIER_DIVISOR];
            // Danger: most restart at once, and what they have not learnt yet would bind them and then all.
            return learned || lowest == Double.MAX_VALUE ? Math.min(allowance, lowest) : lowest;
        }

        void recordOutcome(Outcome outcome, long latencyMicros) {
            if (outcome == Outcome.SERVED) {
                answers++;
                latencyMillis += latencyMicros / 1000;
            } else if (outcome == Outcome.FULL // no connection is the link's fault, and no sign of load
                    || outcome == Outcome.TIMED_OUT && latencyMicros > LATENCY_MULTIPLE * minLatencyMicros) {
                failures++; // nor is a time-out where the client had too little time left for any answer
            }
        }

        /** Once a period, on what all fresh peers saw: one sees too little. What failed counts as slow. */
        void endPeriod(boolean allowanceBound) {
            long answered = 0;
            long totalMillis = 0;
            long failed = 0;
            long freshPeers = 0;
            for (Peer peer : peers.all) {
                freshPeers += peer.fresh ? 1 : 0;
                answered += peer.state.answers() - peer.countedState.answers();
                totalMillis += peer.state.latencyMillis() - peer.countedState.latencyMillis();
                failed += peer.state.failures() - peer.countedState.failures();
                peer.countedState = peer.state;
            }
            double answerRate = (double) answered * settings.balancers() / freshPeers;
            double targetMicros = targetLatencyMicros();
            double meanMicros = answered + failed > 0
                    ? (1000.0 * totalMillis + 2 * failed * targetMicros) / (answered + failed)
                    : 0;
            allowance = Math.min(
                    learned ? allowance : Math.max(allowance, effectiveAllowance()),
                    effectiveAllowance() * GROWTH); // to test a peer's
            double peak = Math.max(answerRate, previousRate); // one period alone may have been a thin one
            boolean measured = answered + failed > Math.min(1, allowance / 2);
            boolean tested = measured && allowanceBound && answered > 0;
            boolean slow = measured && meanMicros > targetMicros;
            // Danger: a slowed origin looks like a queue, and cuts would go on to nothing. Where fewer out
            // cost rate rather than time, the time is its own.
            double rateRatio = answerRate / previousRate;
            double latencyRatio = meanMicros / meanBeforeCut;
            boolean slowed = slow
                    && answered > 0
                    && meanBeforeCut > 0
                    && rateRatio * latencyRatio < CUT_EFFECT_RATIO
                    && latencyRatio > rateRatio;
            previousRate = answerRate;
            meanBeforeCut = slow && !slowed ? meanMicros : 0;
            if (slow && !slowed) {
                if (grewLastPeriod) {
                    bestRate = Math.min(bestRate, allowance); // a step up that was too much
                }
                allowance = Math.max(1, Math.min(allowance, Math.max(CUT_FACTOR * peak, allowance / 2)));
                log("origin slow: allowance down to " + Math.round(allowance) + " fetches a second");
            } else if (measured) {
                bestRate = Math.max(1, Math.max(tested ? bestRate * BEST_RATE_DECAY : bestRate, answerRate));
                // Half of the way back to what it has answered before, past that by how quick it is.
                double next = allowance * Math.min(GROWTH, Math.sqrt(targetMicros / meanMicros));
                next = slowed ? peak : allowance < CUT_FACTOR * bestRate ? (allowance + bestRate) / 2 : next;
                allowance = Math.min(
                        tested ? Math.max(allowance, next) : allowance,
                        UNTESTED_ALLOWANCE_MULTIPLE * bestRate + settings.balancers());
            }
            grewLastPeriod = !slow && tested;
            learned |= slow || tested;
            double raisedMinimum =
                    slowed ? Math.min(meanMicros, shortestAimMicros) : minLatencyMicros * MIN_LATENCY_GROWTH;
            if (answered >= 4 || slowed) {
                minLatencyMicros = Math.min(1000.0 * totalMillis / answered, raisedMinimum);
            }
        }
    }

    /** Tells and hears figures; a silent peer has no say, but its even share of the allowance stays aside. */
    final class Peers {
        final Peer[] all = new Peer[settings.balancers()];
        final Peer me;
        private int lastBytes = PeerStatus.BYTES;

        Peers() {
            for (int i = 0; i < all.length; i++) {
                all[i] = new Peer();
            }
            me = all[settings.index()];
            me.incarnation = random.nextInt(1 << 16);
        }

        /** Marks who is fresh, and counts them, this balancer included. */
        int refreshAndCount() {
            int freshPeers = 0;
            for (Peer peer : all) {
                peer.fresh = peer == me || now < peer.heardMicros + PEER_TIMEOUT_PERIODS * PERIOD_MICROS;
                freshPeers += peer.fresh ? 1 : 0;
            }
            return freshPeers;
        }

        /** Sends on change, in quiet times only heartbeats: messages cost with the square of the fleet. */
        void sendIfDue() {
            PeerStatus last = me.state;
            boolean busy = held.queued() > 0 || last.queue() > 0 || ledger.contended || ledger.credits <= 1;
            boolean changed = ledger.fetched != last.fetched()
                    || held.queued() != last.queue()
                    || attempts.originOutstanding != last.outstanding()
                    || ledger.period != last.period();
            long idleGapMicros = attempts.jobs.isEmpty() ? PERIOD_MICROS / 2 : LOAD_MESSAGE_GAP_MICROS;
            long gapMicros = !changed ? PERIOD_MICROS : busy ? ledger.subperiodMicros / 2 : idleGapMicros;
            // Danger: each hears all others, and what a few tell freely costs a hundred a tenth of the worth.
            double cost = (all.length - 1) * settings.prices().peer() * lastBytes / CacheLoads.MAX_BYTES;
            double requestsPerMicro = Math.max(1, slots.counts.total()) / (1.5 * COUNT_HALF_LIFE_MICROS);
            double costGapMicros = Math.min(PERIOD_MICROS, cost / (MESSAGE_COST_FRACTION * requestsPerMicro));
            gapMicros = Math.max(gapMicros, (long) costGapMicros);
            if (me.heardMicros != NEVER && now < me.heardMicros + gapMicros) {
                return;
            }
            // Danger: told in step, all hear of a queue at once, leave it, and come back at the next word.
            me.heardMicros = now + (long) ((random.nextDouble() - 0.5) * costGapMicros);
            me.state = new PeerStatus(
                    ledger.period,
                    ledger.positionMillis(),
                    ledger.fetched,
                    held.queued(),
                    (float) held.totalWeight(),
                    Math.max(0, ledger.credits),
                    random.nextInt(1 << 16),
                    attempts.originOutstanding,
                    budget.learned ? (float) budget.allowance : 0,
                    (int) budget.answers,
                    budget.latencyMillis,
                    (int) budget.failures);
            if (all.length == 1 || !settings.limits().mayTellPeers()) {
                return;
            }
            byte[] load = CacheLoads.encode(slots.servers);
            lastBytes = PeerStatus.BYTES + load.length;
            out.accept(new TellPeer(TellPeer.EVERYONE, me.state.encode(me.incarnation, ++me.sequence, load)));
        }

        void receive(int from, byte[] raw) {
            if (from < 0
                    || from >= all.length
                    || from == settings.index()
                    || raw == null
                    || raw.length < PeerStatus.BYTES
                    || raw[0] != PeerStatus.VERSION) {
                return;
            }
            ByteBuffer in = ByteBuffer.wrap(raw, 1, raw.length - 1);
            int incarnation = in.getShort() & 0xffff;
            int sequence = in.getInt();
            PeerStatus state = PeerStatus.decode(in);
            Peer peer = all[from];
            boolean known = peer.heardMicros != NEVER && incarnation == peer.incarnation;
            if (!state.isPlausible() || known && sequence <= peer.sequence) {
                return; // foreign, repeated or overtaken
            }
            peer.store(incarnation, sequence, now, state, Arrays.copyOfRange(raw, in.position(), raw.length));
            for (int i = 0; i < from; i++) {
                if (all[i].fresh) {
                    return;
                }
            }
            ledger.followPhase(state.period(), state.positionMillis());
        }
    }

    /** Slot map by highest hash among the ready caches; each has a part of its slots by size and warmth. */
    final class SlotMap {
        private final List<Cache> servers = new ArrayList<>();
        private final Map<Long, Cache> serversById = new HashMap<>();
        private final Map<Integer, Cache> serversByTag = new HashMap<>();
        private final Map<String, Zone> zones = new HashMap<>();
        private final Map<String, Double> largestSizeByKind = new HashMap<>();
        private final Cache[] rankedCaches = new Cache[SLOTS * SLOT_CACHES];
        private final long[] rankScores = new long[SLOTS * SLOT_CACHES];
        private Cache origin;
        private final KeyCounts counts = new KeyCounts(COUNTERS_PER_ROW);
        private final boolean liveSizes = settings.weights() == Weights.LIVE; // then sizes fall with load
        private double capacity;
        private double meanLoad;
        private double peakWork;
        private double hitMicros = shortestAimMicros / 4;
        private double answerMicros = hitMicros;
        private long lastHalvedMicros = NEVER;
        private long lastAnswerMicros = NEVER / 2;

        /** Takes a list in; slots are ranked anew only where caches came or went. */
        void applyList(ServerList list) {
            Set<Cache> seen = new HashSet<>();
            Set<Cache> added = new LinkedHashSet<>();
            Set<Cache> removed = new HashSet<>();
            for (Server s : list.servers()) {
                Cache cache = serversById.get(s.id());
                if (cache == null && s.state() != State.RUNNING) {
                    continue;
                }
                if (cache == null) {
                    int kind = settings.kinds().indexOf(s.kind());
                    cache = new Cache(
                            s.id(),
                            cacheAside && kind >= 0 && kind == settings.origin().kind());
                    serversById.put(cache.id, cache);
                    servers.add(cache);
                    if (!cache.origin) {
                        added.add(cache);
                    }
                }
                if (s.startedMicros() != cache.startedMicros) {
                    cache.restore(); // what was held against the process before is void
                    cache.tokens = random.nextDouble();
                    cache.concurrencyLimit = Math.min(cache.concurrencyLimit, INITIAL_CONCURRENCY_LIMIT);
                }
                cache.update(s, zones.computeIfAbsent(s.zone() == null ? "" : s.zone(), z -> new Zone()));
                seen.add(cache);
            }
            for (Cache cache : List.copyOf(servers)) {
                cache.running &= list.kind() == ListKind.CHANGES || seen.contains(cache);
                if (cache.running) {
                    continue; // draining or gone: nothing new from now on, the grace is not used
                }
                if (cache.origin) {
                    attempts.originOutstanding = 0;
                }
                cache.restore();
                servers.remove(cache);
                serversById.remove(cache.id);
                if (!cache.origin && !added.remove(cache)) {
                    removed.add(cache);
                }
            }
            servers.sort(Comparator.comparingLong(cache -> cache.id));
            origin = servers.stream().filter(cache -> cache.origin).findFirst().orElse(null);
            serversByTag.clear();
            for (Cache cache : servers) {
                serversByTag.put(CacheLoads.tag(cache.id), cache);
            }
            updateRanking(added, removed);
            updateShares();
        }

        /** Who came is put in place in each slot; only slots that held one that went are ranked from all. */
        private void updateRanking(Set<Cache> added, Set<Cache> removed) {
            for (int slot = 0; slot < SLOTS && !(added.isEmpty() && removed.isEmpty()); slot++) {
                int base = slot * SLOT_CACHES;
                boolean recompute = false;
                for (int rank = 0; rank < SLOT_CACHES && !removed.isEmpty(); rank++) {
                    recompute |= removed.contains(rankedCaches[base + rank]);
                }
                if (recompute) {
                    Arrays.fill(rankedCaches, base, base + SLOT_CACHES, null);
                }
                if (recompute) {
                    Arrays.fill(rankScores, base, base + SLOT_CACHES, 0);
                }
                for (Cache cache : recompute ? servers : added) {
                    if (!cache.origin) {
                        insertRanked(slot, base, cache);
                    }
                }
            }
        }

        private void insertRanked(int slot, int base, Cache cache) {
            long score = Hash.mix(slot * 0x9e3779b97f4a7c15L + cache.id) >>> 1;
            if (score <= rankScores[base + SLOT_CACHES - 1]) {
                return;
            }
            int rank = base + SLOT_CACHES - 1;
            for (; rank > base && score > rankScores[rank - 1]; rank--) {
                rankedCaches[rank] = rankedCaches[rank - 1];
                rankScores[rank] = rankScores[rank - 1];
            }
            rankedCaches[rank] = cache;
            rankScores[rank] = score;
        }

        private double sizeOf(Cache cache) {
            return liveSizes ? largestSizeByKind.getOrDefault(cache.kind, cache.size) : cache.size;
        }

        /** Each cache's part of its slots: its size against the largest, times how warm it is at least. */
        private void updateShares() {
            double largest = 0;
            double work = 0;
            double totalLoad = 0;
            capacity = 0;
            for (Cache cache : servers) {
                cache.outstandingElsewhere = 0;
            }
            for (Peer peer : peers.all) {
                if (now < peer.heardMicros + 2 * PERIOD_MICROS) {
                    CacheLoads.add(peer.loads, serversByTag);
                }
            }
            for (Cache cache : servers) {
                if (cache.origin) {
                    continue;
                }
                if (liveSizes) {
                    largestSizeByKind.merge(cache.kind, cache.size, Math::max);
                }
                largest = Math.max(largest, sizeOf(cache));
            }
            for (Cache cache : servers) {
                boolean weighted = settings.weights() != Weights.NONE && largest > 0;
                cache.part = (weighted ? Math.max(0.05, sizeOf(cache) / largest) : 1) * warmth(cache);
                if (cache.origin || isOutOfUse(cache)) {
                    continue;
                }
                work += cache.recentWork;
                totalLoad += cache.load();
                capacity += cache.part;
            }
            meanLoad = capacity > 0 ? totalLoad / capacity : 0;
            // Danger: misses come back fast, so a cold cache looks idle and would draw all until it falls.
            // It gets no more than its part of what warm ones get, times a part of that multiple.
            double decay = Math.exp(-(double) ledger.subperiodMicros / COUNT_HALF_LIFE_MICROS);
            double coldMultiple = COLD_LOAD_FRACTION * settings.rules().fallMultiple();
            // Danger: warm ones that are crowded answer less, and cold ones would get less just then.
            peakWork = Math.max(peakWork * (1 - (1 - decay) / 8), capacity > 0 ? work / capacity : 0);
            double fill = peakWork * (1 - decay) * coldMultiple;
            for (Cache cache : servers) {
                cache.tokens = Math.min(Math.max(1, 4 * fill * cache.part), cache.tokens + fill * cache.part);
                cache.recentSent *= decay;
                cache.recentWork *= decay;
            }
        }

        private boolean isCold(Cache cache) {
            return cache.startedMicros != 0
                    && now - cache.startedMicros < settings.rules().coldMicros();
        }

        /** The part of its capacity that a cache has at least, growing evenly since its start. */
        private double warmth(Cache cache) {
            double initialCapacity = settings.rules().coldCapacity();
            double ageMicros = Math.max(0, now - cache.startedMicros);
            return isCold(cache)
                    ? Math.min(
                            1,
                            initialCapacity
                                    + (1 - initialCapacity)
                                            * ageMicros
                                            / settings.rules().coldMicros())
                    : 1;
        }

        void tick() {
            if (lastHalvedMicros == NEVER || now - lastHalvedMicros >= COUNT_HALF_LIFE_MICROS) {
                lastHalvedMicros = now;
                counts.halve();
            }
            double silence = silenceMicros();
            for (Cache cache : servers) {
                // Danger: a vanished machine sends no reset; each request to it would wait out its time.
                boolean silentTooLong =
                        cache.unanswered >= SUSPECT_UNANSWERED && now - cache.silentSinceMicros >= silence;
                if (!silentTooLong || cache.suspect || cache.origin || hearsNobody()) {
                    continue;
                }
                markSuspect(cache);
                attempts.cancelAttemptsAt(cache);
            }
            updateShares();
        }

        private double silenceMicros() {
            return Math.max(SILENCE_LATENCY_MULTIPLE * hitMicros, shortestAimMicros / 2.0);
        }

        /** Danger: a balancer that is held up itself hears nobody, and would put every server out of use. */
        private boolean hearsNobody() {
            return now - lastAnswerMicros >= silenceMicros() / 2;
        }

        /** Counts a request for the key and gives how many caches shall serve it. */
        int recordAndGetSpread(long key) {
            return (int) Math.max(1, Math.min(SLOT_CACHES, Math.ceil(counts.add(key) * capacity / HOT_PART)));
        }

        private boolean isOutOfUse(Cache cache) {
            return cache.suspect || cache.zone.down;
        }

        boolean isUsable(Cache cache) {
            return cache != null && cache.running && !isOutOfUse(cache) && hasRoom(cache);
        }

        boolean hasRoom(Cache cache) {
            return cache.load() < cache.concurrencyLimit
                    && now >= cache.backoffUntilMicros
                    && (!isCold(cache) || cache.tokens >= 1);
        }

        /**
         * The part of its slots that a cache keeps. Danger: each balancer has little out where a queue is
         * long, as keys fall alike at all. The same slots go to the next cache at each, and find keys there.
         */
        private double retainedSlotFraction(Cache cache) {
            double threshold = OVERLOAD_MULTIPLE * meanLoad * cache.part + OVERLOAD_SLACK;
            return cache.outstandingElsewhere > 0 && cache.load() > threshold
                    ? Math.pow(threshold / cache.load(), 2)
                    : 1;
        }

        /** The cache for a key: its slot's first, or of {@code spread} the least busy; null to wait. */
        Cache chooseCache(long key, int spread, Cache avoided) {
            int slot = (int) (Hash.mix(key) & SLOTS - 1);
            int candidates = 0;
            int ties = 0;
            Cache best = null;
            Cache fallback = null;
            for (int rank = 0; rank < SLOT_CACHES && candidates < spread; rank++) {
                Cache cache = rankedCaches[slot * SLOT_CACHES + rank];
                if (cache == null || cache == avoided || isOutOfUse(cache) && !startTrial(cache)) {
                    continue;
                }
                if (isOutOfUse(cache)) {
                    return cache;
                }
                fallback = cache;
                // A part of the slots, not of time: the same ones at every balancer, and few move.
                double position = (Hash.mix(slot * 31L ^ cache.id * 0x9e3779b97f4a7c15L) >>> 11) * 0x1p-53;
                if (position >= cache.part * retainedSlotFraction(cache)) {
                    continue;
                }
                if (isCold(cache) && cache.tokens < 1) {
                    continue; // the next one takes what a cold cache can't
                }
                // Danger: one that turns away all, with nothing of ours there, keeps its keys waiting for it.
                if (now < cache.backoffUntilMicros && cache.outstanding == 0 && cache.concurrencyLimit < 2) {
                    continue;
                }
                candidates++;
                if (!hasRoom(cache)) {
                    continue;
                }
                double load = (cache.recentSent + cache.load()) / cache.part;
                double margin = best == null ? 1 : (best.recentSent + best.load()) / best.part - load;
                ties = margin > 0 ? 1 : ties + 1;
                if (margin > 0 || margin == 0 && random.nextInt(ties) == 0) {
                    best = cache;
                }
            }
            if (candidates > 0) {
                return best;
            }
            for (Cache cache : servers) {
                fallback = fallback == null && !cache.origin && !isOutOfUse(cache) ? cache : fallback;
            }
            return isUsable(fallback) ? fallback : null;
        }

        /** Whether a request may try a server out of use: one now and then, so that its return is noticed. */
        boolean startTrial(Cache cache) {
            if (now < (cache.zone.down ? cache.zone.nextTrialMicros : cache.nextTrialMicros)) {
                return false;
            }
            cache.zone.nextTrialMicros = now + (long) (scale * TRIAL_GAP_MICROS);
            scheduleTrial(cache);
            return true;
        }

        /** Health from outcomes: any answer clears a server, silence and no connection speak against it. */
        void recordOutcome(Cache cache, AttemptEnded event, double aimMicros) {
            Outcome outcome = event.outcome();
            long latencyMicros = event.latencyMicros();
            cache.outstanding = Math.max(0, cache.outstanding - 1);
            boolean noAnswer = outcome == Outcome.TIMED_OUT || outcome == Outcome.NOT_CONNECTED;
            boolean served = outcome == Outcome.SERVED;
            boolean failed = outcome == Outcome.ERROR; // a reset says more of the connection
            if (!cache.origin && (failed || served || outcome == Outcome.MISS)) {
                cache.updateErrorRate(failed);
            }
            boolean slow = (served || outcome == Outcome.TIMED_OUT) && latencyMicros > aimMicros / 2;
            if ((slow || outcome == Outcome.FULL) && now >= cache.nextLimitCutMicros) {
                cache.nextLimitCutMicros = now + latencyMicros;
                cache.concurrencyLimit =
                        Math.max(1, Math.min(cache.concurrencyLimit, cache.load() + 1) * LIMIT_CUT_FACTOR);
            } else if (served && !slow && cache.load() + 1 >= cache.concurrencyLimit) {
                cache.concurrencyLimit += 1 / cache.concurrencyLimit;
            }
            // Danger: what is turned away or times out is no measure of what a cache takes.
            cache.recentWork += served ? 1 : outcome == Outcome.MISS ? MISS_COST : 0;
            if (outcome == Outcome.MISS) {
                cache.recentSent -= Math.min(cache.recentSent, 1 - MISS_COST);
            }
            if (outcome == Outcome.MISS) {
                cache.tokens += 1 - MISS_COST; // what it cost, not what it might have
            }
            if (outcome == Outcome.FULL) {
                cache.waitMicros =
                        (long) Math.min(scale * PERIOD_MICROS, Math.max(2 * cache.waitMicros, hitMicros / 4));
                cache.backoffUntilMicros = now + (long) ((0.5 + random.nextDouble()) * cache.waitMicros);
            }
            if (served) {
                cache.waitMicros /= 2;
            }
            double observedMicros =
                    Math.min(MAX_AIM_SHARE * shortestAimMicros, served ? latencyMicros : 2 * latencyMicros);
            if (!cache.origin && (served || outcome == Outcome.TIMED_OUT)) {
                answerMicros += (observedMicros - answerMicros) / 16;
            }
            if (noAnswer) {
                boolean unheard =
                        now - cache.zone.heardMicros > settings.limits().connectTimeoutMicros();
                unheard &= outcome == Outcome.NOT_CONNECTED;
                if (cache.suspect || cache.unanswered >= SUSPECT_UNANSWERED && !hearsNobody() || unheard) {
                    markSuspect(cache);
                }
            } else if (outcome != Outcome.CANCELLED && outcome != Outcome.NOT_SENT) {
                // A link is back: each server behind it would else wait for a trial of its own.
                if (cache.zone.down) {
                    for (Cache other : servers) {
                        if (other.zone == cache.zone) {
                            other.restore();
                        }
                    }
                }
                cache.recordAnswer(now);
                lastAnswerMicros = now;
                if (cache.suspect && !failed) {
                    cache.nextTrialMicros = now; // one more trial tells whether it serves again
                }
                // Danger: one that fails at once looks idle, and draws its requests till their tries end.
                if (failed && cache.errorRate > SUSPECT_ERROR_RATE && !cache.origin && mostServersUsable()) {
                    markSuspect(cache);
                }
                if (served && !cache.origin) {
                    hitMicros += (latencyMicros - hitMicros) / 64;
                }
            }
        }

        /** Errors everywhere are no server's own: out of use, they would only crowd the rest. */
        private boolean mostServersUsable() {
            return servers.stream().filter(this::isOutOfUse).count() < servers.size() / 2;
        }

        /** Danger: trials of many balancers, in step, would push a cache over when it is back. */
        private void scheduleTrial(Cache cache) {
            double factor = Math.max(1, settings.balancers() / TRIAL_PEERS) * (0.5 + random.nextDouble() / 2);
            cache.nextTrialMicros = now + (long) (scale * cache.trialGapMicros * factor);
        }

        private void markSuspect(Cache cache) {
            if (cache.suspect) {
                cache.trialGapMicros = Math.min(2 * cache.trialGapMicros, MAX_TRIAL_GAP_MICROS);
            } else {
                log("server " + cache.id + (cache.errorRate > SUSPECT_ERROR_RATE ? " fails" : " is silent")
                        + ": out of use");
            }
            cache.markSuspect();
            scheduleTrial(cache);
            // Danger: behind a cut link every server would have to fail by itself, one time-out each.
            boolean zoneSilent = now - cache.zone.heardMicros > PERIOD_MICROS / 2;
            if (!cache.zone.down && zoneSilent && cache.zone.suspects >= SUSPECT_UNANSWERED) {
                cache.zone.down = true;
                cache.zone.nextTrialMicros = now + (long) (scale * TRIAL_GAP_MICROS);
                log("nothing answers in a whole zone: its servers are out of use");
            }
        }
    }

    /** Misses and writes that wait for credits, and requests that wait for room at a cache. */
    final class HeldRequests {
        private final List<HeldMiss> misses = new ArrayList<>();
        private final List<Job> writes = new ArrayList<>();
        private final List<Job> awaitingRoom = new ArrayList<>();

        /** Fetches wanted: one a key, since a fetch serves all that wait for it. */
        int queued() {
            return writes.size()
                    + (int) misses.stream().filter(HeldMiss::needsFetch).count();
        }

        double totalWeight() {
            double sum = writes.stream()
                    .mapToDouble(job -> ledger.weight(job.request.workMicros()))
                    .sum();
            for (HeldMiss miss : misses) {
                sum += miss.needsFetch() ? ledger.weight(miss.workMicros()) : 0;
            }
            return sum;
        }

        void holdMiss(Job job, boolean fetchedElsewhere) {
            HeldMiss miss = job.heldMiss;
            for (HeldMiss candidate : misses) {
                miss = miss == null && candidate.key == job.key ? candidate : miss;
            }
            if (miss == null) {
                miss = new HeldMiss(job.key, now);
                misses.add(miss);
                // Danger: balancers that all miss a key would all fetch it. Each waits its turn, by key and
                // number; who has waited asks the cache again before it buys.
                double size = settings.balancers();
                double lag = Long.remainderUnsigned(Hash.mix(job.key) + settings.index(), (long) size) / size;
                double latencies = size == 1 ? 0 : (fetchedElsewhere ? 1 : 0) + (ledger.contended ? lag : 0);
                miss.eligibleMicros += (long) (latencies * budget.minLatencyMicros);
            }
            if (miss.leader == job) {
                miss.leader = null; // asked again in vain: now it is for a credit
            }
            if (job.heldMiss == null) {
                miss.jobs.add(job);
            }
            job.heldMiss = miss;
            releaseFetches();
            refuseIfDue(job);
        }

        void holdWrite(Job job) {
            writes.add(job);
            releaseFetches();
            refuseIfDue(job);
        }

        void hold(Job job, List<Job> queue) {
            queue.add(job);
            refuseIfDue(job);
        }

        /** Danger: a client's last try may have less time left than to the next tick, and be lost. */
        void refuseIfDue(Job job) {
            boolean due = job.holdDeadlineMicros() < now + ledger.subperiodMicros + settings.tickMicros();
            if (due && job.currentServer == null) {
                attempts.refuseOrFail(job);
            }
        }

        /** Spends what credits there are: writes first, then the key whose waiters are worth most. */
        void releaseFetches() {
            Cache origin = slots.origin;
            if (origin == null || slots.isOutOfUse(origin) && !(queued() > 0 && slots.startTrial(origin))) {
                return;
            }
            while (!writes.isEmpty() && ledger.mayWrite()) {
                ledger.spendCredit();
                attempts.send(writes.remove(0), origin, 0);
            }
            while (true) {
                HeldMiss best = null;
                double bestWorth = 0;
                for (HeldMiss miss : misses) {
                    double worth = miss.leader == null && miss.eligibleMicros <= now ? miss.totalWorth() : -1;
                    best = worth >= bestWorth ? miss : best;
                    bestWorth = Math.max(worth, bestWorth);
                }
                if (best == null) {
                    return;
                }
                // The one with least time takes the answer of the fetch, the others ask the cache after it.
                Job leader = best.mostUrgent();
                boolean stale = now - best.heldSinceMicros >= budget.minLatencyMicros;
                // Another balancer may have filled the cache meanwhile: asking again costs no credit.
                boolean recheck = stale
                        && peers.all.length > 1
                        && !leader.recheckedCache
                        && leader.attempts + 2 < maxAttempts
                        && slots.isUsable(leader.missedCache);
                if (!recheck && !ledger.mayFetch()) {
                    return;
                }
                best.leader = leader;
                leader.recheckedCache |= recheck;
                if (!recheck) {
                    best.heldSinceMicros = now;
                    ledger.spendCredit();
                }
                attempts.send(leader, recheck ? leader.missedCache : origin, 0);
            }
        }

        /** A request was served: what else waits for its key finds the object where that one missed. */
        void completeFetch(Job job) {
            HeldMiss miss = job.heldMiss;
            remove(job);
            if (miss == null || miss.leader != job) {
                return;
            }
            misses.remove(miss);
            for (Job waiter : miss.jobs) {
                waiter.heldMiss = null;
                waiter.preferredCache = job.missedCache;
                if (waiter.attempts + 1 < maxAttempts) {
                    attempts.sendToCache(waiter);
                } else {
                    holdMiss(waiter, false);
                }
            }
        }

        /** Takes a request out of what it waits in; a key that loses its leader waits for another credit. */
        void remove(Job job) {
            HeldMiss miss = job.heldMiss;
            if (miss != null) {
                miss.jobs.remove(job);
                if (miss.leader == job && !job.served) {
                    miss.leader = null;
                }
                if (miss.jobs.isEmpty()) {
                    misses.remove(miss);
                }
            }
            writes.remove(job);
            awaitingRoom.remove(job);
        }

        /** A cache has room again: of those that wait for it, what is worth most goes first. */
        void resumeOne(Cache cache) {
            Job best = awaitingRoom.stream()
                    .filter(job -> job.awaited == cache)
                    .min(this::compareUrgency)
                    .orElse(null);
            if (best == null || !slots.hasRoom(cache)) {
                return;
            }
            awaitingRoom.remove(best);
            attempts.sendToCache(best);
        }

        private int compareUrgency(Job first, Job second) {
            // Danger: first come, first served, all are late where more come than can be served.
            long answerMicros = now + (long) slots.hitMicros;
            int byWorth = Double.compare(second.worthAt(answerMicros), first.worthAt(answerMicros));
            return byWorth != 0 ? byWorth : Long.compare(first.usefulUntilMicros, second.usefulUntilMicros);
        }

        /** Answers what can no longer be served in time, while a refusal still spares the client a wait. */
        void tick() {
            long nextTickMicros = now + ledger.subperiodMicros + settings.tickMicros();
            double fetchedMicros = nextTickMicros + budget.minLatencyMicros;
            List<Job> expired = new ArrayList<>();
            for (HeldMiss miss : misses) {
                double latestMicros = miss.leader == null ? fetchedMicros : nextTickMicros;
                for (Job job : miss.jobs) {
                    if (job != miss.leader && job.usefulUntilMicros < latestMicros) {
                        expired.add(job);
                    }
                }
            }
            for (Job job : writes) {
                if (job.holdDeadlineMicros() < fetchedMicros) {
                    expired.add(job);
                }
            }
            for (Job job : expired) {
                attempts.refuseOrFail(job);
            }
            List<Job> resumed =
                    awaitingRoom.stream().sorted(this::compareUrgency).toList();
            awaitingRoom.clear();
            for (Job job : resumed) {
                attempts.sendToCache(job);
            }
            releaseFetches();
        }
    }

    /** Sends, judges outcomes and gives final answers, within the effect rules. */
    final class Attempts {
        private final Map<String, Job> jobs = new LinkedHashMap<>(); // hash order must decide nothing
        private final RequestClass unknownClass =
                new RequestClass("", 0, 0, 1, Effect.UNSAFE, Group.CELL, 0, 0, 0, false);
        int originOutstanding;
        private double clientPatience = 1; // part of its aim that a client leaves: it may give up long before

        void admit(Request event) {
            RequestClass type = classes.getOrDefault(event.requestClass(), unknownClass);
            Job job = new Job(event, type, now);
            long aim = type.aimMicros() + (long) (type.aimPerWork() * event.workMicros());
            job.onTimeMicros = aim > 0 ? Math.min(now + aim, event.deadlineMicros()) : event.deadlineMicros();
            job.usefulUntilMicros = type.lateWorth() == 0 ? job.onTimeMicros : event.deadlineMicros();
            clientPatience += (Math.min(1, (event.deadlineMicros() - now) / (aim + 1.0)) - clientPatience)
                    / PATIENCE_WINDOW_REQUESTS;
            jobs.put(event.id(), job);
            job.spread = slots.recordAndGetSpread(job.key);
            if (event.write() && cacheAside) {
                held.holdWrite(job);
            } else {
                sendToCache(job);
            }
        }

        /** Asks the key's cache, or parks the request while there is no room. */
        void sendToCache(Job job) {
            // A wait for a quarter of the time there is makes the next cache of the slot worth a fetch.
            boolean waitedLong = now - job.arrivedMicros > (job.usefulUntilMicros - job.arrivedMicros) / 4;
            int spread = job.spread + (waitedLong ? 1 : 0);
            // Danger: what can't be back in time costs a cache the same work, and comes again with less.
            long left = job.usefulUntilMicros - now;
            if (left < slots.answerMicros && job.attempts == 0 && job.requestClass.effect() == Effect.SAFE) {
                refuseOrFail(job);
                return;
            }
            Cache cache = slots.isUsable(job.preferredCache)
                    ? job.preferredCache
                    : slots.chooseCache(job.key, spread, job.avoidedCache);
            job.preferredCache = null;
            if (cache == null) {
                job.awaited = slots.rankedCaches[(int) (Hash.mix(job.key) & SLOTS - 1) * SLOT_CACHES];
                held.hold(job, held.awaitingRoom);
            } else {
                boolean suspected = slots.isOutOfUse(cache) || cache.unanswered >= SUSPECT_UNANSWERED;
                // Danger: less than an answer takes, and none that is back could ever show it.
                long timeoutMicros = (long) Math.max(SUSPECT_TIMEOUT_MULTIPLE * slots.hitMicros, left / 3.0);
                send(job, cache, suspected ? Math.max(1, Math.min(timeoutMicros, left)) : 0);
            }
        }

        void send(Job job, Cache server, long timeoutMicros) {
            if (!maySend(job, server)) {
                refuseOrFail(job);
                return;
            }
            job.attempts++;
            job.currentServer = server;
            job.sentMicros = now;
            server.recordSent(now);
            originOutstanding += server.origin ? 1 : 0;
            // Past its aim an answer may be worth nothing: an attempt that may be repeated ends there.
            boolean capped = job.requestClass.effect() == Effect.SAFE && !server.origin && timeoutMicros == 0;
            long timeout = capped ? Math.max(1, job.usefulUntilMicros - now) : timeoutMicros;
            out.accept(new Send(job.request.id(), server.id, timeout));
        }

        /** Danger: an effect twice. After one that may have run only the class's repeats are harmless. */
        private boolean maySend(Job job, Cache server) {
            boolean spent = now >= job.request.deadlineMicros() || job.attempts >= maxAttempts;
            if (spent || job.currentServer != null) {
                return false;
            }
            if (job.firstRunMicros == NEVER || job.requestClass.effect() == Effect.SAFE) {
                return true;
            }
            spent |= now >= job.firstRunMicros + job.requestClass.windowMicros() - 2 * settings.tickMicros();
            return job.requestClass.effect() == Effect.KEYED
                    && !spent
                    && switch (job.requestClass.group()) {
                        case ALL -> true;
                        case ZONE -> server.zone == job.firstRunAt.zone;
                        case CELL -> server.cell == job.firstRunAt.cell;
                    };
        }

        void complete(AttemptEnded event) {
            Job job = jobs.get(event.request());
            Cache server = job != null && job.currentServer != null
                    ? job.currentServer
                    : slots.serversById.get(event.server());
            long aim = job == null ? shortestAimMicros : job.requestClass.aimMicros();
            if (server != null) {
                slots.recordOutcome(server, event, aim * clientPatience);
            }
            if (server != null && server.origin) {
                originOutstanding = Math.max(0, originOutstanding - 1);
                budget.recordOutcome(event.outcome(), event.latencyMicros());
            }
            if (job != null) {
                handleOutcome(job, server, event);
            }
            if (server != null && server.origin) {
                held.releaseFetches();
            } else if (server != null) {
                held.resumeOne(server);
            }
        }

        private void handleOutcome(Job job, Cache server, AttemptEnded event) {
            job.currentServer = null;
            if (!event.outcome().provesNothingRan() && job.firstRunMicros == NEVER) {
                job.firstRunMicros = job.sentMicros;
                job.firstRunAt = server;
            }
            if (event.done()) {
                job.served = event.outcome() == Outcome.SERVED;
                jobs.remove(event.request());
                held.completeFetch(job);
            } else if (now >= job.usefulUntilMicros || server == null) {
                refuseOrFail(job);
            } else if (event.outcome() == Outcome.MISS && !server.origin) {
                job.missedCache = server;
                held.holdMiss(job, event.note() == 3);
            } else if (server.origin && job.heldMiss != null && job.attempts < maxAttempts) {
                job.heldMiss.leader = null;
                held.refuseIfDue(job);
            } else {
                held.remove(job);
                job.heldMiss = null;
                job.awaited = server;
                job.avoidedCache = server.errorRate > HEALTHY_ERROR_RATE ? server : null;
                // Danger: asking on at once after a full answer is a storm that fills every cache.
                if (!maySend(job, server)) {
                    refuseOrFail(job);
                } else if (server.origin) {
                    held.hold(job, held.writes);
                } else if (event.outcome() == Outcome.FULL) {
                    held.hold(job, held.awaitingRoom);
                } else {
                    sendToCache(job);
                }
            }
        }

        /** The final answer of a request that is not served: a refusal wherever that is allowed. */
        void refuseOrFail(Job job) {
            if (jobs.remove(job.request.id()) == null) {
                return;
            }
            held.remove(job);
            boolean harmless = job.firstRunMicros == NEVER
                    || job.requestClass.effect() == Effect.SAFE
                    || job.requestClass.effect() == Effect.KEYED && job.requestClass.group() == Group.ALL;
            // Its aim is past by the time a retry could be served: the longest advice keeps that load away.
            long retryMicros =
                    settings.limits().retryAfter() ? settings.limits().maxRetryAfterMicros() : 0;
            String id = job.request.id();
            out.accept(harmless && job.currentServer == null ? new Refuse(id, retryMicros) : new Fail(id));
        }

        /** Calls off what waits at a silent cache, so that it can go elsewhere while there is time. */
        void cancelAttemptsAt(Cache cache) {
            if (!settings.limits().mayCancel()) {
                return;
            }
            for (Job job : jobs.values()) {
                if (job.currentServer == cache && job.requestClass.effect() == Effect.SAFE) {
                    out.accept(new Cancel(job.request.id(), job.attempts - 1));
                }
            }
        }
    }

    /** Keeps up with the server list: hears it where it is pushed, watches it where it must be asked for. */
    final class Membership {
        private final boolean mustWatch = settings.membership() == Decisions.Membership.ASK;
        private boolean watching;
        private long nextWatchMicros;
        private long gapMicros;

        void tick() {
            if (!mustWatch || watching || now < nextWatchMicros) {
                return;
            }
            watching = true; // until the call is said to have failed
            out.accept(new WatchServers(true));
        }

        void applyList(ServerList list) {
            if (list.kind() == ListKind.FAILED) {
                // Danger: all asking again at once keep the list service down; each waits its own time.
                watching = false;
                gapMicros = (long) Math.max(MIN_RETRY_MICROS, Math.min(GROWTH * gapMicros, MAX_RETRY_MICROS));
                nextWatchMicros = now + (long) ((0.5 + random.nextDouble() / 2) * gapMicros);
                return;
            }
            watching |= list.kind() != ListKind.LAST_KNOWN;
            gapMicros = 0;
            slots.applyList(list);
        }
    }
}
