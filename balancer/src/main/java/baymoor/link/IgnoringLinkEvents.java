package baymoor.link;

/** Ignores all events of a connection; a base for receivers that need some of them. */
public class IgnoringLinkEvents implements LinkEvents {

    @Override
    public void opened() {}

    @Override
    public void received(byte[] bytes) {}

    @Override
    public void written() {}

    @Override
    public void closed() {}
}
