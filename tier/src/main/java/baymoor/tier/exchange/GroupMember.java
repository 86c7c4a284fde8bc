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

/**
 * The state that a balancer keeps as the representative of one child of a group: what its siblings last sent, the lease of the
 * group, and the child's own commitments. Not thread-safe; used by {@link Exchange} only.
 */
final class GroupMember {

    private static final int NEVER = Integer.MIN_VALUE / 2;
    private static final Commitment EMPTY_COMMITMENT = new Commitment(0, new int[Places.MAX_CHILDREN]);

    /** The state of a sibling according to its last message. */
    private static final class Sibling {
        int lastEpoch = NEVER;
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
                ? new LoadReporter(TrafficEstimate.MEMBER_TAGGED_LOADS, TrafficEstimate.MEMBER_RUN_LENGTH)
                : new LoadReporter(TrafficEstimate.GROUP_TAGGED_LOADS, TrafficEstimate.GROUP_RUN_LENGTH);
        if (group.level() == Level.SITE) {
            Arrays.setAll(siblings, child -> {
                Sibling sibling = new Sibling();
                sibling.representative = group.children().get(child);
                return sibling;
            });
        }
    }

    /** Replaces the list of routers and discards all loads known for the previous one. */
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
     * Creates the child's message of an epoch and records the commitment in it. Must be called at most once per epoch.
     *
     * @param outcome the votes of the child's own group, which decide whether the balancer may commit the child
     * @param totals the child's totals
     * @param loads the child's attempts in flight, in the order of the list of routers
     * @param outgoingDigest the digest to publish as holder of the group's lease, or null
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

    /** Returns the units transferred to each sibling; none unless the child is sure to own its base in the target epoch. */
    private int[] transfers(int epoch) {
        int targetEpoch = epoch + Timing.transferLead(level());
        if (!rules.ownsBase(log, self, targetEpoch - Timing.acknowledgementLead(level()))) {
            return new int[Places.MAX_CHILDREN];
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
        // Without any demand every child keeps its base.
        return hasDemand ? rules.transfers(self, weights, childDraws) : new int[Places.MAX_CHILDREN];
    }

    private boolean isFresh(int child, int epoch) {
        return child == self || siblings[child].lastEpoch >= epoch - Timing.FRESHNESS_EPOCHS;
    }

    /**
     * Processes a sibling's message.
     *
     * @return false if it contradicts an earlier commitment of the same child and epoch, which no correct sender causes
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
        // If two balancers represent a child in one epoch, the one that may commit it takes precedence.
        boolean binding = message.commitment() != null;
        if (message.epoch() > sibling.lastEpoch || message.epoch() == sibling.lastEpoch && binding) {
            sibling.lastEpoch = message.epoch();
            sibling.representative = message.representative();
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
        setShare(first, digest.nextShare());
        setShare(first + 1, digest.followingShare());
        LoadReporter.apply(digest.loads(), routers, outsideLoads);
    }

    private void setShare(int epoch, double share) {
        digestShares[epoch % digestShares.length] = share;
        digestShareEpochs[epoch % digestShares.length] = epoch;
    }

    /**
     * Processes a message of the previous protocol version. The sibling counts as alive but makes no commitments.
     *
     * @return false if the sibling has recently sent a message of the current version, so that this one is not plausible
     */
    boolean receivePrevious(int child, int epoch, PreviousVersion.Figures figures) {
        Sibling sibling = siblings[child];
        if (!sibling.previousVersion && sibling.lastEpoch >= epoch - Timing.MAX_AGE_EPOCHS) {
            return false;
        }
        boolean outdated = figures.incarnation() == sibling.incarnation && figures.sequence() <= sibling.sequence;
        if (outdated && sibling.sequence >= 0) {
            return true;
        }
        sibling.previousVersion = true;
        sibling.incarnation = figures.incarnation();
        sibling.sequence = figures.sequence();
        sibling.lastEpoch = Math.max(sibling.lastEpoch, epoch);
        sibling.totals = figures.totals();
        return true;
    }

    /** Returns the child's share of the group's dynamic allowance in an epoch, from 0 to 1. */
    double shareOfGroup(int epoch) {
        int transferEpoch = epoch - Timing.transferLead(level());
        int acknowledgementEpoch = epoch - Timing.acknowledgementLead(level());
        return (double) rules.units(
                        log, self, acknowledgementEpoch, transferEpoch, ownCommitments.get(0, transferEpoch))
                / ShareRules.TOTAL_UNITS;
    }

    /** Returns the group's share of the dynamic allowance in an epoch as published by its holder, or 0 if unknown. */
    double publishedShare(int epoch) {
        return digestShareEpochs[epoch % digestShares.length] == epoch ? digestShares[epoch % digestShares.length] : 0;
    }

    /** Returns the last digest of the group's holder, or null if there is none or it is too old. */
    Digest digest(int epoch) {
        return digestEpoch >= epoch - Timing.MAX_AGE_EPOCHS ? digest : null;
    }

    /** Returns the sum of the totals of this child and its fresh siblings. */
    Totals groupTotals(int epoch) {
        List<Totals> fresh = freshSiblingTotals(epoch);
        fresh.add(ownTotals);
        return Totals.sum(fresh);
    }

    /** Returns a mutable list of the totals of all siblings heard from recently. */
    List<Totals> freshSiblingTotals(int epoch) {
        List<Totals> fresh = new ArrayList<>();
        for (int child = 0; child < siblings.length; child++) {
            if (child != self && isFresh(child, epoch)) {
                fresh.add(siblings[child].totals);
            }
        }
        return fresh;
    }

    /** Returns the median of the allowance estimates of this child and its fresh siblings, in fetches per second. */
    double medianAllowanceRate(int epoch) {
        List<Estimate> rates = new ArrayList<>();
        rates.add(new Estimate(ownTotals.rate(), ownTotals.members()));
        for (Totals totals : freshSiblingTotals(epoch)) {
            rates.add(new Estimate(totals.rate(), totals.members()));
        }
        return RobustRate.of(rates);
    }

    /** Adds the attempts in flight of all fresh siblings to the counts, which are in the order of the list of routers. */
    void addSiblingLoads(int epoch, int[] counts) {
        for (int child = 0; child < siblings.length; child++) {
            if (child != self && isFresh(child, epoch)) {
                for (int i = 0; i < counts.length; i++) {
                    counts[i] += siblings[child].loads[i];
                }
            }
        }
    }

    /** Returns the attempts in flight outside the group as published by its holder, in the order of the list of routers. */
    int[] outsideLoads() {
        return outsideLoads;
    }

    /** Returns the balancer that represents a child, or {@link Digest#UNKNOWN}. */
    int representative(int child) {
        return child == self ? balancer : siblings[child].representative;
    }

    /** Sets the representative of a sibling unless one is known already. */
    void setRepresentativeIfUnknown(int child, int representative) {
        if (child != self && siblings[child].representative == Digest.UNKNOWN) {
            siblings[child].representative = representative;
        }
    }

    /** Returns whether a child has been silent for so long that another balancer may represent it by now. */
    boolean isRepresentativeStale(int child, int epoch) {
        return level() != Level.SITE && !isFresh(child, epoch);
    }

    /** Returns the number of children heard from recently, including this one. */
    int freshChildren(int epoch) {
        return Integer.bitCount(acknowledgedBits(epoch));
    }
}
