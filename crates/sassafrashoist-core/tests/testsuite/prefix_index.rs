//! The index of the servers that likely cache a prompt's prefix.

use std::time::Duration;

use sassafrashoist_core::ids::Timestamp;
use sassafrashoist_core::routing::cache_event::{CacheChange, CacheEvent, CacheEventPage};
use sassafrashoist_core::routing::prefix_index::{PrefixIndex, hash_prompt_blocks};

const NOW: Timestamp = Duration::from_secs(1_000);

fn expected_cached_per_mille(
    index: &PrefixIndex,
    server: u32,
    blocks: &[u64],
    now: Timestamp,
) -> u64 {
    let matches = index.find(blocks, now);
    matches.iter().find(|m| m.server == server).map_or(0, |m| m.expected_cached_per_mille)
}

fn event(sequence: u64) -> CacheEvent {
    CacheEvent { sequence, change: CacheChange::Stored, blocks: vec![sequence] }
}

#[test]
fn index_finds_the_longest_shared_prefix() {
    let mut index = PrefixIndex::default();
    let short = hash_prompt_blocks(&[b'a'; 256]);
    let long = hash_prompt_blocks(&[b'a'; 1_024]);
    index.record_stored(1, &short, NOW);
    index.record_stored(2, &long, NOW);

    let matches = index.find(&long, NOW);

    assert_eq!(matches.iter().map(|found| found.server).collect::<Vec<_>>(), [2, 1]);
    assert!(matches[0].expected_cached_per_mille > matches[1].expected_cached_per_mille);
}

#[test]
fn index_has_less_confidence_in_older_entries_and_none_in_expired_ones() {
    let mut index = PrefixIndex::default();
    let blocks = hash_prompt_blocks(&[b'a'; 256]);
    index.record_stored(1, &blocks, NOW);

    let expected: Vec<u64> = [0, 30, 60, 119, 121]
        .map(|age_s| {
            expected_cached_per_mille(&index, 1, &blocks, NOW + Duration::from_secs(age_s))
        })
        .to_vec();

    assert!(expected.windows(2).all(|pair| pair[0] > pair[1]), "{expected:?}");
    assert_eq!(expected[4], 0);
}

#[test]
fn index_halves_confidence_after_lost_events_and_drops_it_after_an_eviction() {
    let mut index = PrefixIndex::default();
    let blocks = hash_prompt_blocks(&[b'a'; 256]);
    index.record_stored(1, &blocks, NOW);

    index.record_gap(1, NOW);
    let after_gap = expected_cached_per_mille(&index, 1, &blocks, NOW);
    index.record_evicted(1, &blocks);
    let after_eviction = expected_cached_per_mille(&index, 1, &blocks, NOW);

    assert_eq!((after_gap, after_eviction), (500, 0));
}

#[test]
fn event_page_shows_gaps_and_restarts() {
    let page = |events: Vec<CacheEvent>, next_sequence| CacheEventPage { events, next_sequence };

    let whole = page(vec![event(3), event(4)], 5).has_gap(3);
    let first_lost = page(vec![event(4)], 5).has_gap(3);
    let middle_lost = page(vec![event(3), event(5)], 6).has_gap(3);
    let restarted = page(vec![event(0)], 1).has_gap(3);
    let empty = page(Vec::new(), 3).has_gap(3);

    assert_eq!(
        [whole, first_lost, middle_lost, restarted, empty],
        [false, true, true, true, false]
    );
}

#[test]
fn index_stays_bounded_and_drops_the_oldest_blocks() {
    let mut index = PrefixIndex::default();
    let prompts: Vec<Vec<u64>> =
        (0..130).map(|prompt| (0..600).map(|block| prompt * 1_000 + block).collect()).collect();

    for (server, blocks) in prompts.iter().enumerate() {
        index.record_stored(server as u32, blocks, NOW);
    }

    assert!(index.block_count() <= 65_536);
    assert!(index.find(&prompts[0], NOW).is_empty());
    assert_eq!(expected_cached_per_mille(&index, 129, &prompts[129], NOW), 1000);
}
