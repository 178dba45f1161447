use proptest::prelude::*;
use sassafrashoist_core::event_splitter::{EventSplitter, StreamEvent};

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\nid: 4\nda";

fn split(pieces: &[&[u8]]) -> (Vec<StreamEvent>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    (events, splitter.take_rest().to_vec())
}

#[test]
fn whole_events_are_split_off_with_their_ids() {
    let (events, rest) = split(&[STREAM]);

    let ids: Vec<_> = events.iter().map(|event| event.id.as_deref()).collect();
    assert_eq!(ids, [Some("1"), Some("2"), None, Some("3")]);
    assert_eq!(rest, b"id: 4\nda");
}

proptest! {
    #[test]
    fn events_do_not_depend_on_how_the_bytes_arrive(
        mut cuts in proptest::collection::vec(0..STREAM.len(), 0..12)
    ) {
        cuts.sort_unstable();
        let bounds: Vec<usize> =
            std::iter::once(0).chain(cuts).chain(std::iter::once(STREAM.len())).collect();
        let pieces: Vec<&[u8]> =
            bounds.windows(2).map(|bound| &STREAM[bound[0]..bound[1]]).collect();

        prop_assert_eq!(split(&pieces), split(&[STREAM]));
    }

    #[test]
    fn no_byte_is_lost(data in proptest::collection::vec(any::<u8>(), 0..300)) {
        let (events, rest) = split(&[&data]);

        let mut joined: Vec<u8> = events.iter().flat_map(|event| event.raw.to_vec()).collect();
        joined.extend(rest);
        prop_assert_eq!(joined, data);
    }
}

#[test]
fn only_a_part_of_an_event_counts_as_inside_an_event() {
    for (rest, is_inside) in [
        ("", false),
        ("\n", false),
        ("\r\n", false),
        (": note", false),
        ("i", true),
        (": n\nd", true),
    ] {
        let mut splitter = EventSplitter::default();

        splitter.push(rest.as_bytes());

        assert_eq!(splitter.is_inside_event(), is_inside, "{rest:?}");
    }
}

#[test]
fn an_event_without_end_becomes_too_long() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: part 1\n\nid: 2\ndata: ");
    let first = splitter.next_event();

    let mut pushed_bytes = 0;
    while !splitter.is_too_long() {
        splitter.push(&[b'x'; 1_000]);
        pushed_bytes += 1_000;
        assert_eq!(splitter.next_event(), None);
    }

    assert!(first.is_some());
    assert_eq!(pushed_bytes, 263_000);
}

#[test]
fn an_event_end_that_comes_in_pieces_is_found() {
    let mut splitter = EventSplitter::default();

    let found: Vec<bool> = [b"id: 1\r".as_slice(), b"\n", b"\r", b"\n"]
        .into_iter()
        .map(|piece| {
            splitter.push(piece);
            splitter.has_event()
        })
        .collect();

    assert_eq!(found, [false, false, false, true]);
}

// Each event in the queue of a slow caller kept the whole buffer that it was split off from.
#[test]
fn buffer_of_a_long_event_is_not_kept() {
    let mut splitter = EventSplitter::default();
    splitter.push(&[b"data: ".as_slice(), &[b'x'; 100_000], b"\n\n"].concat());
    let long_capacity = splitter.capacity();

    let event = splitter.next_event().unwrap();

    assert_eq!(event.raw.len(), 100_008);
    assert!(long_capacity >= 100_008 && splitter.capacity() == 0, "{long_capacity}");
}

#[test]
fn capacity_after_a_push_is_known_before_it() {
    let mut splitter = EventSplitter::default();

    for piece_bytes in [1, 10, 8_191, 3, 8_191, 8_191, 40_000] {
        let expected = splitter.capacity_after(piece_bytes);
        splitter.push(&vec![b'x'; piece_bytes]);

        assert_eq!(splitter.capacity(), expected);
    }
}

// Events of 6 kB were broken off for lack of memory although two of them fit into the base.
#[test]
fn buffer_of_short_events_does_not_grow_beyond_their_base() {
    let mut splitter = EventSplitter::default();
    let event = format!("id: 1\ndata: {}\n\n", "x".repeat(6_000));
    let stream = event.repeat(20);
    let mut largest = 0;

    for part in stream.as_bytes().chunks(8_191) {
        splitter.push(part);
        largest = largest.max(splitter.capacity());
        while splitter.next_event().is_some() {}
    }

    assert!(largest <= 16_384, "{largest}");
}
