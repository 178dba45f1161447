use sassafrashoist_core::gateway::framing_allowance::{
    FramingAllowance, MAX_BODY_FRAMING_BYTES, MAX_HEAD_BYTES, MAX_INTERIM_RESPONSES,
    MAX_TURN_BYTES, ReadStep,
};

/// The most that a read returns.
const READ_BYTES: usize = 65_536;

fn in_head() -> FramingAllowance {
    FramingAllowance::new(MAX_HEAD_BYTES)
}

fn in_body() -> FramingAllowance {
    let mut allowance = in_head();
    allowance.record_head();
    allowance
}

/// Reads bytes that are no data, until the reader is to stop; returns the bytes and the number of turns.
fn read_framing(
    allowance: &mut FramingAllowance,
    available_bytes: usize,
    byte: u8,
) -> (usize, usize) {
    let (mut read_bytes, mut turn_count) = (0, 1);
    loop {
        let bytes = match allowance.next_step() {
            ReadStep::Read => READ_BYTES.min(available_bytes),
            ReadStep::ReadAtMost(bytes) => bytes.min(available_bytes),
            ReadStep::Yield => {
                turn_count += 1;
                continue;
            }
            ReadStep::Stop => return (read_bytes, turn_count),
        };
        read_bytes += bytes;
        allowance.record_read(&vec![byte; bytes]);
    }
}

// A server sends the head of a response without end.
#[test]
fn head_without_end_is_read_in_turns_up_to_a_bound() {
    let mut allowance = in_head();

    let (read_bytes, turn_count) = read_framing(&mut allowance, 1_000, b'x');

    assert!((MAX_HEAD_BYTES..MAX_HEAD_BYTES + MAX_TURN_BYTES).contains(&read_bytes));
    assert!(turn_count >= read_bytes / (MAX_TURN_BYTES + 1_000), "{turn_count}");
}

// A parser that looks for the start of a head goes through all empty lines after each read.
#[test]
fn empty_lines_without_end_are_not_read_up_to_the_longest_head() {
    let (read_bytes, _) = read_framing(&mut in_head(), READ_BYTES, b'\n');

    assert_eq!(read_bytes, MAX_BODY_FRAMING_BYTES);
}

// A server sends interim responses without end, which cost more to read than other bytes.
#[test]
fn interim_responses_without_end_are_not_read_up_to_the_longest_head() {
    let mut allowance = in_head();
    allowance.record_read(&vec![b'x'; 25 * MAX_INTERIM_RESPONSES]);
    (0..MAX_INTERIM_RESPONSES).for_each(|_| allowance.record_interim());
    let last_allowed = allowance.next_step();

    allowance.record_interim();

    assert_eq!(last_allowed, ReadStep::ReadAtMost(MAX_TURN_BYTES));
    assert_eq!(allowance.next_step(), ReadStep::Stop);
}

// A server sends zeros without end in the size of a chunk.
#[test]
fn framing_without_end_in_a_body_is_read_up_to_a_bound() {
    let reads = [10, 1_000, READ_BYTES].map(|bytes| read_framing(&mut in_body(), bytes, b'0').0);

    let expected =
        [10, 1_000, MAX_TURN_BYTES].map(|bytes| MAX_BODY_FRAMING_BYTES.next_multiple_of(bytes));
    assert_eq!(reads, expected);
}

#[test]
fn data_of_any_length_is_read_without_a_limit_or_a_pause() {
    let mut allowance = in_body();
    allowance.record_data();

    for _ in 0..1_000 {
        assert_eq!(allowance.next_step(), ReadStep::Read);
        allowance.record_read(&vec![b'x'; READ_BYTES]);
        allowance.record_data();
    }

    assert_eq!(allowance.excess_bytes(), None);
}

#[test]
fn head_in_small_parts_is_read_without_a_pause() {
    let mut allowance = in_head();

    for _ in 0..100 {
        assert_eq!(allowance.next_step(), ReadStep::ReadAtMost(MAX_TURN_BYTES));
        allowance.record_read(&vec![b'x'; 600]);
        allowance.record_wait();
    }

    assert_eq!(allowance.excess_bytes(), None);
}

// The reader may run ahead of the task that takes the head, whose body has then failed already.
#[test]
fn reader_that_stopped_does_not_go_on_after_the_head() {
    let mut allowance = in_head();
    let (read_bytes, _) = read_framing(&mut allowance, 1_000, b'x');

    allowance.record_head();

    assert_eq!(allowance.next_step(), ReadStep::Stop);
    assert_eq!(allowance.excess_bytes(), Some(read_bytes));
}

// A request whose body is too long is answered before the rest of the body was taken.
#[test]
fn rest_of_a_body_that_nobody_takes_does_not_count_as_framing() {
    let mut allowance = in_body();
    allowance.record_data();
    allowance.record_read(&vec![b'x'; 2 * MAX_BODY_FRAMING_BYTES]);

    allowance.expect_head();

    assert_ne!(allowance.next_step(), ReadStep::Stop);
}

// A caller got no response when the rest of a body that was refused exceeded the allowance.
#[test]
fn rest_of_a_refused_body_is_read_on_with_pauses_until_the_next_head() {
    let mut allowance = in_body();
    allowance.discard_rest();
    allowance.record_read(&vec![b'x'; 2 * MAX_HEAD_BYTES]);
    let while_discarding = [allowance.next_step(), allowance.next_step()];

    allowance.record_head();
    allowance.record_read(&vec![b'x'; MAX_BODY_FRAMING_BYTES]);

    assert_eq!(while_discarding, [ReadStep::Yield, ReadStep::ReadAtMost(MAX_TURN_BYTES)]);
    assert_eq!(allowance.next_step(), ReadStep::Stop);
}

#[test]
fn each_message_of_a_connection_has_the_whole_allowance() {
    let mut allowance = in_head();

    for _ in 0..10 {
        allowance.expect_head();
        (0..MAX_INTERIM_RESPONSES).for_each(|_| allowance.record_interim());
        allowance.record_read(&vec![b'x'; MAX_HEAD_BYTES - 1]);
        assert_eq!(allowance.excess_bytes(), None);
        allowance.record_head();
        allowance.record_read(&vec![b'x'; MAX_BODY_FRAMING_BYTES - 1]);
        assert_eq!(allowance.excess_bytes(), None);
        allowance.record_data();
    }
}

#[test]
fn connection_of_another_protocol_has_no_limit() {
    let mut allowance = in_body();
    allowance.record_read(&vec![b'x'; READ_BYTES]);

    allowance.lift();

    assert_eq!(allowance.next_step(), ReadStep::Read);
    assert_eq!(allowance.excess_bytes(), None);
}
