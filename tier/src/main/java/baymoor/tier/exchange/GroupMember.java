package baymoor.tier.exchange;

import baymoor.tier.exchange.Votes.Standing;
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
    private static final Commitment NOTHING = new Commitment(0, new int[Places.LARGEST_GROUP]);

    /** A sibling as last heard. */
    private static final class Sibling {
        int epoch = NEVER;
        int speaker = Digest.UNKNOWN;
        int incarnation;
        int sequence = -1;
        boolean previousVersion;
        Totals totals = Totals.NONE;
        int[] loads = new int[0];
    }

    final Group group;
    final int me;
    final Votes votes;
    private final int balancer;
    private final PartRules rules;
    private final Draws draws;
    private final Sibling[] siblings;
    private final CommitmentLog log;
    private final CommitmentLog acted = new CommitmentLog(1);
    private final LoadTeller loadTeller;
    private Totals mine = Totals.NONE;
    private Digest digest;
    private int digestEpoch = NEVER;
    private int digestTerm;
    private final double[] digestParts = new double[16];
    private final int[] digestPartEpochs = new int[16];
    private int[] outsideLoads = new int[0];
    private RouterList routers = RouterList.EMPTY;

    GroupMember(Group group, int me, int balancer, PartRules rules, Draws draws) {
        this.group = group;
        this.me = me;
        this.balancer = balancer;
        this.rules = rules;
        this.draws = draws;
        int children = group.children().size();
        votes = new Votes(me, children);
        log = new CommitmentLog(children);
        siblings = new Sibling[children];
        Arrays.setAll(siblings, child -> new Sibling());
        Arrays.fill(digestPartEpochs, NEVER);
        loadTeller = group.level() == Level.SITE
                ? new LoadTeller(Sizes.MEMBER_LOADS_APART, Sizes.MEMBER_LOADS_RUN)
                : new LoadTeller(Sizes.GROUP_LOADS_APART, Sizes.GROUP_LOADS_RUN);
        if (group.level() == Level.SITE) {
            Arrays.setAll(siblings, child -> {
                Sibling sibling = new Sibling();
                sibling.speaker = group.children().get(child);
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
     * @param standing what the balancer may do for its child in this epoch
     * @param figures of the child
     * @param loads of the child, by the list of routers
     * @param told what to tell as the group's holder, or null
     */
    GroupMessage speak(int epoch, Standing standing, Totals figures, int[] loads, Digest told) {
        mine = figures.withDraw(draws.next());
        int vote = votes.cast(epoch);
        Commitment commitment = null;
        if (standing == Standing.MAJORITY) {
            commitment = new Commitment(acknowledged(epoch), gifts(epoch));
            log.put(me, epoch, commitment);
        }
        acted.put(0, epoch, commitment == null ? NOTHING : commitment);
        LoadReport report = loadTeller.next(routers, loads);
        return new GroupMessage(
                level(),
                group.number(),
                me,
                balancer,
                0,
                epoch,
                votes.term(epoch),
                votes.claims(epoch),
                vote,
                commitment,
                log.get(me, epoch - 1),
                mine,
                report,
                told);
    }

    private int acknowledged(int epoch) {
        int bits = 0;
        for (int child = 0; child < siblings.length; child++) {
            bits |= fresh(child, epoch) ? 1 << child : 0;
        }
        return bits;
    }

    /** The gifts made in an epoch, for a later one: none where it isn't known that the base is held then. */
    private int[] gifts(int epoch) {
        int about = epoch + Timing.giveLead(level());
        if (!rules.owns(log, me, about - Timing.acknowledgeLead(level()))) {
            return new int[Places.LARGEST_GROUP];
        }
        double[] weights = new double[siblings.length];
        int[] drawn = new int[siblings.length];
        boolean wanted = false;
        for (int child = 0; child < siblings.length; child++) {
            Totals totals = child == me ? mine : siblings[child].totals;
            weights[child] = fresh(child, epoch) ? Math.max(0, totals.weight()) : 0;
            drawn[child] = totals.draw();
            wanted |= fresh(child, epoch) && totals.queued() + totals.fetched() > 0;
        }
        // With no miss anywhere each has its even share.
        return wanted ? rules.gifts(me, weights, drawn) : new int[Places.LARGEST_GROUP];
    }

    private boolean fresh(int child, int epoch) {
        return child == me || siblings[child].epoch >= epoch - Timing.FRESH_EPOCHS;
    }

    /**
     * Takes a sibling's message.
     *
     * @return false where it contradicts an earlier one, which no correct sender causes
     */
    boolean hear(GroupMessage message) {
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
            sibling.speaker = message.speaker();
            sibling.previousVersion = false;
            sibling.totals = message.totals();
            LoadTeller.apply(message.loads(), routers, sibling.loads);
        }
        votes.hear(child, message.epoch(), message.vote(), message.term(), message.claims());
        if (message.digest() != null && message.claims() && !votes.outdated(message.term())) {
            hearDigest(message);
        }
        return consistent;
    }

    private void hearDigest(GroupMessage message) {
        if (message.epoch() < digestEpoch || message.epoch() == digestEpoch && message.term() <= digestTerm) {
            return;
        }
        digest = message.digest();
        digestEpoch = message.epoch();
        digestTerm = message.term();
        int first = message.epoch() + Timing.digestLead(level());
        setPart(first, digest.nextPart());
        setPart(first + 1, digest.laterPart());
        LoadTeller.apply(digest.loads(), routers, outsideLoads);
    }

    private void setPart(int epoch, double part) {
        digestParts[epoch % digestParts.length] = part;
        digestPartEpochs[epoch % digestParts.length] = epoch;
    }

    /**
     * Takes the figures of a sibling of the version before: it counts as heard, and commits itself to nothing.
     *
     * @return false where the sibling has spoken as one of this version lately, so that this can't be its word
     */
    boolean hearPrevious(int child, int epoch, PreviousVersion.Figures figures) {
        Sibling sibling = siblings[child];
        if (!sibling.previousVersion && sibling.epoch >= epoch - Timing.OLDEST_EPOCHS) {
            return false;
        }
        boolean older = figures.incarnation() == sibling.incarnation && figures.sequence() <= sibling.sequence;
        if (older && sibling.sequence >= 0) {
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
    double fraction(int epoch) {
        int given = epoch - Timing.giveLead(level());
        int acknowledged = epoch - Timing.acknowledgeLead(level());
        return (double) rules.units(log, me, acknowledged, given, acted.get(0, given)) / PartRules.WHOLE;
    }

    /** The group's own movable part in an epoch as the holder told it, or 0. */
    double toldPart(int epoch) {
        return digestPartEpochs[epoch % digestParts.length] == epoch ? digestParts[epoch % digestParts.length] : 0;
    }

    /** What the holder last told, or null where that is too old. */
    Digest digest(int epoch) {
        return digestEpoch >= epoch - Timing.OLDEST_EPOCHS ? digest : null;
    }

    /** Figures of all children that are heard, this one's included. */
    Totals all(int epoch) {
        List<Totals> heard = heard(epoch);
        heard.add(mine);
        return Totals.sum(heard);
    }

    /** Figures of the siblings that are heard. */
    List<Totals> heard(int epoch) {
        List<Totals> heard = new ArrayList<>();
        for (int child = 0; child < siblings.length; child++) {
            if (child != me && fresh(child, epoch)) {
                heard.add(siblings[child].totals);
            }
        }
        return heard;
    }

    /** The median of what all children that are heard have learned of the allowance. */
    double medianRate(int epoch) {
        List<Estimate> rates = new ArrayList<>();
        rates.add(new Estimate(mine.rate(), mine.members()));
        for (Totals totals : heard(epoch)) {
            rates.add(new Estimate(totals.rate(), totals.members()));
        }
        return RobustRate.of(rates);
    }

    /** Adds what the siblings that are heard have out to some counts. */
    void addLoads(int epoch, int[] counts) {
        for (int child = 0; child < siblings.length; child++) {
            if (child != me && fresh(child, epoch)) {
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
    int speaker(int child) {
        return child == me ? balancer : siblings[child].speaker;
    }

    /** Takes over a speaker that another one knew. */
    void learnSpeaker(int child, int speaker) {
        if (child != me && siblings[child].speaker == Digest.UNKNOWN) {
            siblings[child].speaker = speaker;
        }
    }

    /** A child that has been silent may have another speaker by now: it is looked for again. */
    boolean lost(int child, int epoch) {
        return level() != Level.SITE && !fresh(child, epoch);
    }

    /** Children that are heard, this one included. */
    int heardChildren(int epoch) {
        return Integer.bitCount(acknowledged(epoch));
    }
}
