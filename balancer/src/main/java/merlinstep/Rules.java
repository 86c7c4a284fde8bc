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
    /**
     * V of equation 6: work in microseconds that is done in a second, by a hundred cores, so that the size
     * weighs a little.
     */
    static final double WORK_MICROS_PER_SEC = 1e8;
    /** Periods without a message after which a peer counts as silent; tolerates two lost heartbeats. */
    static final int PEER_TIMEOUT_PERIODS = 3;
    /** Initial X as a fraction of the sum of the quotas, since only misses are fetched. */
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
    /**
     * One in this many of the peers' estimates is ignored as too low by chance; it would bind all balancers.
     */
    static final int OUTLIER_DIVISOR = 8;
    /** Growth per period of the lowest mean latency, so that it follows an origin that has become slower. */
    static final double MIN_LATENCY_GROWTH = 1.1;
    /** Decay per tested period of the best answered rate, to half in some 20 s. */
    static final double BEST_RATE_DECAY = 0.97;
    /** Tens of slots for each cache of a large fleet, so that the caches' shares spread within some 15%. */
    static final int SLOTS = 4096;
    /** Caches ranked for each slot; also the most caches that serve one key. */
    static final int SLOT_CACHES = 12;
    /** A key with more than this part of a mean cache's requests is served by several caches. */
    static final double HOT_PART = 0.5;
    /** Spans some hundred requests at a balancer with little traffic. */
    static final long COUNT_HALF_LIFE_MICROS = 4_000_000;
    /** Counters in each row of the key sketch; a power of two, and far more than there can be hot keys. */
    static final int COUNTERS_PER_ROW = 2048;
    /** Work of answering a miss relative to a hit. */
    static final double MISS_COST = 0.2;
    /** Attempts that may be outstanding at a cache before its answers have adjusted the limit. */
    static final double INITIAL_CONCURRENCY_LIMIT = 16;
    /**
     * Least time between messages while there are requests: about an answer's time, in which queues change.
     */
    static final long LOAD_MESSAGE_GAP_MICROS = 200_000;
    /** Fraction of the worth of the requests that peer messages may cost. */
    static final double MESSAGE_COST_FRACTION = 0.01;
    /** Multiple of the mean load above which a cache gives up some of its slots. */
    static final double OVERLOAD_MULTIPLE = 1.25;
    /** Attempts added to that bound, so that small numbers do not move slots. */
    static final double OVERLOAD_SLACK = 2;
    /** Factor on a cache's concurrency limit after an answer slower than half its aim. */
    static final double LIMIT_CUT_FACTOR = 0.85;
    /** Consecutive unanswered attempts after which a cache may be suspected; fewer may be chance. */
    static final int SUSPECT_UNANSWERED = 3;
    /** Multiple of the mean latency without an answer after which a cache is suspected. */
    static final double SILENCE_LATENCY_MULTIPLE = 3;
    /** Error rate above which a cache is taken out of use. */
    static final double SUSPECT_ERROR_RATE = 0.5;
    /** Error rate up to which a failed request may return to the same cache, which may hold its value. */
    static final double HEALTHY_ERROR_RATE = 0.25;
    /** Requests over which the clients' own deadlines are averaged; few clients are in a hurry. */
    static final int PATIENCE_WINDOW_REQUESTS = 64;
    /** Answers over which a cache's error rate is averaged: about a second's at a small cache. */
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
    /** Longest delay between trials, and so the longest that a server's return goes unnoticed. */
    static final long MAX_TRIAL_GAP_MICROS = 4_000_000;
    /** First delay after a failed list call. */
    static final long MIN_RETRY_MICROS = 500_000;
    /** Longest delay after failed list calls; a change counts as known 6 s after discovery had it. */
    static final long MAX_RETRY_MICROS = 2_000_000;

    private static final long NEVER = Long.MIN_VALUE;
    private static final long TICK_TIMER_TOKEN = 1;
    private static final double GOLDEN_RATIO = 0.6180339887498949;

    private final Settings settings;
    private final Random random;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final long shortestAimMicros;
    /** Factor on the time constants above: at most 1, lower where the shortest aim is below the reference. */
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

    /** Emits a log line, at most one per second; further lines are dropped. */
    private void log(String text) {
        if (now < nextLogMicros) {
            return;
        }
        nextLogMicros = now + PERIOD_MICROS;
        out.accept(new Log(text));
    }

    /** Divides the period's allowance into credits, subperiod by subperiod (equations 3 to 10). */
    final class Ledger {
        final int subperiods;
        final long subperiodMicros;
        /** Number of the period, modulo 65536. */
        int period;
        /** Fetches of this balancer in the period. */
        int fetched;
        /** Whether more fetches are queued in the tier than a subperiod has credits for. */
        boolean contended;

        private long periodStartMicros;
        private int subperiod;
        /** Credits left; negative after writes that overdrew. */
        private int credits;
        /** Credits kept under contention for the next miss. */
        private int savedCredits;
        /** Most fetches outstanding at a time. */
        private int outstandingCap;
        /** Whether credits have limited fetches in this period. */
        private boolean allowanceBound;

        Ledger() {
            double cpu = settings.limits().cpuMicrosPerSecond();
            // Each of B balancers reads B - 1 messages per subperiod, so the subperiod grows with B.
            double readMicros = cpu > 0 ? 1e6 * PEER_MESSAGE_CPU_MICROS / (PEER_CPU_FRACTION * cpu) : 0;
            double min = Math.max(readMicros * (settings.balancers() - 1), scale * MIN_SUBPERIOD_MICROS);
            subperiods = Math.max(2, (int) (PERIOD_MICROS / Math.max(min, settings.tickMicros())));
            subperiodMicros = PERIOD_MICROS / subperiods;
        }

        /**
         * Advances to the current subperiod, assigns its credits and sets the next tick; skips missed ones.
         */
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

        /** Returns the milliseconds since the start of the period. */
        int positionMillis() {
            return (int) ((now - periodStartMicros) / 1000);
        }

        /**
         * Adopts the period and phase of the lowest-numbered fresh peer, so that no common clock is needed.
         *
         * <p>A shift of less than a period leaves the end of the period to the next tick, so that it is
         * evaluated even if a peer's message about the next one arrives first.
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

        /** Computes this balancer's credits of the subperiod from the last states of all fresh peers. */
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
                    continue; // the equal share of a silent peer is reserved
                }
                weights[i] = status.queue() == 0 ? weight(1) : status.weight();
                draws[i] = status.draw();
                queued += i == self ? 0 : status.queue();
                fetchedByAll += status.period() == period ? status.fetched() : 0;
                outstanding += status.outstanding();
                idle += status.queue() == 0 ? 1 : 0; // credits that an idle peer keeps are not outstanding
                outOfCredits |= status.queue() > 0 && status.credits() == 0;
            }
            // Carries fractions over periods, so that an X below one credit per period still yields some.
            long total = (long) Math.floor(allowed * (period + 1)) - (long) Math.floor(allowed * period);
            // Limits outstanding fetches as well, so that a slow origin is not overloaded before it fails.
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
            // The split is based on the last state sent; deducts what has changed since then.
            PeerStatus last = peers.me.state;
            int fetchedSince = fetched - (last.period() == period ? last.fetched() : 0);
            int open = share(room, weights, draws, self) - attempts.originOutstanding + last.outstanding();
            // In a large tier most balancers have no miss when a credit falls to them, so each may save one.
            // The tier exceeds the allowance of a period by at most one credit per balancer.
            savedCredits = contended && wasContended ? Math.min(savedCredits, Math.max(0, credits)) : 0;
            if (contended && held.misses.isEmpty()) {
                savedCredits = Math.min(1, savedCredits + share);
            }
            credits = !contended
                    ? Math.min(share - fetchedSince, open)
                    : held.misses.isEmpty() ? savedCredits : savedCredits + share;
        }

        /**
         * Returns this balancer's share of {@code total} by weight: equation 8 rounded up. The surplus of
         * equation 9 is taken back from the lowest draws, ties by index.
         */
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

        /**
         * Returns this balancer's credits under contention: F of equation 10, and of the remainder what a
         * weighted rotation by subperiod ({@code step}) gives it.
         */
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

        /** Returns the weight of a queued miss (equation 6); 0 if its work takes longer than a subperiod. */
        double weight(double size) {
            return Math.max(0, Math.log10(subperiodMicros / 1e6 * WORK_MICROS_PER_SEC / Math.max(1, size)));
        }

        /** Returns whether a held miss may be fetched now. */
        boolean mayFetch() {
            return credits > 0 && attempts.originOutstanding < outstandingCap;
        }

        /** Returns whether a write may be sent now; it may overdraw credits of the next subperiods. */
        boolean mayWrite() {
            return credits > -outstandingCap && attempts.originOutstanding < 2 * outstandingCap;
        }

        void spendCredit() {
            credits--;
            fetched++;
        }
    }

    /**
     * Estimates X, the fetches per second that the origin answers in time, from the answers that all
     * balancers report.
     */
    final class Budget {
        /** This balancer's estimate of X. */
        private double allowance;
        /** Highest rate answered in time, decaying. */
        private double bestRate;
        /** Rate of the last period. */
        private double previousRate;
        /** Mean latency of the last period if it ended with a cut, else 0. */
        private double meanBeforeCut;
        /** Lowest mean latency of a period. */
        private double minLatencyMicros = shortestAimMicros / 4.0;

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

        /** Returns the mean latency up to which X may grow; above it, misses exceed their aims. */
        double targetLatencyMicros() {
            return Math.max(LATENCY_MULTIPLE * minLatencyMicros, AIM_FRACTION * shortestAimMicros);
        }

        /**
         * Returns the X to apply: the minimum of this estimate and those of fresh peers, less the outliers.
         *
         * <p>An estimate that is not learned yet doesn't bound it where peers have one, so that balancers
         * that restarted don't hold the tier to their initial value.
         */
        double effectiveAllowance() {
            double[] heard = Arrays.stream(peers.all)
                    .filter(peer -> peer != peers.me)
                    .mapToDouble(Peer::allowance)
                    .filter(a -> a < Double.MAX_VALUE)
                    .sorted()
                    .toArray();
            double lowest = heard.length == 0 ? Double.MAX_VALUE : heard[heard.length / OUTLIER_DIVISOR];
            return learned || lowest == Double.MAX_VALUE ? Math.min(allowance, lowest) : lowest;
        }

        /** Counts an ended fetch. Neither a failed connection nor a short client deadline shows overload. */
        void recordOutcome(Outcome outcome, long latencyMicros) {
            if (outcome == Outcome.SERVED) {
                answers++;
                latencyMillis += latencyMicros / 1000;
            } else if (outcome == Outcome.FULL
                    || outcome == Outcome.TIMED_OUT && latencyMicros > LATENCY_MULTIPLE * minLatencyMicros) {
                failures++;
            }
        }

        /**
         * Updates X at the end of a period from the answers of all fresh peers; failures count as slow
         * answers.
         *
         * @param allowanceBound whether fetches were limited by credits in that period
         */
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
                    effectiveAllowance() * GROWTH); // may exceed a peer's estimate to test it
            double peak = Math.max(answerRate, previousRate); // a single period may have had few requests
            boolean measured = answered + failed > Math.min(1, allowance / 2);
            boolean tested = measured && allowanceBound && answered > 0;
            boolean slow = measured && meanMicros > targetMicros;
            // If a cut lowered the rate more than the latency, the origin itself has become slow; further
            // cuts would reduce X without end.
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
                    bestRate = Math.min(bestRate, allowance); // the last increase was too large
                }
                allowance = Math.max(1, Math.min(allowance, Math.max(CUT_FACTOR * peak, allowance / 2)));
                log("origin slow: allowance reduced to " + Math.round(allowance) + " fetches per second");
            } else if (measured) {
                bestRate = Math.max(1, Math.max(tested ? bestRate * BEST_RATE_DECAY : bestRate, answerRate));
                // Recovers half of the distance to the best rate; above it, grows with the latency reserve.
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

    /**
     * Exchanges states with the other balancers. A silent peer's state is ignored, but its equal share of the
     * allowance stays reserved.
     */
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

        /** Updates which peers are fresh and returns their number, including this balancer. */
        int refreshAndCount() {
            int freshPeers = 0;
            for (Peer peer : all) {
                peer.fresh = peer == me || now < peer.heardMicros + PEER_TIMEOUT_PERIODS * PERIOD_MICROS;
                freshPeers += peer.fresh ? 1 : 0;
            }
            return freshPeers;
        }

        /** Sends this balancer's state after changes, otherwise as a heartbeat once a period. */
        void sendIfDue() {
            PeerStatus last = me.state;
            boolean busy = held.queued() > 0 || last.queue() > 0 || ledger.contended || ledger.credits <= 1;
            boolean changed = ledger.fetched != last.fetched()
                    || held.queued() != last.queue()
                    || attempts.originOutstanding != last.outstanding()
                    || ledger.period != last.period();
            long idleGapMicros = attempts.jobs.isEmpty() ? PERIOD_MICROS / 2 : LOAD_MESSAGE_GAP_MICROS;
            long gapMicros = !changed ? PERIOD_MICROS : busy ? ledger.subperiodMicros / 2 : idleGapMicros;
            // Bounds the cost of messages, which grows with the square of the number of balancers.
            double cost = (all.length - 1) * settings.prices().peer() * lastBytes / CacheLoads.MAX_BYTES;
            double requestsPerMicro = Math.max(1, slots.counts.total()) / (1.5 * COUNT_HALF_LIFE_MICROS);
            double costGapMicros = Math.min(PERIOD_MICROS, cost / (MESSAGE_COST_FRACTION * requestsPerMicro));
            gapMicros = Math.max(gapMicros, (long) costGapMicros);
            if (me.heardMicros != NEVER && now < me.heardMicros + gapMicros) {
                return;
            }
            // Jitter keeps balancers from sending in step, and so from reacting to a queue all at once.
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
            if (me.sequence == 0) {
                // A restarted process has the same seed; its states would be taken for old ones.
                me.incarnation ^= (int) now & 0xffff;
            }
            byte[] load = CacheLoads.encode(slots.servers);
            lastBytes = PeerStatus.BYTES + load.length;
            out.accept(new TellPeer(TellPeer.EVERYONE, me.state.encode(me.incarnation, ++me.sequence, load)));
        }

        /** Accepts a peer's message; drops malformed, repeated and reordered ones. */
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
                return; // not a plausible state, or repeated or reordered
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

    /**
     * Maps keys to slots and slots to caches by highest-random-weight hashing, and tracks the health of the
     * listed servers. A cache serves a part of its slots, by its size and warm-up.
     */
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
        private final boolean liveSizes = settings.weights() == Weights.LIVE;
        /** Sum of the parts of all caches in use. */
        private double capacity;
        /** Outstanding attempts of the tier per unit of capacity. */
        private double meanLoad;
        /** Peak of the recent work per unit of capacity, decaying. */
        private double peakWork;
        /** Mean latency of hits. */
        private double hitMicros = shortestAimMicros / 4;
        /** Time that an answer is expected to take; timeouts count double. */
        private double answerMicros = hitMicros;

        private long lastHalvedMicros = NEVER;
        private long lastAnswerMicros = NEVER / 2;

        /** Applies a server list; recomputes only the slots that added or removed caches change. */
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
                    cache.restore(); // a restarted process starts healthy
                    cache.tokens = random.nextDouble();
                    cache.concurrencyLimit = Math.min(cache.concurrencyLimit, INITIAL_CONCURRENCY_LIMIT);
                }
                cache.update(s, zones.computeIfAbsent(s.zone() == null ? "" : s.zone(), z -> new Zone()));
                seen.add(cache);
            }
            for (Cache cache : List.copyOf(servers)) {
                cache.running &= list.kind() == ListKind.CHANGES || seen.contains(cache);
                if (cache.running) {
                    continue; // a draining server gets no new attempts, not even within its grace time
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

        /** Inserts added caches in each slot's ranking; ranks slots of removed caches from all caches. */
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

        /** Inserts a cache in the ranking of a slot whose first entry is at {@code base}. */
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

        /** Returns a cache's size; where sizes fall with load, the largest seen of its kind. */
        private double sizeOf(Cache cache) {
            return liveSizes ? largestSizeByKind.getOrDefault(cache.kind, cache.size) : cache.size;
        }

        /**
         * Updates each cache's part of its slots (relative size times warm-up), the loads and the cold
         * tokens.
         */
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
            // A cold cache answers misses quickly and would look idle; tokens bound what it is sent to its
            // part of the work of warm caches, times a fraction of the multiple at which it falls.
            double decay = Math.exp(-(double) ledger.subperiodMicros / COUNT_HALF_LIFE_MICROS);
            double coldMultiple = COLD_LOAD_FRACTION * settings.rules().fallMultiple();
            // The peak decays slowly, as overloaded warm caches complete less work.
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

        /** Returns the fraction of its capacity that a cache has, growing linearly since its start. */
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

        /** Suspects caches that have been silent too long, and updates the shares. */
        void tick() {
            if (lastHalvedMicros == NEVER || now - lastHalvedMicros >= COUNT_HALF_LIFE_MICROS) {
                lastHalvedMicros = now;
                counts.halve();
            }
            double silence = silenceMicros();
            for (Cache cache : servers) {
                // A host that vanished sends no reset; without this each request would wait for its timeout.
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

        /**
         * Returns whether no server has answered lately: then this balancer may be stalled, not the servers.
         */
        private boolean hearsNobody() {
            return now - lastAnswerMicros >= silenceMicros() / 2;
        }

        /** Counts a request for the key and returns how many caches serve it. */
        int recordAndGetSpread(long key) {
            return (int) Math.max(1, Math.min(SLOT_CACHES, Math.ceil(counts.add(key) * capacity / HOT_PART)));
        }

        private boolean isOutOfUse(Cache cache) {
            return cache.suspect || cache.zone.down;
        }

        /** Returns whether a request may be sent to the cache now; false for null. */
        boolean isUsable(Cache cache) {
            return cache != null && cache.running && !isOutOfUse(cache) && hasRoom(cache);
        }

        boolean hasRoom(Cache cache) {
            return cache.load() < cache.concurrencyLimit
                    && now >= cache.backoffUntilMicros
                    && (!isCold(cache) || cache.tokens >= 1);
        }

        /**
         * Returns the fraction of its slots that an overloaded cache keeps. The same slots move to the next
         * cache at every balancer, so that their keys are cached there.
         */
        private double retainedSlotFraction(Cache cache) {
            double threshold = OVERLOAD_MULTIPLE * meanLoad * cache.part + OVERLOAD_SLACK;
            return cache.outstandingElsewhere > 0 && cache.load() > threshold
                    ? Math.pow(threshold / cache.load(), 2)
                    : 1;
        }

        /**
         * Returns the cache for a key: the least loaded of the first {@code spread} usable caches of its
         * slot, or one before them that is out of use and due for a trial.
         *
         * @param avoided a cache to skip, or null
         * @return null if the request has to wait
         */
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
                // Decides by a hash of the slot, so that every balancer skips the same slots of a cache.
                double position = (Hash.mix(slot * 31L ^ cache.id * 0x9e3779b97f4a7c15L) >>> 11) * 0x1p-53;
                if (position >= cache.part * retainedSlotFraction(cache)) {
                    continue;
                }
                if (isCold(cache) && cache.tokens < 1) {
                    continue; // out of tokens: the next cache takes it
                }
                // Keys must not wait for a cache that refuses all requests.
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

        /**
         * Returns whether a request may be sent to a server out of use as a trial, and schedules the next
         * one.
         */
        boolean startTrial(Cache cache) {
            if (now < (cache.zone.down ? cache.zone.nextTrialMicros : cache.nextTrialMicros)) {
                return false;
            }
            cache.zone.nextTrialMicros = now + (long) (scale * TRIAL_GAP_MICROS);
            scheduleTrial(cache);
            return true;
        }

        /**
         * Updates a server's health, load and concurrency limit after an attempt. Any answer clears
         * suspicion; timeouts, failed connections and a high error rate raise it.
         *
         * @param aimMicros time within which the answer was wanted
         */
        void recordOutcome(Cache cache, AttemptEnded event, double aimMicros) {
            Outcome outcome = event.outcome();
            long latencyMicros = event.latencyMicros();
            cache.outstanding = Math.max(0, cache.outstanding - 1);
            boolean noAnswer = outcome == Outcome.TIMED_OUT || outcome == Outcome.NOT_CONNECTED;
            boolean served = outcome == Outcome.SERVED;
            boolean failed = outcome == Outcome.ERROR; // a reset concerns the connection
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
            // Refusals and timeouts don't count as work that the cache can do.
            cache.recentWork += served ? 1 : outcome == Outcome.MISS ? MISS_COST : 0;
            if (outcome == Outcome.MISS) {
                cache.recentSent -= Math.min(cache.recentSent, 1 - MISS_COST);
            }
            if (outcome == Outcome.MISS) {
                cache.tokens += 1 - MISS_COST; // refunds the difference to a hit
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
                // The zone is reachable again: restores all of its servers at once.
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
                    cache.nextTrialMicros = now; // the next trial shows whether it serves
                }
                // A cache that fails quickly looks idle and would draw requests until their attempts run out.
                if (failed && cache.errorRate > SUSPECT_ERROR_RATE && !cache.origin && mostServersUsable()) {
                    markSuspect(cache);
                }
                if (served && !cache.origin) {
                    hitMicros += (latencyMicros - hitMicros) / 64;
                }
            }
        }

        /** Returns whether most servers are in use; errors at most of them have a common cause. */
        private boolean mostServersUsable() {
            return servers.stream().filter(this::isOutOfUse).count() < servers.size() / 2;
        }

        /**
         * Sets the next trial; jitter and a longer gap in large tiers keep a recovering cache from overload.
         */
        private void scheduleTrial(Cache cache) {
            double factor = Math.max(1, settings.balancers() / TRIAL_PEERS) * (0.5 + random.nextDouble() / 2);
            cache.nextTrialMicros = now + (long) (scale * cache.trialGapMicros * factor);
        }

        /** Takes a server out of use, and its zone if several servers there are silent. */
        private void markSuspect(Cache cache) {
            if (cache.suspect) {
                cache.trialGapMicros = Math.min(2 * cache.trialGapMicros, MAX_TRIAL_GAP_MICROS);
            } else {
                log("server " + cache.id + (cache.errorRate > SUSPECT_ERROR_RATE ? " fails" : " is silent")
                        + ": out of rotation");
            }
            cache.markSuspect();
            scheduleTrial(cache);
            // Behind a partition, servers need not time out one by one.
            boolean zoneSilent = now - cache.zone.heardMicros > PERIOD_MICROS / 2;
            if (!cache.zone.down && zoneSilent && cache.zone.suspects >= SUSPECT_UNANSWERED) {
                cache.zone.down = true;
                cache.zone.nextTrialMicros = now + (long) (scale * TRIAL_GAP_MICROS);
                log("nothing answers in a whole zone: its servers are out of rotation");
            }
        }
    }

    /** Holds misses and writes that wait for credits, and requests that wait for room at a cache. */
    final class HeldRequests {
        private final List<HeldMiss> misses = new ArrayList<>();
        private final List<Job> writes = new ArrayList<>();
        private final List<Job> awaitingRoom = new ArrayList<>();

        /** Returns the number of fetches that wait: one per key, as one fetch serves all its requests. */
        int queued() {
            return writes.size()
                    + (int) misses.stream().filter(HeldMiss::needsFetch).count();
        }

        /** Returns the summed weight (equation 6) of the waiting fetches. */
        double totalWeight() {
            double sum = writes.stream()
                    .mapToDouble(job -> ledger.weight(job.request.workMicros()))
                    .sum();
            for (HeldMiss miss : misses) {
                sum += miss.needsFetch() ? ledger.weight(miss.workMicros()) : 0;
            }
            return sum;
        }

        /**
         * Holds a request after a miss until its key is fetched.
         *
         * @param fetchedElsewhere whether the cache reported that the key is being fetched
         */
        void holdMiss(Job job, boolean fetchedElsewhere) {
            HeldMiss miss = job.heldMiss;
            for (HeldMiss candidate : misses) {
                miss = miss == null && candidate.key == job.key ? candidate : miss;
            }
            if (miss == null) {
                miss = new HeldMiss(job.key, now);
                misses.add(miss);
                // Keeps balancers that miss a key at the same time from all fetching it: under contention
                // each waits by a hash of key and index, and asks the cache again before it fetches.
                double size = settings.balancers();
                double lag = Long.remainderUnsigned(Hash.mix(job.key) + settings.index(), (long) size) / size;
                double latencies = size == 1 ? 0 : (fetchedElsewhere ? 1 : 0) + (ledger.contended ? lag : 0);
                miss.eligibleMicros += (long) (latencies * budget.minLatencyMicros);
            }
            if (miss.leader == job) {
                miss.leader = null; // the cache still lacks it: a fetch needs a credit
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

        /** Answers a request at once if its hold deadline is before the next tick. */
        void refuseIfDue(Job job) {
            boolean due = job.holdDeadlineMicros() < now + ledger.subperiodMicros + settings.tickMicros();
            if (due && job.currentServer == null) {
                attempts.refuseOrFail(job);
            }
        }

        /** Sends held fetches while credits last: writes first, then keys by the worth of their requests. */
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
                // The most urgent request takes the fetch; the others ask the cache afterwards.
                Job leader = best.mostUrgent();
                boolean stale = now - best.heldSinceMicros >= budget.minLatencyMicros;
                // Another balancer may have filled the cache meanwhile; asking it needs no credit.
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

        /** Ends a served request; the others that wait for its key go to the cache that it missed at. */
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

        /** Removes a request from all queues; a key that loses its leader waits for another credit. */
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

        /** Sends the most urgent request that waits for the cache, if it has room. */
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

        /**
         * Orders by worth at the expected answer time, then by deadline, so that overload delays only some.
         */
        private int compareUrgency(Job first, Job second) {
            long answerMicros = now + (long) slots.hitMicros;
            int byWorth = Double.compare(second.worthAt(answerMicros), first.worthAt(answerMicros));
            return byWorth != 0 ? byWorth : Long.compare(first.usefulUntilMicros, second.usefulUntilMicros);
        }

        /** Answers requests that can no longer be served in time, and retries those that wait for room. */
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

    /** Sends attempts, handles their outcomes and gives final answers, within the effect rules. */
    final class Attempts {
        private final Map<String, Job> jobs = new LinkedHashMap<>(); // in order of arrival, for determinism
        private final RequestClass unknownClass =
                new RequestClass("", 0, 0, 1, Effect.UNSAFE, Group.CELL, 0, 0, 0, false);
        int originOutstanding;
        /** Mean fraction of their aim that clients wait; their deadline may be shorter. */
        private double clientPatience = 1;

        /** Takes in a request and sends or holds its first attempt. */
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

        /** Sends the request to its key's cache, or holds it while there is no room. */
        void sendToCache(Job job) {
            // After a quarter of its time a request may go to the next cache of its slot, at the cost of a
            // fetch.
            boolean waitedLong = now - job.arrivedMicros > (job.usefulUntilMicros - job.arrivedMicros) / 4;
            int spread = job.spread + (waitedLong ? 1 : 0);
            // A request that can't be answered in time would cost the same work and be retried with less
            // time.
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
                // Allows at least the time of an answer, or a recovered server would never show it.
                long timeoutMicros = (long) Math.max(SUSPECT_TIMEOUT_MULTIPLE * slots.hitMicros, left / 3.0);
                send(job, cache, suspected ? Math.max(1, Math.min(timeoutMicros, left)) : 0);
            }
        }

        /**
         * Sends an attempt if the effect rules allow it, and ends the request otherwise.
         *
         * @param timeoutMicros 0 for the default timeout
         */
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
            // An attempt that is safe to repeat ends when its answer becomes worthless.
            boolean capped = job.requestClass.effect() == Effect.SAFE && !server.origin && timeoutMicros == 0;
            long timeout = capped ? Math.max(1, job.usefulUntilMicros - now) : timeoutMicros;
            out.accept(new Send(job.request.id(), server.id, timeout));
        }

        /**
         * Returns whether a further attempt is allowed. After one that may have run, only those that the
         * class allows to repeat, so that no effect happens twice.
         */
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

        /** Handles the end of an attempt, which may belong to a request that is over. */
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
                // Holding after a FULL answer keeps retries from overloading all caches.
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

        /**
         * Gives the final answer of an unserved request: a refusal if a retry is harmless, else a failure.
         */
        void refuseOrFail(Job job) {
            if (jobs.remove(job.request.id()) == null) {
                return;
            }
            held.remove(job);
            boolean harmless = job.firstRunMicros == NEVER
                    || job.requestClass.effect() == Effect.SAFE
                    || job.requestClass.effect() == Effect.KEYED && job.requestClass.group() == Group.ALL;
            // A retry could not be served within the aim, so the longest delay is advised.
            long retryMicros =
                    settings.limits().retryAfter() ? settings.limits().maxRetryAfterMicros() : 0;
            String id = job.request.id();
            out.accept(harmless && job.currentServer == null ? new Refuse(id, retryMicros) : new Fail(id));
        }

        /** Cancels repeatable attempts at a silent cache, so that they can be sent elsewhere in time. */
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

    /** Keeps the server list current, with a watch where the list isn't pushed. */
    final class Membership {
        private final boolean mustWatch = settings.membership() == Decisions.Membership.ASK;
        private boolean watching;
        private long nextWatchMicros;
        private long gapMicros;

        /** Starts a watch if none is running and the retry delay is over. */
        void tick() {
            if (!mustWatch || watching || now < nextWatchMicros) {
                return;
            }
            watching = true; // until a list event reports a failure
            out.accept(new WatchServers(true));
        }

        void applyList(ServerList list) {
            if (list.kind() == ListKind.FAILED) {
                // Jitter keeps balancers from all retrying at once after an outage.
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
