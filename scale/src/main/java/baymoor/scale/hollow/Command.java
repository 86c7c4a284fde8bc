package baymoor.scale.hollow;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * What a run orders a process of hollow balancers to do, one line of JSON each. Fields that an order doesn't need are absent.
 *
 * @param numbers of the balancers to kill or to start again
 * @param from    zone
 * @param to      zone
 * @param on      whether a cut begins or is over; for a sample, whether garbage is collected first
 * @param value   share of datagrams to lose, or load of the origin
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Command(Order order, List<Integer> numbers, Integer from, Integer to, Boolean on, Double value) {

    /** What is to be done. */
    public enum Order {
        START,
        ASK,
        RESET,
        SAMPLE,
        CUT,
        LOSE,
        ORIGIN_LOAD,
        KILL,
        REVIVE,
        QUIT
    }

    /** An order that needs nothing else. */
    public static Command of(Order order) {
        return new Command(order, null, null, null, null, null);
    }

    /** An order about some balancers. */
    public static Command on(Order order, List<Integer> numbers) {
        return new Command(order, numbers, null, null, null, null);
    }

    /** An order with a figure. */
    public static Command value(Order order, double value) {
        return new Command(order, null, null, null, null, value);
    }

    /** Keeps what one zone says from another, or lets it pass again. */
    public static Command cut(int from, int to, boolean on) {
        return new Command(Order.CUT, null, from, to, on, null);
    }

    /** Asks for {@link Totals}. */
    public static Command sample(boolean collect) {
        return new Command(Order.SAMPLE, null, null, null, collect, null);
    }
}
