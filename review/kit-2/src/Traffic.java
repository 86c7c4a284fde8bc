import java.util.List;

/** Steady reads from well-behaved clients, one connection each. */
final class Traffic {

    private static volatile boolean stopped;

    private Traffic() {}

    /** Starts two clients at each balancer that send one read every so many milliseconds each. */
    static void start(List<Kit.Balancer> balancers, List<Kit.Request> requests, long everyMillis) {
        for (Kit.Balancer balancer : balancers) {
            for (int i = 0; i < 2; i++) {
                Kit.spawn("client", () -> run(balancer, requests, 2 * everyMillis));
            }
        }
    }

    static void stop() {
        stopped = true;
    }

    static long served(List<Kit.Request> requests) {
        return requests.stream().filter(Kit.Request::served).count();
    }

    private static void run(Kit.Balancer balancer, List<Kit.Request> requests, long everyMillis) {
        Kit.Client client = null;
        while (!stopped) {
            try {
                if (client == null) {
                    client = new Kit.Client(balancer);
                }
                Kit.Request request = client.ask(Kit.get(Kit.id(), 1000));
                requests.add(request);
                if (request.answer.equals("EOF") || request.answer.equals("RESET") || request.answer.equals("NONE")) {
                    client.close();
                    client = null;
                }
            } catch (java.io.IOException e) {
                client = null;
            }
            Kit.sleep(everyMillis);
        }
    }
}
