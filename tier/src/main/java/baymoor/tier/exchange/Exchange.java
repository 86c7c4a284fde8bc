package baymoor.tier.exchange;

import baymoor.tier.exchange.LeaseElection.VoteOutcome;
import baymoor.tier.message.Digest;
import baymoor.tier.message.GroupMessage;
import baymoor.tier.message.MalformedMessageException;
import baymoor.tier.message.MessageCodec;
import baymoor.tier.message.PreviousVersion;
import baymoor.tier.message.Totals;
import baymoor.tier.place.Group;
import baymoor.tier.place.Level;
import baymoor.tier.place.Places;
import baymoor.tier.split.Draws;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * One balancer's endpoint of the hierarchical exchange: a state machine driven by datagrams and clock readings. It sends one
 * message per epoch at each level where it represents a child: for itself in its site, and, for each group whose lease it
 * holds, in the group above. Not thread-safe: all calls must come from one thread.
 */
public final class Exchange {

    /** The fraction of the allowance that is divided evenly among all balancers, whether or not they are reachable. */
    public static final double GUARANTEED_FRACTION = 0.25;

    private static final int NEVER = Integer.MIN_VALUE / 2;
    /** Epochs after losing a lease for which a balancer keeps its state at the levels above. */
    private static final int STATE_RETENTION_EPOCHS = 2;

    private final Places places;
    private final int balancer;
    private final Timing timing;
    private final Draws draws;
    private final Function<Group, ShareRules> rulesFactory;
    private final GroupMember[] members = new GroupMember[Level.COUNT];
    private final LoadReporter[] outsideReporters = new LoadReporter[Level.COUNT];
    private final int[] lastSentEpoch = new int[Level.COUNT];
    private final int[] lastHeldEpoch = new int[Level.COUNT];
    private final RepresentativeTable representatives;
    private final ExchangeCounters counters = new ExchangeCounters();
    private RouterList routers = RouterList.EMPTY;
    private int[] ownLoads = new int[0];
    private Totals ownTotals = new Totals(1, 0, 0, 1, 0, 0, 0, 0, 0, 0);

    /**
     * Creates the endpoint of a balancer that has just started.
     *
     * @param balancer this balancer's number
     * @param seed the seed of its random draws
     * @param nowMicros the time of its clock; it sends from the next epoch on, as it may have sent in this one already
     */
    public Exchange(Places places, int balancer, long seed, Timing timing, long nowMicros) {
        this(places, balancer, seed, timing, nowMicros, ShareRules::new);
    }

    Exchange(
            Places places,
            int balancer,
            long seed,
            Timing timing,
            long nowMicros,
            Function<Group, ShareRules> rulesFactory) {
        this.places = places;
        this.balancer = balancer;
        this.timing = timing;
        this.rulesFactory = rulesFactory;
        draws = new Draws(seed);
        representatives = new RepresentativeTable(places, balancer);
        for (int level = 0; level < Level.COUNT; level++) {
            lastSentEpoch[level] = timing.epoch(nowMicros);
            lastHeldEpoch[level] = NEVER;
            outsideReporters[level] =
                    new LoadReporter(TrafficEstimate.OUTSIDE_TAGGED_LOADS, TrafficEstimate.OUTSIDE_RUN_LENGTH);
        }
        members[0] = createMember(Level.SITE);
    }

    private GroupMember createMember(Level level) {
        Group group = places.group(level, balancer);
        GroupMember member =
                new GroupMember(group, places.child(level, balancer), balancer, rulesFactory.apply(group), draws);
        member.setRouters(routers);
        for (int child = 0; child < group.children().size(); child++) {
            member.setRepresentativeIfUnknown(child, representatives.get(level, child));
        }
        return member;
    }

    /** Replaces the list of routers and discards the loads known for the previous one. */
    public void setRouters(RouterList list) {
        routers = list;
        ownLoads = new int[list.size()];
        for (GroupMember member : members) {
            if (member != null) {
                member.setRouters(list);
            }
        }
    }

    /**
     * Sets the state that this balancer reports about itself.
     *
     * @param own totals of the last epoch, for one member
     * @param outstanding attempts in flight at each router, in the order of the list of routers
     */
    public void report(Totals own, int[] outstanding) {
        ownTotals = own;
        ownLoads = outstanding;
    }

    /** Returns the time at which {@link #sendDue} has to be called next. */
    public long nextSendMicros() {
        long next = Long.MAX_VALUE;
        for (int level = 0; level < Level.COUNT; level++) {
            next = Math.min(next, sendMicros(level, lastSentEpoch[level] + 1));
        }
        return next;
    }

    private long sendMicros(int level, int epoch) {
        Level groupLevel = Level.of(level);
        Group group = places.group(groupLevel, balancer);
        return timing.sendMicros(
                groupLevel,
                epoch,
                places.child(groupLevel, balancer),
                group.children().size());
    }

    /** Sends the messages that are due at each level. Epochs missed while the process was paused are skipped. */
    public void sendDue(long nowMicros, DatagramSender out) {
        int epoch = timing.epoch(nowMicros);
        for (int level = 0; level < Level.COUNT; level++) {
            if (epoch > lastSentEpoch[level] && nowMicros >= sendMicros(level, epoch)) {
                lastSentEpoch[level] = epoch;
                sendMessages(level, epoch, out);
            } else if (epoch - 1 > lastSentEpoch[level]) {
                lastSentEpoch[level] = epoch - 1;
            }
        }
    }

    private void sendMessages(int level, int epoch, DatagramSender out) {
        VoteOutcome outcome = level == 0 ? VoteOutcome.MAJORITY : voteOutcome(level, epoch);
        if (outcome == VoteOutcome.NONE) {
            return;
        }
        GroupMember member = members[level];
        Totals totals = level == 0 ? ownTotals : members[level - 1].groupTotals(epoch);
        Digest digest = publishesDigest(level, epoch) ? createDigest(level, epoch) : null;
        GroupMessage message = member.createMessage(epoch, outcome, totals, childLoads(level, epoch), digest);
        byte[] datagram = MessageCodec.encodeFitting(message);
        for (int child = 0; child < member.group.children().size(); child++) {
            if (child != member.self) {
                counters.sent++;
                out.send(destination(member, child, epoch), datagram);
            }
        }
    }

    /** Tallies the votes of the level below, which decide whether this balancer may act at the given level. */
    private VoteOutcome voteOutcome(int level, int epoch) {
        if (members[level - 1] == null) {
            return VoteOutcome.NONE;
        }
        VoteOutcome outcome =
                lastSentEpoch[level - 1] == epoch ? members[level - 1].election.tally(epoch) : VoteOutcome.NONE;
        if (outcome != VoteOutcome.NONE) {
            lastHeldEpoch[level - 1] = epoch;
            members[level] = members[level] == null ? createMember(Level.of(level)) : members[level];
        } else if (epoch - lastHeldEpoch[level - 1] > STATE_RETENTION_EPOCHS) {
            for (int above = level; above < Level.COUNT; above++) {
                members[above] = null;
            }
        }
        return outcome;
    }

    /** Returns whether this balancer publishes a digest at a level: it claims the lease there and has state one level up. */
    private boolean publishesDigest(int level, int epoch) {
        return level + 1 < Level.COUNT && members[level + 1] != null && members[level].election.claimsLease(epoch);
    }

    private int destination(GroupMember member, int child, int epoch) {
        int representative = member.representative(child);
        if (representative != Digest.UNKNOWN && !member.isRepresentativeStale(child, epoch)) {
            return representative;
        }
        List<Integer> candidates = places.balancersBelow(member.group, child);
        boolean retryKnown = representative != Digest.UNKNOWN && epoch % 2 == 0;
        return retryKnown ? representative : candidates.get(epoch / 2 % candidates.size());
    }

    private Digest createDigest(int level, int epoch) {
        GroupMember above = members[level + 1];
        int first = epoch + Timing.digestLead(Level.of(level));
        List<Integer> siblings = new ArrayList<>();
        for (int child = 0; child < above.group.children().size(); child++) {
            siblings.add(above.representative(child));
        }
        return new Digest(
                dynamicShare(level + 1, first),
                dynamicShare(level + 1, first + 1),
                allowanceRate(level + 1, epoch),
                totalsOutside(level, epoch),
                siblings,
                outsideReporters[level].nextReport(routers, loadsOutside(level, epoch)));
    }

    /** Returns the share of the dynamic allowance in an epoch of the child that this balancer represents at a level. */
    private double dynamicShare(int level, int epoch) {
        return groupDynamicShare(level, epoch) * members[level].shareOfGroup(epoch);
    }

    private double groupDynamicShare(int level, int epoch) {
        if (Level.of(level).isTop()) {
            return 1;
        }
        double calculated = members[level + 1] == null ? 0 : dynamicShare(level + 1, epoch);
        // Both values are lower bounds derived from commitments, so the larger one is safe.
        return Math.max(calculated, members[level].publishedShare(epoch));
    }

    private double allowanceRate(int level, int epoch) {
        GroupMember member = members[level];
        if (Level.of(level).isTop()) {
            return member.medianAllowanceRate(epoch);
        }
        double above = 0;
        if (members[level + 1] != null) {
            above = allowanceRate(level + 1, epoch);
        } else if (member.digest(epoch) != null) {
            above = member.digest(epoch).rate();
        }
        return above > 0 ? above : member.medianAllowanceRate(epoch);
    }

    /** Returns the totals of all balancers outside the group at a level. */
    private Totals totalsOutside(int level, int epoch) {
        if (Level.of(level).isTop()) {
            return Totals.NONE;
        }
        if (members[level + 1] != null) {
            List<Totals> outside = members[level + 1].freshSiblingTotals(epoch);
            outside.add(totalsOutside(level + 1, epoch));
            return Totals.sum(outside);
        }
        Digest digest = members[level].digest(epoch);
        return digest == null ? Totals.NONE : digest.outside();
    }

    /** Returns the attempts in flight per router of the child that this balancer represents at a level. */
    private int[] childLoads(int level, int epoch) {
        int[] counts = ownLoads.clone();
        for (int below = 0; below < level; below++) {
            members[below].addSiblingLoads(epoch, counts);
        }
        return counts;
    }

    private int[] loadsOutside(int level, int epoch) {
        int[] counts = new int[routers.size()];
        int highestLevel = level;
        while (highestLevel + 1 < Level.COUNT && members[highestLevel + 1] != null) {
            highestLevel++;
            members[highestLevel].addSiblingLoads(epoch, counts);
        }
        if (!Level.of(highestLevel).isTop()) {
            int[] outside = members[highestLevel].outsideLoads();
            for (int i = 0; i < counts.length; i++) {
                counts[i] += outside[i];
            }
        }
        return counts;
    }

    /**
     * Processes a datagram from another balancer, and forwards it if needed. An invalid one is counted and otherwise ignored.
     *
     * @param sender the number of the balancer that sent the datagram
     */
    public void receive(long nowMicros, int sender, byte[] datagram, DatagramSender out) {
        int epoch = timing.epoch(nowMicros);
        try {
            if (PreviousVersion.matches(datagram)) {
                receivePrevious(sender, epoch, PreviousVersion.decode(datagram));
            } else {
                receive(epoch, sender, MessageCodec.decode(datagram), datagram, out);
            }
        } catch (MalformedMessageException e) {
            counters.malformed++;
        }
    }

    private void receivePrevious(int sender, int epoch, PreviousVersion.Figures previous) {
        int child = members[0].group.children().indexOf(sender);
        if (child < 0 || child == members[0].self) {
            counters.implausible++;
            return;
        }
        if (members[0].receivePrevious(child, epoch, previous)) {
            counters.previousVersion++;
        } else {
            counters.implausible++;
        }
    }

    private void receive(int epoch, int sender, GroupMessage message, byte[] datagram, DatagramSender out) {
        if (!representatives.isPlausible(sender, message)) {
            counters.implausible++;
            return;
        }
        int age = epoch - message.epoch();
        if (age > Timing.MAX_AGE_EPOCHS || age < -Timing.MAX_FUTURE_EPOCHS) {
            counters.outsideWindow++;
            return;
        }
        representatives.update(message);
        GroupMember member = members[message.level().ordinal()];
        if (member == null) {
            forward(epoch, message, datagram, out);
            return;
        }
        counters.received++;
        counters.conflicting += member.receive(message) ? 0 : 1;
    }

    /** Forwards a message for the representative of this balancer's group to the known holder of the lease, if any. */
    private void forward(int epoch, GroupMessage message, byte[] datagram, DatagramSender out) {
        int level = message.level().ordinal() - 1;
        while (members[level] == null) {
            level--;
        }
        int holder = members[level].election.holder(epoch);
        if (holder < 0 || holder == members[level].self || message.hops() >= MessageCodec.MAX_HOPS) {
            return;
        }
        counters.forwarded++;
        counters.sent++;
        out.send(members[level].representative(holder), MessageCodec.forwarded(datagram));
    }

    /** Returns this balancer's current share of the tier's allowance, from 0 to 1. */
    public double allowanceShare(long nowMicros) {
        double evenShare = 1.0 / places.balancers();
        return GUARANTEED_FRACTION * evenShare + (1 - GUARANTEED_FRACTION) * dynamicShare(0, timing.epoch(nowMicros));
    }

    /** Returns the estimate of the tier's allowance in fetches per second, or 0 if none is known. */
    public double allowanceRate(long nowMicros) {
        return allowanceRate(0, timing.epoch(nowMicros));
    }

    /** Returns the attempts that all other balancers have in flight, in the order of the list of routers. */
    public int[] remoteLoads(long nowMicros) {
        int[] counts = loadsOutside(0, timing.epoch(nowMicros));
        members[0].addSiblingLoads(timing.epoch(nowMicros), counts);
        return counts;
    }

    /** Returns the totals of all balancers outside this balancer's site. */
    public Totals totalsOutsideSite(long nowMicros) {
        return totalsOutside(0, timing.epoch(nowMicros));
    }

    /** Returns the number of leases that this balancer holds, counted from its site through its zone to its region. */
    public int heldLeases(long nowMicros) {
        int epoch = timing.epoch(nowMicros);
        int leases = 0;
        while (leases + 1 < Level.COUNT
                && members[leases] != null
                && members[leases].election.holder(epoch) == members[leases].self) {
            leases++;
        }
        return leases;
    }

    /** Returns the known holder of the lease of this balancer's site, or -1 if there is none. */
    public int siteLeaseHolder(long nowMicros) {
        int child = members[0].election.holder(timing.epoch(nowMicros));
        return child < 0 ? -1 : members[0].representative(child);
    }

    /** Returns how often this balancer has seen two or more children claim one lease at the same time. */
    public int conflictingClaims() {
        int sum = 0;
        for (GroupMember member : members) {
            sum += member == null ? 0 : member.election.conflictingClaims();
        }
        return sum;
    }

    /** Returns the counters of messages sent and received. */
    public ExchangeCounters counters() {
        return counters;
    }
}
