package baymoor.tier.exchange;

import baymoor.tier.exchange.LeaseElection.VoteOutcome;
import baymoor.tier.message.Commitment;
import baymoor.tier.message.Digest;
import baymoor.tier.message.GroupMessage;
import baymoor.tier.message.LoadReport;
import baymoor.tier.message.PreviousVersion;
import baymoor.tier.message.Totals;
import baymoor.tier.place.Group;
import baymoor.tier.place.Level;
import baymoor.tier.place.Places;
import baymoor.tier.split.Draws;
import baymoor.tier.split.RobustRate;
import baymoor.tier.split.RobustRate.Estimate;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** One child of one group, as the balancer that speaks for it: hears its siblings, and says what it commits itself to. */
final class GroupMember {

    private static final int NEVER = Integer.MIN_VALUE / 2;
    private static final Commitment EMPTY_COMMITMENT = new Commitment(0, new int[Places.LARGEST_GROUP]);

    /** A sibling as last heard. */
    private static final class Sibling {
        int epoch = NEVER;
        int representative = Digest.UNKNOWN;
        int incarnation;
        int sequence = -1;
        boolean previousVersion;
        Totals totals = Totals.NONE;
        int[] loads = new int[0];
    }

    final Group group;
    final int self;
    final LeaseElection election;
    private final int balancer;
    private final ShareRules rules;
    private final Draws draws;
    private final Sibling[] siblings;
    private final CommitmentLog log;
    private final CommitmentLog ownCommitments = new CommitmentLog(1);
    private final LoadReporter loadReporter;
    private Totals ownTotals = Totals.NONE;
    private Digest digest;
    private int digestEpoch = NEVER;
    private int digestTerm;
    private final double[] digestShares = new double[16];
    private final int[] digestShareEpochs = new int[16];
    private int[] outsideLoads = new int[0];
    private RouterList routers = RouterList.EMPTY;

    GroupMember(Group group, int self, int balancer, ShareRules rules, Draws draws) {
        this.group = group;
        this.self = self;
        this.balancer = balancer;
        this.rules = rules;
        this.draws = draws;
        int children = group.children().size();
        election = new LeaseElection(self, children);
        log = new CommitmentLog(children);
        siblings = new Sibling[children];
        Arrays.setAll(siblings, child -> new Sibling());
        Arrays.fill(digestShareEpochs, NEVER);
        loadReporter = group.level() == Level.SITE
                ? new LoadReporter(Sizes.MEMBER_TAGGED_LOADS, Sizes.MEMBER_RUN_LENGTH)
                : new LoadReporter(Sizes.GROUP_TAGGED_LOADS, Sizes.GROUP_RUN_LENGTH);
        if (group.level() == Level.SITE) {
            Arrays.setAll(siblings, child -> {
                Sibling sibling = new Sibling();
                sibling.representative = group.children().get(child);
                return sibling;
            });
        }
    }

    /** Takes over another list of routers; loads are told anew. */
    void setRouters(RouterList list) {
        routers = list;
        outsideLoads = new int[list.size()];
        for (Sibling sibling : siblings) {
            sibling.loads = new int[list.size()];
        }
    }

    private Level level() {
        return group.level();
    }

    /**
     * Speaks in an epoch, once.
     *
     * @param outcome what the balancer may do for its child in this epoch
     * @param totals of the child
     * @param loads of the child, by the list of routers
     * @param outgoingDigest what to tell as the group's holder, or null
     */
    GroupMessage createMessage(int epoch, VoteOutcome outcome, Totals totals, int[] loads, Digest outgoingDigest) {
        ownTotals = totals.withDraw(draws.next());
        int vote = election.castVote(epoch);
        Commitment commitment = null;
        if (outcome == VoteOutcome.MAJORITY) {
            commitment = new Commitment(acknowledgedBits(epoch), transfers(epoch));
            log.put(self, epoch, commitment);
        }
        ownCommitments.put(0, epoch, commitment == null ? EMPTY_COMMITMENT : commitment);
        LoadReport report = loadReporter.nextReport(routers, loads);
        return new GroupMessage(
                level(),
                group.number(),
                self,
                balancer,
                0,
                epoch,
                election.term(epoch),
                election.claimsLease(epoch),
                vote,
                commitment,
                log.get(self, epoch - 1),
                ownTotals,
                report,
                outgoingDigest);
    }

    private int acknowledgedBits(int epoch) {
        int bits = 0;
        for (int child = 0; child < siblings.length; child++) {
            bits |= isFresh(child, epoch) ? 1 << child : 0;
        }
        return bits;
    }

    /** The gifts made in an epoch, for a later one: none where it isn't known that the base is held then. */
    private int[] transfers(int epoch) {
        int targetEpoch = epoch + Timing.transferLead(level());
        if (!rules.ownsBase(log, self, targetEpoch - Timing.acknowledgeLead(level()))) {
            return new int[Places.LARGEST_GROUP];
        }
        double[] weights = new double[siblings.length];
        int[] childDraws = new int[siblings.length];
        boolean hasDemand = false;
        for (int child = 0; child < siblings.length; child++) {
            Totals totals = child == self ? ownTotals : siblings[child].totals;
            weights[child] = isFresh(child, epoch) ? Math.max(0, totals.weight()) : 0;
            childDraws[child] = totals.draw();
            hasDemand |= isFresh(child, epoch) && totals.queued() + totals.fetched() > 0;
        }
        // With no miss anywhere each has its even share.
        return hasDemand ? rules.transfers(self, weights, childDraws) : new int[Places.LARGEST_GROUP];
    }

    private boolean isFresh(int child, int epoch) {
        return child == self || siblings[child].epoch >= epoch - Timing.FRESHNESS_EPOCHS;
    }

    /**
     * Takes a sibling's message.
     *
     * @return false where it contradicts an earlier one, which no correct sender causes
     */
    boolean receive(GroupMessage message) {
        int child = message.child();
        Sibling sibling = siblings[child];
        boolean consistent = true;
        if (message.commitment() != null) {
            consistent = log.put(child, message.epoch(), message.commitment());
        }
        if (message.previous() != null && message.epoch() > 0) {
            consistent &= log.put(child, message.epoch() - 1, message.previous());
        }
        // Of two that speak for a child in one epoch, the one that may bind it counts.
        boolean binding = message.commitment() != null;
        if (message.epoch() > sibling.epoch || message.epoch() == sibling.epoch && binding) {
            sibling.epoch = message.epoch();
            sibling.representative = message.speaker();
            sibling.previousVersion = false;
            sibling.totals = message.totals();
            LoadReporter.apply(message.loads(), routers, sibling.loads);
        }
        election.receive(child, message.epoch(), message.vote(), message.term(), message.claims());
        if (message.digest() != null && message.claims() && !election.isStaleTerm(message.term())) {
            receiveDigest(message);
        }
        return consistent;
    }

    private void receiveDigest(GroupMessage message) {
        if (message.epoch() < digestEpoch || message.epoch() == digestEpoch && message.term() <= digestTerm) {
            return;
        }
        digest = message.digest();
        digestEpoch = message.epoch();
        digestTerm = message.term();
        int first = message.epoch() + Timing.digestLead(level());
        setShare(first, digest.nextPart());
        setShare(first + 1, digest.laterPart());
        LoadReporter.apply(digest.loads(), routers, outsideLoads);
    }

    private void setShare(int epoch, double share) {
        digestShares[epoch % digestShares.length] = share;
        digestShareEpochs[epoch % digestShares.length] = epoch;
    }

    /**
     * Takes the figures of a sibling of the version before: it counts as heard, and commits itself to nothing.
     *
     * @return false where the sibling has spoken as one of this version lately, so that this can't be its word
     */
    boolean receivePrevious(int child, int epoch, PreviousVersion.Figures figures) {
        Sibling sibling = siblings[child];
        if (!sibling.previousVersion && sibling.epoch >= epoch - Timing.MAX_AGE_EPOCHS) {
            return false;
        }
        boolean outdated = figures.incarnation() == sibling.incarnation && figures.sequence() <= sibling.sequence;
        if (outdated && sibling.sequence >= 0) {
            return true;
        }
        sibling.previousVersion = true;
        sibling.incarnation = figures.incarnation();
        sibling.sequence = figures.sequence();
        sibling.epoch = Math.max(sibling.epoch, epoch);
        sibling.totals = figures.totals();
        return true;
    }

    /** The child's part of the group's movable part in an epoch, from 0 to 1. */
    double shareOfGroup(int epoch) {
        int transferEpoch = epoch - Timing.transferLead(level());
        int acknowledgedEpoch = epoch - Timing.acknowledgeLead(level());
        return (double) rules.units(log, self, acknowledgedEpoch, transferEpoch, ownCommitments.get(0, transferEpoch))
                / ShareRules.TOTAL_UNITS;
    }

    /** The group's own movable part in an epoch as the holder told it, or 0. */
    double publishedShare(int epoch) {
        return digestShareEpochs[epoch % digestShares.length] == epoch ? digestShares[epoch % digestShares.length] : 0;
    }

    /** What the holder last told, or null where that is too old. */
    Digest digest(int epoch) {
        return digestEpoch >= epoch - Timing.MAX_AGE_EPOCHS ? digest : null;
    }

    /** Figures of all children that are heard, this one's included. */
    Totals groupTotals(int epoch) {
        List<Totals> fresh = freshSiblingTotals(epoch);
        fresh.add(ownTotals);
        return Totals.sum(fresh);
    }

    /** Figures of the siblings that are heard. */
    List<Totals> freshSiblingTotals(int epoch) {
        List<Totals> fresh = new ArrayList<>();
        for (int child = 0; child < siblings.length; child++) {
            if (child != self && isFresh(child, epoch)) {
                fresh.add(siblings[child].totals);
            }
        }
        return fresh;
    }

    /** The median of what all children that are heard have learned of the allowance. */
    double medianAllowanceRate(int epoch) {
        List<Estimate> rates = new ArrayList<>();
        rates.add(new Estimate(ownTotals.rate(), ownTotals.members()));
        for (Totals totals : freshSiblingTotals(epoch)) {
            rates.add(new Estimate(totals.rate(), totals.members()));
        }
        return RobustRate.of(rates);
    }

    /** Adds what the siblings that are heard have out to some counts. */
    void addSiblingLoads(int epoch, int[] counts) {
        for (int child = 0; child < siblings.length; child++) {
            if (child != self && isFresh(child, epoch)) {
                for (int i = 0; i < counts.length; i++) {
                    counts[i] += siblings[child].loads[i];
                }
            }
        }
    }

    /** What is out outside of the group as its holder tells. */
    int[] outsideLoads() {
        return outsideLoads;
    }

    /** The balancer that speaks for a child; {@link Digest#UNKNOWN} where none is known. */
    int representative(int child) {
        return child == self ? balancer : siblings[child].representative;
    }

    /** Takes over a speaker that another one knew. */
    void setRepresentativeIfUnknown(int child, int representative) {
        if (child != self && siblings[child].representative == Digest.UNKNOWN) {
            siblings[child].representative = representative;
        }
    }

    /** A child that has been silent may have another speaker by now: it is looked for again. */
    boolean isRepresentativeStale(int child, int epoch) {
        return level() != Level.SITE && !isFresh(child, epoch);
    }

    /** Children that are heard, this one included. */
    int freshChildren(int epoch) {
        return Integer.bitCount(acknowledgedBits(epoch));
    }
}
