package baymoor.tier.exchange;

import baymoor.tier.exchange.Votes.Standing;
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
 * A balancer's side of the exchange in groups: a state machine that is fed datagrams and the time of the machine's clock.
 * It speaks once an epoch at each level where it speaks for a child: always for itself in its site, and for each group whose
 * lease it holds, in the group above.
 */
public final class Exchange {

    /** The part of the allowance that each balancer has by its number among all, whatever it hears. */
    public static final double GUARANTEED_PART = 0.25;

    private static final int NEVER = Integer.MIN_VALUE / 2;
    /** Epochs without a lease after which a balancer forgets what it knew as its holder. */
    private static final int KEPT_EPOCHS = 2;

    private final Places places;
    private final int balancer;
    private final Timing timing;
    private final Draws draws;
    private final Function<Group, PartRules> rules;
    private final GroupMember[] members = new GroupMember[Level.COUNT];
    private final LoadTeller[] outsideTellers = new LoadTeller[Level.COUNT];
    private final int[] spokenEpoch = new int[Level.COUNT];
    private final int[] heldEpoch = new int[Level.COUNT];
    private final SpeakerTable speakers;
    private final ExchangeCounters counters = new ExchangeCounters();
    private RouterList routers = RouterList.EMPTY;
    private int[] loads = new int[0];
    private Totals figures = new Totals(1, 0, 0, 1, 0, 0, 0, 0, 0, 0);

    /**
     * @param balancer this balancer's number
     * @param seed of its random draws
     * @param nowMicros the time of its clock; it speaks from the next epoch on, since it may have spoken in this one before
     */
    public Exchange(Places places, int balancer, long seed, Timing timing, long nowMicros) {
        this(places, balancer, seed, timing, nowMicros, PartRules::new);
    }

    Exchange(Places places, int balancer, long seed, Timing timing, long nowMicros, Function<Group, PartRules> rules) {
        this.places = places;
        this.balancer = balancer;
        this.timing = timing;
        this.rules = rules;
        draws = new Draws(seed);
        speakers = new SpeakerTable(places, balancer);
        for (int level = 0; level < Level.COUNT; level++) {
            spokenEpoch[level] = timing.epoch(nowMicros);
            heldEpoch[level] = NEVER;
            outsideTellers[level] = new LoadTeller(Sizes.OUTSIDE_LOADS_APART, Sizes.OUTSIDE_LOADS_RUN);
        }
        members[0] = member(Level.SITE);
    }

    private GroupMember member(Level level) {
        Group group = places.group(level, balancer);
        GroupMember member = new GroupMember(group, places.child(level, balancer), balancer, rules.apply(group), draws);
        member.setRouters(routers);
        for (int child = 0; child < group.children().size(); child++) {
            member.learnSpeaker(child, speakers.of(level, child));
        }
        return member;
    }

    /** Takes over another list of routers. */
    public void setRouters(RouterList list) {
        routers = list;
        loads = new int[list.size()];
        for (GroupMember member : members) {
            if (member != null) {
                member.setRouters(list);
            }
        }
    }

    /**
     * What the balancer says of itself from now on.
     *
     * @param own figures of the last epoch, for one member
     * @param out attempts that are out, by the list of routers
     */
    public void report(Totals own, int[] out) {
        figures = own;
        loads = out;
    }

    /** When it has to be called next. */
    public long nextMicros() {
        long next = Long.MAX_VALUE;
        for (int level = 0; level < Level.COUNT; level++) {
            next = Math.min(next, speaks(level, spokenEpoch[level] + 1));
        }
        return next;
    }

    private long speaks(int level, int epoch) {
        Level at = Level.of(level);
        Group group = places.group(at, balancer);
        return timing.speaks(
                at, epoch, places.child(at, balancer), group.children().size());
    }

    /** Speaks wherever that is due. What was missed while the process stood still is not made up for. */
    public void advance(long nowMicros, Outbox out) {
        int epoch = timing.epoch(nowMicros);
        for (int level = 0; level < Level.COUNT; level++) {
            if (epoch > spokenEpoch[level] && nowMicros >= speaks(level, epoch)) {
                spokenEpoch[level] = epoch;
                speak(level, epoch, out);
            } else if (epoch - 1 > spokenEpoch[level]) {
                spokenEpoch[level] = epoch - 1;
            }
        }
    }

    private void speak(int level, int epoch, Outbox out) {
        Standing standing = level == 0 ? Standing.MAJORITY : standing(level, epoch);
        if (standing == Standing.NONE) {
            return;
        }
        GroupMember member = members[level];
        Totals told = level == 0 ? figures : members[level - 1].all(epoch);
        Digest digest = holds(level, epoch) ? digest(level, epoch) : null;
        GroupMessage message = member.speak(epoch, standing, told, loadsOf(level, epoch), digest);
        byte[] datagram = MessageCodec.encodeFitting(message);
        for (int child = 0; child < member.group.children().size(); child++) {
            if (child != member.me) {
                counters.sent++;
                out.send(address(member, child, epoch), datagram);
            }
        }
    }

    /** Counts the votes of the level below for speaking at this one. */
    private Standing standing(int level, int epoch) {
        if (members[level - 1] == null) {
            return Standing.NONE;
        }
        Standing standing = spokenEpoch[level - 1] == epoch ? members[level - 1].votes.count(epoch) : Standing.NONE;
        if (standing != Standing.NONE) {
            heldEpoch[level - 1] = epoch;
            members[level] = members[level] == null ? member(Level.of(level)) : members[level];
        } else if (epoch - heldEpoch[level - 1] > KEPT_EPOCHS) {
            for (int above = level; above < Level.COUNT; above++) {
                members[above] = null;
            }
        }
        return standing;
    }

    /** Whether this balancer tells its siblings at a level what is outside: its word of the last epoch counts. */
    private boolean holds(int level, int epoch) {
        return level + 1 < Level.COUNT && members[level + 1] != null && members[level].votes.claims(epoch);
    }

    private int address(GroupMember member, int child, int epoch) {
        int speaker = member.speaker(child);
        if (speaker != Digest.UNKNOWN && !member.lost(child, epoch)) {
            return speaker;
        }
        List<Integer> candidates = places.balancersBelow(member.group, child);
        boolean tryKnown = speaker != Digest.UNKNOWN && epoch % 2 == 0;
        return tryKnown ? speaker : candidates.get(epoch / 2 % candidates.size());
    }

    private Digest digest(int level, int epoch) {
        GroupMember above = members[level + 1];
        int first = epoch + Timing.digestLead(Level.of(level));
        List<Integer> siblings = new ArrayList<>();
        for (int child = 0; child < above.group.children().size(); child++) {
            siblings.add(above.speaker(child));
        }
        return new Digest(
                movablePart(level + 1, first),
                movablePart(level + 1, first + 1),
                rate(level + 1, epoch),
                outside(level, epoch),
                siblings,
                outsideTellers[level].next(routers, loadsOutside(level, epoch)));
    }

    /** The movable part in an epoch of the child that this balancer speaks for at a level. */
    private double movablePart(int level, int epoch) {
        return groupPart(level, epoch) * members[level].fraction(epoch);
    }

    private double groupPart(int level, int epoch) {
        if (Level.of(level).isTop()) {
            return 1;
        }
        double own = members[level + 1] == null ? 0 : movablePart(level + 1, epoch);
        // Both follow from commitments alone: each is no more than what the group has.
        return Math.max(own, members[level].toldPart(epoch));
    }

    private double rate(int level, int epoch) {
        GroupMember member = members[level];
        if (Level.of(level).isTop()) {
            return member.medianRate(epoch);
        }
        double above = 0;
        if (members[level + 1] != null) {
            above = rate(level + 1, epoch);
        } else if (member.digest(epoch) != null) {
            above = member.digest(epoch).rate();
        }
        return above > 0 ? above : member.medianRate(epoch);
    }

    /** All balancers outside of the group at a level. */
    private Totals outside(int level, int epoch) {
        if (Level.of(level).isTop()) {
            return Totals.NONE;
        }
        if (members[level + 1] != null) {
            List<Totals> parts = members[level + 1].heard(epoch);
            parts.add(outside(level + 1, epoch));
            return Totals.sum(parts);
        }
        Digest digest = members[level].digest(epoch);
        return digest == null ? Totals.NONE : digest.outside();
    }

    /** What the child at a level has out. */
    private int[] loadsOf(int level, int epoch) {
        int[] counts = loads.clone();
        for (int below = 0; below < level; below++) {
            members[below].addLoads(epoch, counts);
        }
        return counts;
    }

    private int[] loadsOutside(int level, int epoch) {
        int[] counts = new int[routers.size()];
        int at = level;
        while (at + 1 < Level.COUNT && members[at + 1] != null) {
            at++;
            members[at].addLoads(epoch, counts);
        }
        if (!Level.of(at).isTop()) {
            int[] outside = members[at].outsideLoads();
            for (int i = 0; i < counts.length; i++) {
                counts[i] += outside[i];
            }
        }
        return counts;
    }

    /** Takes a datagram from another balancer. Whatever is wrong with it is counted, and nothing of it believed. */
    public void hear(long nowMicros, int sender, byte[] datagram, Outbox out) {
        int epoch = timing.epoch(nowMicros);
        try {
            if (PreviousVersion.matches(datagram)) {
                hearPrevious(sender, epoch, PreviousVersion.decode(datagram));
            } else {
                hear(epoch, sender, MessageCodec.decode(datagram), datagram, out);
            }
        } catch (MalformedMessageException e) {
            counters.malformed++;
        }
    }

    private void hearPrevious(int sender, int epoch, PreviousVersion.Figures previous) {
        int child = members[0].group.children().indexOf(sender);
        if (child < 0 || child == members[0].me) {
            counters.foreign++;
            return;
        }
        if (members[0].hearPrevious(child, epoch, previous)) {
            counters.previousVersion++;
        } else {
            counters.foreign++;
        }
    }

    private void hear(int epoch, int sender, GroupMessage message, byte[] datagram, Outbox out) {
        if (!speakers.mayHaveSpoken(sender, message)) {
            counters.foreign++;
            return;
        }
        int age = epoch - message.epoch();
        if (age > Timing.OLDEST_EPOCHS || age < -Timing.NEWEST_EPOCHS) {
            counters.outOfTime++;
            return;
        }
        speakers.heard(message);
        GroupMember member = members[message.level().ordinal()];
        if (member == null) {
            passOn(epoch, message, datagram, out);
            return;
        }
        counters.heard++;
        counters.contradictions += member.hear(message) ? 0 : 1;
    }

    /** A message for who speaks for this balancer's group: passed on to the holder of the lease, as far as that is known. */
    private void passOn(int epoch, GroupMessage message, byte[] datagram, Outbox out) {
        int level = message.level().ordinal() - 1;
        while (members[level] == null) {
            level--;
        }
        int holder = members[level].votes.holder(epoch);
        if (holder < 0 || holder == members[level].me || message.hops() >= MessageCodec.MOST_HOPS) {
            return;
        }
        counters.passedOn++;
        counters.sent++;
        out.send(members[level].speaker(holder), MessageCodec.passedOn(datagram));
    }

    /** This balancer's part of the whole tier's allowance now, from 0 to 1. */
    public double part(long nowMicros) {
        double even = 1.0 / places.balancers();
        return GUARANTEED_PART * even + (1 - GUARANTEED_PART) * movablePart(0, timing.epoch(nowMicros));
    }

    /** The tier's allowance as far as is known, fetches a second; 0 where nobody has learned one. */
    public double rate(long nowMicros) {
        return rate(0, timing.epoch(nowMicros));
    }

    /** What all other balancers have out, by the list of routers. */
    public int[] loadsElsewhere(long nowMicros) {
        int[] counts = loadsOutside(0, timing.epoch(nowMicros));
        members[0].addLoads(timing.epoch(nowMicros), counts);
        return counts;
    }

    /** Totals of all balancers but those of the own site. */
    public Totals outside(long nowMicros) {
        return outside(0, timing.epoch(nowMicros));
    }

    /** The number of leases that this balancer holds: none, its site's, its zone's too, its region's too. */
    public int leases(long nowMicros) {
        int epoch = timing.epoch(nowMicros);
        int leases = 0;
        while (leases + 1 < Level.COUNT
                && members[leases] != null
                && members[leases].votes.holder(epoch) == members[leases].me) {
            leases++;
        }
        return leases;
    }

    /** The balancer that holds the lease of the own site as far as is known, or -1. */
    public int siteHolder(long nowMicros) {
        int child = members[0].votes.holder(timing.epoch(nowMicros));
        return child < 0 ? -1 : members[0].speaker(child);
    }

    /** How often this balancer has seen two claim one lease. */
    public int secondHolders() {
        int sum = 0;
        for (GroupMember member : members) {
            sum += member == null ? 0 : member.votes.secondHolders();
        }
        return sum;
    }

    /** Counts of what it has seen. */
    public ExchangeCounters counters() {
        return counters;
    }
}
