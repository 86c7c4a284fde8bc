package baymoor.emulator.world;

/** The list of names and values that a request carries, as a stand-in needs it: one value by its name. */
final class Facts {

    private Facts() {}

    /** The value behind a name, or null. */
    static String get(String list, String name) {
        int at = 0;
        while (at < list.length()) {
            int comma = list.indexOf(',', at);
            int end = comma < 0 ? list.length() : comma;
            if (list.startsWith(name, at) && at + name.length() < end && list.charAt(at + name.length()) == '=') {
                return list.substring(at + name.length() + 1, end);
            }
            at = end + 1;
        }
        return null;
    }

    static long number(String list, String name, long absent) {
        String text = get(list, name);
        try {
            return text == null ? absent : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return absent;
        }
    }
}
