package baymoor.scale.capacity;

import java.util.Map;

/** Evaluates the arithmetic of a page's formulas: names, numbers, + - * / ^, parentheses and a few functions. */
final class Formula {

    /** A formula that can't be evaluated. */
    static final class BadFormula extends RuntimeException {
        private static final long serialVersionUID = 1L;

        BadFormula(String text, String why) {
            super(text + ": " + why);
        }
    }

    private final String text;
    private final Map<String, Double> names;
    private int position;

    private Formula(String text, Map<String, Double> names) {
        this.text = text;
        this.names = names;
    }

    /** The value of a formula over names that are known. */
    static double value(String text, Map<String, Double> names) {
        Formula formula = new Formula(text, names);
        double value = formula.sum();
        if (formula.peek() != 0) {
            throw new BadFormula(text, "unexpected " + formula.peek());
        }
        return value;
    }

    private char peek() {
        while (position < text.length() && text.charAt(position) == ' ') {
            position++;
        }
        return position < text.length() ? text.charAt(position) : 0;
    }

    private boolean take(char expected) {
        if (peek() != expected) {
            return false;
        }
        position++;
        return true;
    }

    private double sum() {
        double value = product();
        while (true) {
            if (take('+')) {
                value += product();
            } else if (take('-')) {
                value -= product();
            } else {
                return value;
            }
        }
    }

    private double product() {
        double value = power();
        while (true) {
            if (take('*')) {
                value *= power();
            } else if (take('/')) {
                value /= power();
            } else {
                return value;
            }
        }
    }

    private double power() {
        double base = factor();
        return take('^') ? Math.pow(base, power()) : base;
    }

    private double factor() {
        if (take('-')) {
            return -factor();
        }
        if (take('(')) {
            double value = sum();
            close();
            return value;
        }
        return Character.isDigit(peek()) ? number() : named();
    }

    private void close() {
        if (!take(')')) {
            throw new BadFormula(text, "a parenthesis is open");
        }
    }

    private double number() {
        int start = position;
        while (position < text.length() && isPartOfNumber(position)) {
            position++;
        }
        return Double.parseDouble(text.substring(start, position));
    }

    private boolean isPartOfNumber(int at) {
        char c = text.charAt(at);
        boolean signOfExponent = (c == '-' || c == '+') && text.charAt(at - 1) == 'e';
        return Character.isDigit(c) || c == '.' || c == 'e' || signOfExponent;
    }

    private double named() {
        int start = position;
        while (position < text.length() && Character.isJavaIdentifierPart(text.charAt(position))) {
            position++;
        }
        String name = text.substring(start, position);
        if (take('(')) {
            return function(name);
        }
        if (!names.containsKey(name)) {
            throw new BadFormula(text, "unknown name '" + name + "'");
        }
        return names.get(name);
    }

    private double function(String name) {
        double first = sum();
        double second = take(',') ? sum() : Double.NaN;
        close();
        return switch (name) {
            case "ceil" -> Math.ceil(first);
            case "exp" -> Math.exp(first);
            case "sqrt" -> Math.sqrt(first);
            case "min" -> Math.min(first, second);
            case "max" -> Math.max(first, second);
            default -> throw new BadFormula(text, "unknown function '" + name + "'");
        };
    }
}
