package baymoor.emulator.world;

/** The list of names and values that a request carries, as a stand-in needs it: one value by its name. */
final class Facts {

    private Facts() {}

    /** The value behind a name, or null. */
    static String get(String attributes, String name) {
        int position = 0;
        while (position < attributes.length()) {
            int comma = attributes.indexOf(',', position);
            int end = comma < 0 ? attributes.length() : comma;
            if (attributes.startsWith(name, position)
                    && position + name.length() < end
                    && attributes.charAt(position + name.length()) == '=') {
                return attributes.substring(position + name.length() + 1, end);
            }
            position = end + 1;
        }
        return null;
    }

    static long number(String attributes, String name, long defaultValue) {
        String text = get(attributes, name);
        try {
            return text == null ? defaultValue : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }
}
