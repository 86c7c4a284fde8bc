package baymoor.emulator.judge;

/** What came back to a client. */
public enum AnswerKind {
    SERVED,
    REFUSED,
    FAILED
}
