package baymoor.emulator.world;

/** Looks up attributes in the comma-separated {@code name=value} list of a request. */
final class Facts {

    private Facts() {}

    /** Returns the value of an attribute, or null if it is absent. */
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

    /** Returns the integer value of an attribute, or the default if it is absent or not an integer. */
    static long number(String attributes, String name, long defaultValue) {
        String text = get(attributes, name);
        try {
            return text == null ? defaultValue : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }
}
