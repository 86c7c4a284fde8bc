package baymoor.emulator.judge;

/** The kind of final answer that a client received. */
public enum AnswerKind {
    SERVED,
    REFUSED,
    FAILED
}
