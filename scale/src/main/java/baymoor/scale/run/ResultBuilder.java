package baymoor.scale.run;

import baymoor.scale.hollow.Totals;
import baymoor.scale.plan.ScalePlan;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Puts the result of a run together, and decides whether it counts. */
final class ResultBuilder {

    /** A subperiod of the split: whoever is so late deals out credits on other figures than it would have. */
    private static final double MOST_LATENESS_MILLIS = 50;
    /** Of all datagrams: more, and ages would tell of the kernel's buffers. */
    private static final double MOST_DROPPED = 1e-4;

    private final ScalePlan plan;
    private final String file;
    private final List<String> reasons;

    /** @param reasons for which the run doesn't count already */
    ResultBuilder(ScalePlan plan, String file, List<String> reasons) {
        this.plan = plan;
        this.file = file;
        this.reasons = new ArrayList<>(reasons);
    }

    ScaleResult build(
            Figures figures,
            RealFigures real,
            OriginWatch origin,
            MachineWatch.State state,
            List<ListChanges.Change> changes,
            List<Recoveries.Recovery> recoveries) {
        double lateness = Math.max(state.lateMillis() / plan.slowdown(), figures.latenessP99Millis());
        judge(figures, lateness, state.dropped());
        Map<String, Double> hollow = new LinkedHashMap<>(figures.hollow());
        hollow.put("overIssue", origin.overIssue());
        hollow.put("use", origin.use());
        hollow.put("loadSpread", figures.loadSpread(plan.routers().count()));
        return new ScaleResult(
                file,
                plan.seed(),
                reasons.isEmpty(),
                List.copyOf(reasons),
                new ScaleResult.Machine(Runtime.getRuntime().availableProcessors(), lateness, state.dropped()),
                size(figures, real, changes.size()),
                hollow,
                real.each(),
                changes.stream().map(ResultBuilder::fields).toList(),
                recoveries,
                notes(figures));
    }

    private void judge(Figures figures, double lateness, long dropped) {
        if (lateness > MOST_LATENESS_MILLIS) {
            reasons.add(
                    String.format(Locale.ROOT, "the machine was the limit: threads ran %.0f ms late (p99)", lateness));
        }
        if (dropped > figures.grown(Totals::messagesOut) * MOST_DROPPED) {
            reasons.add("the machine was the limit: the kernel dropped " + dropped + " datagrams");
        }
        long failures = (long) figures.grown(Totals::failures);
        if (failures > 0) {
            reasons.add(failures + " tasks or decisions failed");
        }
    }

    private static Map<String, Double> fields(ListChanges.Change change) {
        Map<String, Double> fields = new LinkedHashMap<>();
        fields.put("atSeconds", change.atSeconds());
        fields.put("known50Ms", change.known50Ms());
        fields.put("known99Ms", change.known99Ms());
        fields.put("known100Ms", change.known100Ms());
        return fields;
    }

    private ScaleResult.Size size(Figures figures, RealFigures real, int changes) {
        double requests = figures.grown(Totals::requests) / figures.seconds() + real.requestsPerSecond();
        return new ScaleResult.Size(
                plan.balancers().count(),
                plan.balancers().hollow(),
                plan.balancers().real(),
                plan.routers().count(),
                plan.places().siteCount(),
                plan.places().zones().size(),
                plan.places().regions().size(),
                requests,
                plan.traffic().keys(),
                changes / figures.seconds(),
                figures.seconds());
    }

    private Map<String, Double> notes(Figures figures) {
        Map<String, Double> notes = new LinkedHashMap<>();
        notes.put("slowdown", (double) plan.slowdown());
        notes.put("requests", figures.grown(Totals::requests));
        notes.put("answers", figures.grown(Totals::answers));
        notes.put("refusals", figures.grown(Totals::refusals));
        notes.put("fetches", figures.grown(Totals::fetches));
        notes.put("unsentDatagrams", figures.grown(Totals::unsent));
        return notes;
    }
}
