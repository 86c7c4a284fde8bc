package baymoor.knowledge.policy;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import baymoor.knowledge.data.Knowledge;
import baymoor.knowledge.data.Knowledge.Host;
import baymoor.knowledge.data.Knowledge.Key;
import baymoor.knowledge.data.Knowledge.Origin;
import baymoor.knowledge.file.Format;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** What holds of merging whatever is merged; few ids and few values, so that they collide. */
class MergePropertiesTest {

    private static final String SEED = "4711";

    @Provide
    Arbitrary<Knowledge> knowledge() {
        Arbitrary<Long> times = Arbitraries.longs().between(0, 3);
        Arbitrary<Double> figures = Arbitraries.doubles().between(0, 2).ofScale(1);
        Arbitrary<Host> host = Combinators.combine(
                        Arbitraries.longs().between(1, 4),
                        times,
                        times,
                        figures,
                        figures,
                        figures,
                        Arbitraries.doubles().between(0, 1).ofScale(1),
                        Arbitraries.of(true, false))
                .as(Host::new);
        Arbitrary<Key> key = Combinators.combine(Arbitraries.longs().between(-2, 2), times, figures, figures)
                .as(Key::new);
        Arbitrary<Origin> origin =
                Combinators.combine(times, figures, figures, figures).as(Origin::new);
        return Combinators.combine(
                        Arbitraries.of("a", "b", "a+c"),
                        times,
                        times,
                        host.list().ofMaxSize(4),
                        key.list().ofMaxSize(4),
                        origin.injectNull(0.3))
                .as((name, at, up, hosts, keys, o) -> new Knowledge(
                        name,
                        at,
                        up,
                        distinct(hosts, Comparator.comparingLong(Host::id)),
                        distinct(keys, Comparator.comparingLong(Key::key)),
                        o));
    }

    private static <T> List<T> distinct(List<T> items, Comparator<T> order) {
        java.util.TreeSet<T> set = new java.util.TreeSet<>(order);
        set.addAll(items);
        return set.stream().collect(Collectors.toList());
    }

    @Property(seed = SEED)
    void itIsCommutative(@ForAll("knowledge") Knowledge a, @ForAll("knowledge") Knowledge b) {
        assertEquals(Merge.of(a, b), Merge.of(b, a));
    }

    @Property(seed = SEED)
    void itIsIdempotent(@ForAll("knowledge") Knowledge a, @ForAll("knowledge") Knowledge b) {
        assertEquals(a, Merge.of(a, a));
        assertEquals(Merge.of(a, b), Merge.of(Merge.of(a, b), b));
    }

    @Property(seed = SEED)
    void itIsAssociative(
            @ForAll("knowledge") Knowledge a, @ForAll("knowledge") Knowledge b, @ForAll("knowledge") Knowledge c) {
        assertEquals(Merge.of(a, Merge.of(b, c)), Merge.of(Merge.of(a, b), c));
    }

    @Property(seed = SEED)
    void nothingIsYoungerThanItsSources(@ForAll("knowledge") Knowledge a, @ForAll("knowledge") Knowledge b) {
        Knowledge both = Merge.of(a, b);
        assertTrue(both.takenAt() <= Math.max(a.takenAt(), b.takenAt()));
        for (Host h : both.hosts()) {
            assertTrue(a.hosts().contains(h) || b.hosts().contains(h));
        }
        for (Key k : both.keys()) {
            assertTrue(a.keys().contains(k) || b.keys().contains(k));
        }
    }

    @Property(seed = SEED)
    void whatIsWrittenIsRead(@ForAll("knowledge") Knowledge a) throws Exception {
        assertEquals(a, Format.read(Format.write(a)));
    }
}
