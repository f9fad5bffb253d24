"""Splitting of streams into complete events."""

from __future__ import annotations

from random import Random

from mulberrycleat.entry.events import EventSplitter


def test_any_chunking_of_the_bytes_gives_the_same_events():
    stream = b"".join(b"id: %d\ndata: text %d\n\n" % (n, n) for n in range(1, 30))
    for seed in range(50):
        random, splitter, rest, out, count = Random(seed), EventSplitter(), stream, b"", 0
        while rest:
            size = random.randint(1, 40)
            events = splitter.feed(rest[:size])
            rest = rest[size:]
            out += events.data
            count += events.count
            assert not events.data or events.data.endswith(b"\n\n")
        assert (out, count, splitter.rest) == (stream, 29, b"")


def test_the_last_id_of_several_events_is_returned():
    events = EventSplitter().feed(b"id: 4\ndata: a\n\nid: 5\ndata: b\n\ndata: c\n\nid: 6")
    assert (events.count, events.last_id) == (3, 5)


def test_lines_may_end_with_carriage_return_and_line_feed():
    events = EventSplitter().feed(b"id: 4\r\ndata: a\r\n\r\nid: 5\r\n")
    assert (events.count, events.last_id) == (1, 4)
