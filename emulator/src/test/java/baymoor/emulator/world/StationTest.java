package baymoor.emulator.world;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.emulator.ManualTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** Shared cores, slots and the waiting room, by cases that can be worked out by hand. */
public class StationTest {

    private final ManualTime time = new ManualTime();
    private final long start = time.now();
    private final List<String> done = new ArrayList<>();

    private Station.Job job(String name, double work) {
        return new Station.Job() {
            @Override
            public double begin() {
                return work;
            }

            @Override
            public void done() {
                done.add(name + "@" + (time.now() - start));
            }
        };
    }

    private Station station(int cores, int slots, int room, double speed) {
        return new Station(time, cores, slots, room, speed, 0, 1);
    }

    @Test
    public void aJobAloneTakesItsWorkAtTheSpeedOfACore() {
        station(2, 4, 0, 2).offer(job("a", 1000));
        time.pass(10_000);
        assertEquals(List.of("a@500"), done);
    }

    @Test
    public void moreJobsThanCoresShareThemEvenly() {
        Station s = station(1, 4, 0, 1);
        s.offer(job("a", 1000));
        s.offer(job("b", 1000));
        time.pass(500);
        s.offer(job("c", 250));
        time.pass(10_000);
        // Half each for 500 us, then a third each: c is done after 750 more, when a and b have 500 left.
        assertEquals(List.of("c@1250", "a@2250", "b@2250"), done);
    }

    @Test
    public void pastTheSlotsJobsWaitAndPastTheRoomTheyAreTurnedAway() {
        Station s = station(1, 1, 1, 1);
        assertTrue(s.offer(job("a", 100)));
        assertTrue(s.offer(job("b", 100)));
        assertFalse(s.offer(job("c", 100)));
        assertEquals(1, s.inWork());
        assertEquals(1, s.waiting());
        time.pass(1000);
        assertEquals(List.of("a@100", "b@200"), done);
    }

    @Test
    public void aStopHoldsAllAndWhatWasDoneStaysDone() {
        Station s = station(1, 2, 0, 1);
        s.offer(job("a", 1000));
        time.pass(400);
        s.factor(0);
        time.pass(5000);
        assertEquals(List.of(), done);
        s.factor(0.5);
        time.pass(5000);
        assertEquals(List.of("a@6600"), done);
        assertEquals(1000, s.done(), 1);
    }

    @Test
    public void aCrowdCostsSpeed() {
        Station s = new Station(time, 1, 4, 0, 1, 0.5, 2);
        for (int i = 0; i < 4; i++) {
            s.offer(job("j", 100));
        }
        time.pass(10_000);
        // Four on one core with two of them too many: half the speed.
        assertEquals(List.of("j@800", "j@800", "j@800", "j@800"), done);
    }

    @Test
    public void whatIsClearedNeverEnds() {
        Station s = station(1, 1, 5, 1);
        s.offer(job("a", 100));
        s.offer(job("b", 100));
        s.clear();
        time.pass(10_000);
        assertEquals(List.of(), done);
        assertEquals(0, s.inWork() + s.waiting());
    }
}
